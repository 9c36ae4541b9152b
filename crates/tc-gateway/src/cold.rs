//! Requests that this instance sends, without asking a home, to upstreams that are or may be cold: see
//! [`tc_policy::ColdLimit`].

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tc_fleet::Mesh;
use tc_policy::{ColdLimit, RecentSends, may_send_uncoordinated};
use tc_protocol::{
    MonoTime, UpstreamId,
    routing::{RegisteredUpstream, RoutedService},
};

use crate::settings::ColdAllowance;

/// Enforces this instance's share of what all instances may send without asking a home.
#[derive(Debug)]
pub(crate) struct ColdSends {
    allowance: ColdAllowance,
    recent: Mutex<HashMap<UpstreamId, RecentSends>>,
}

impl ColdSends {
    pub(crate) fn new(allowance: ColdAllowance) -> Self {
        Self {
            allowance,
            recent: Mutex::default(),
        }
    }

    /// Returns what all instances together may send to one cold upstream of a service; `None` if the service has no
    /// cold-start limit.
    pub(crate) fn limit(&self, service: &RoutedService) -> Option<ColdLimit> {
        let cold = service.cold_start?;
        let ColdAllowance { excess, slack } = self.allowance;
        Some(ColdLimit::new(cold.max_requests_per_s, excess, slack))
    }

    /// Returns whether this instance may send a request to an upstream without asking a home.
    ///
    /// Engines have a home that knows what was sent to them. An instance that sends without asking it keeps to its
    /// share, whether or not the engine is known to be cold, and skips engines that are known to be cold. Other
    /// services have no home, so the whole limit of each upstream is divided among the instances.
    pub(crate) fn may_send(
        &self,
        mesh: &Mesh,
        service: &RoutedService,
        upstream: &RegisteredUpstream,
    ) -> bool {
        let Some(limit) = self.limit(service) else {
            return true;
        };
        let is_cold = upstream.cold_until > MonoTime::now();
        if service.engine.is_some() {
            return !is_cold && self.has_share(mesh, &upstream.id, limit.uncoordinated_senders());
        }
        !is_cold || self.has_share(mesh, &upstream.id, limit.total())
    }

    /// Returns whether this instance is one of the `max_senders` that may send to an upstream and has not done so
    /// recently.
    pub(crate) fn has_share(&self, mesh: &Mesh, upstream: &UpstreamId, max_senders: u32) -> bool {
        let now = MonoTime::now();
        let recent = self
            .lock()
            .get(upstream)
            .map_or(0, |sends| sends.count(now));
        recent == 0 && may_send_uncoordinated(&mesh.me().id, &mesh.members(), upstream, max_senders)
    }

    /// Records a request that this instance sends without asking a home.
    pub(crate) fn record(&self, service: &RoutedService, upstream: &UpstreamId) {
        if service.cold_start.is_some() {
            let mut recent = self.lock();
            let sends = recent.entry(upstream.clone()).or_default();
            sends.record(MonoTime::now());
        }
    }

    /// Drops upstreams that are no longer registered.
    pub(crate) fn retain(&self, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.lock().retain(|id, _| is_registered(id));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, RecentSends>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
