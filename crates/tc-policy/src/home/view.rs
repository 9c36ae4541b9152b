//! Read access to a home's state.

use tc_protocol::{MonoTime, UpstreamSummary};

use super::{HeldPermit, Home};

impl Home {
    /// Returns the granted and unreleased permits, with the time each had left when the home last changed.
    pub fn permits(&self) -> impl Iterator<Item = HeldPermit> + '_ {
        self.permits
            .iter()
            .map(|(permit, held)| self.held_permit(permit, held))
    }

    /// Returns the load summary that entries receive.
    #[must_use]
    pub fn summary(&self, now: MonoTime) -> UpstreamSummary {
        let (in_flight, concurrency) = (self.permits.len(), self.concurrency());
        let waiting = self.queue.len() as u32;
        let ahead = (in_flight + waiting + 1).saturating_sub(concurrency);
        let service_ms = self.health.median_ms(now);
        UpstreamSummary {
            in_flight,
            concurrency,
            waiting,
            wait_ms: f64::from(ahead) * service_ms / f64::from(concurrency),
            service_ms,
            ejected: self.health.is_ejected(),
        }
    }

    /// Returns the number of releases of unknown permits.
    #[must_use]
    pub const fn unknown_releases(&self) -> u64 {
        self.unknown_releases
    }

    /// Returns the number of workspaces in memory, which is bounded by the recently active ones.
    #[must_use]
    pub fn known_workspaces(&self) -> usize {
        self.queue.flows()
    }
}
