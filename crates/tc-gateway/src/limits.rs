//! Requests to upstreams that announce a rate limit, sent without a grant from a home.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_fleet::{Mesh, UpstreamLimits};
use tc_policy::{UncoordinatedSends, UncoordinatedShare};
use tc_protocol::{
    MonoTime, UpstreamId,
    routing::{RateLimit, RoutedService},
};

/// Upper bound of the `Retry-After` sent to callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Enforces this instance's share of the rate limits of upstreams.
#[derive(Debug)]
pub(crate) struct LimitedSends {
    limits: Arc<UpstreamLimits>,
    sends: Mutex<UncoordinatedSends>,
}

impl LimitedSends {
    pub(crate) fn new(limits: Arc<UpstreamLimits>) -> Self {
        Self {
            limits,
            sends: Mutex::default(),
        }
    }

    /// Returns the limits known to this instance.
    pub(crate) const fn limits(&self) -> &Arc<UpstreamLimits> {
        &self.limits
    }

    /// Returns true if this instance may send to the upstream of a service without asking its home.
    ///
    /// If the service has a home, that home answered that no engine is left, so this instance must not use one with a
    /// rate limit.
    pub(crate) fn may_send(&self, mesh: &Mesh, service: &RoutedService, id: &UpstreamId) -> bool {
        let Some(limit) = self.limits.get(id) else {
            return true;
        };
        service.engine.is_none()
            && self.has_share(mesh, id, UncoordinatedShare::without_home(limit))
    }

    /// Returns true if this instance may send to the engine while its home does not answer.
    pub(crate) fn may_send_with_home_unreachable(&self, mesh: &Mesh, id: &UpstreamId) -> bool {
        let Some(limit) = self.limits.get(id) else {
            return true;
        };
        self.has_share(mesh, id, UncoordinatedShare::with_home_unreachable(limit))
    }

    /// Records a request that this instance sends without a grant.
    pub(crate) fn record(&self, id: &UpstreamId) {
        self.lock().record(MonoTime::now(), id);
    }

    /// Returns the time after which one of the limited upstreams takes another request; `None` if none is limited.
    pub(crate) fn wait_for_any<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a UpstreamId>,
    ) -> Option<Duration> {
        let limits = upstreams.filter_map(|id| self.limits.get(id));
        let per_s: Vec<f64> = limits.map(RateLimit::per_s).collect();
        if per_s.is_empty() {
            return None;
        }
        let per_s: f64 = per_s.iter().sum();
        let seconds = 1.0 / per_s.max(1.0 / MAX_RETRY_AFTER.as_secs_f64());
        Some(Duration::from_secs_f64(seconds))
    }

    /// Drops upstreams that are no longer registered.
    pub(crate) fn retain(&self, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.limits.retain(&is_registered);
        self.lock().retain(is_registered);
    }

    fn has_share(&self, mesh: &Mesh, id: &UpstreamId, share: UncoordinatedShare) -> bool {
        let (now, members) = (MonoTime::now(), mesh.members());
        self.lock()
            .may_send(now, &mesh.me().id, &members, id, share)
    }

    fn lock(&self) -> MutexGuard<'_, UncoordinatedSends> {
        self.sends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
