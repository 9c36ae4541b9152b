//! What this instance sends by itself to upstreams that are, or may be, cold: see [`tc_policy::ColdLimit`].

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tc_fleet::Mesh;
use tc_policy::{ColdLimit, RecentSends, may_send_without_home};
use tc_protocol::{
    MonoTime, UpstreamId,
    routing::{RegisteredUpstream, RoutedService},
};

use crate::settings::ColdAllowance;

/// Keeps this instance's share of what all may send without a home's word.
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

    /// What all instances together may send to one cold upstream of a service; `None` where none is fragile.
    pub(crate) fn limit(&self, service: &RoutedService) -> Option<ColdLimit> {
        let cold = service.cold_start?;
        let ColdAllowance { excess, slack } = self.allowance;
        Some(ColdLimit::new(cold.max_requests_per_s, excess, slack))
    }

    /// Whether this instance may send a request to an upstream by itself.
    ///
    /// Engines have a home that knows what they were sent; who goes without it keeps to its share whether they are known to be
    /// cold or not, and leaves out those that are. Other services have none, so their upstreams' whole limit is shared out.
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
            return !is_cold && self.has_share(mesh, &upstream.id, limit.senders_without_home());
        }
        !is_cold || self.has_share(mesh, &upstream.id, limit.total())
    }

    /// Whether this instance is one of `max_senders` that may send to an upstream, and has not done so in the last moment.
    pub(crate) fn has_share(&self, mesh: &Mesh, upstream: &UpstreamId, max_senders: u32) -> bool {
        let now = MonoTime::now();
        let recent = self
            .lock()
            .get(upstream)
            .map_or(0, |sends| sends.count(now));
        recent == 0 && may_send_without_home(&mesh.me().id, &mesh.members(), upstream, max_senders)
    }

    /// Counts a request that this instance sends by itself.
    pub(crate) fn record(&self, service: &RoutedService, upstream: &UpstreamId) {
        if service.cold_start.is_some() {
            let mut recent = self.lock();
            let sends = recent.entry(upstream.clone()).or_default();
            sends.record(MonoTime::now());
        }
    }

    /// Forgets upstreams that are gone.
    pub(crate) fn retain(&self, keep: impl Fn(&UpstreamId) -> bool) {
        self.lock().retain(|id, _| keep(id));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, RecentSends>> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
