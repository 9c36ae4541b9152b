//! What a home tells of itself.

use tc_protocol::{MonoTime, UpstreamSummary};

use super::{HeldPermit, Home};

impl Home {
    /// The permits that are granted and not released, with the time each had left when the home last changed.
    pub fn permits(&self) -> impl Iterator<Item = HeldPermit> + '_ {
        self.permits
            .iter()
            .map(|(permit, held)| self.described(permit, held))
    }

    /// Load as told to entries.
    #[must_use]
    pub fn summary(&self, now: MonoTime) -> UpstreamSummary {
        let (in_flight, concurrency) = (self.permits.len(), self.concurrency());
        let waiting = self.queue.len() as u32;
        let before = (in_flight + waiting + 1).saturating_sub(concurrency);
        let service_ms = self.health.median_ms(now);
        UpstreamSummary {
            in_flight,
            concurrency,
            waiting,
            wait_ms: f64::from(before) * service_ms / f64::from(concurrency),
            service_ms,
            ejected: self.health.is_ejected(),
        }
    }

    /// Releases of permits that were unknown.
    #[must_use]
    pub const fn unknown_releases(&self) -> u64 {
        self.unknown_releases
    }

    /// Workspaces kept in memory; bounded by those active lately.
    #[must_use]
    pub fn known_workspaces(&self) -> usize {
        self.queue.flows()
    }
}
