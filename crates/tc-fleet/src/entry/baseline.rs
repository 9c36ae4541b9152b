//! The baseline policy for experiments: round robin without homes, which grants every permit immediately.

use std::{
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
    time::Duration,
};

use tc_protocol::{
    FleetView, Grant, Permit, PermitId, PermitRefusal, PermitRequest, RefusalReason,
};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Selects upstreams in turn.
#[derive(Default)]
pub(crate) struct RoundRobin {
    next: AtomicUsize,
}

impl RoundRobin {
    pub(crate) fn request_permit(
        &self,
        view: &FleetView,
        request: &PermitRequest,
    ) -> Result<Permit, PermitRefusal> {
        let upstreams = view
            .upstreams
            .get(&request.service)
            .map(Vec::as_slice)
            .unwrap_or_default();
        let usable: Vec<_> = upstreams
            .iter()
            .filter(|state| !state.leaving && !request.excluded.contains(&state.upstream.id))
            .collect();
        if usable.is_empty() {
            return Err(PermitRefusal {
                reason: RefusalReason::NoUpstream,
                retry_after: RETRY_AFTER,
            });
        }
        let upstream = &usable[self.next.fetch_add(1, Relaxed) % usable.len()].upstream;
        let grant = Grant {
            permit: PermitId(0),
            upstream: upstream.id.clone(),
            address: upstream.address,
            expires_in: request.run_for,
            waited: Duration::ZERO,
        };
        Ok(Permit::new(grant, "round robin".to_owned(), |_| ()))
    }
}
