//! Updates to a home other than requests and releases: adopted permits, removed entries, load reports, configuration.

use std::time::Duration;

use tc_protocol::{InstanceId, MonoTime, wire::LoadReport};

use super::{HeldPermit, Home, concurrency::Limiter, permits::PermitState, state::charge};

impl Home {
    /// Adopts a permit that an earlier home granted. Adopting it again has no effect.
    pub fn adopt(&mut self, now: MonoTime, held: HeldPermit) {
        self.advance(now);
        if self.permits.contains(held.permit) {
            return;
        }
        let weight = self.queue.weight_of(&held.workspace);
        let flow = self.queue.get_or_insert_flow(now, &held.workspace, weight);
        self.queue.start(now, flow, charge(&held.estimate));
        self.permits.insert(
            held.permit,
            PermitState {
                entry: held.entry,
                flow,
                since: now,
                expires_at: now.after(held.expires_in),
                estimate: held.estimate,
                fingerprint: held.fingerprint,
            },
        );
        self.record_in_flight();
    }

    /// Removes an entry that is gone, with its permits and waiting requests.
    pub fn remove_entry(&mut self, now: MonoTime, entry: &InstanceId) {
        self.advance(now);
        for permit in self.permits.of_entry(entry) {
            if let Some(held) = self.permits.remove(permit) {
                self.queue.end(now, held.flow, now.since(held.since), 0.0);
                self.health.ended_without_evidence(permit);
            }
        }
        for key in self.queue.keys(|request| request.entry == *entry) {
            self.queue.remove(key);
        }
        self.record_in_flight();
    }

    /// Applies the upstream's own load report, which lags behind: its slots, whether it is leaving, and load from calls
    /// that this home did not grant.
    pub fn record_load_report(&mut self, now: MonoTime, report: &LoadReport) {
        self.advance(now);
        let previous = self.report_incarnation.replace(report.incarnation);
        if previous.is_some_and(|incarnation| incarnation != report.incarnation) {
            // The upstream restarted; measurements of the previous process do not apply.
            self.limiter = Limiter::new(self.usable_slots());
            let action = self.health.restarted();
            self.apply_health_action(action);
        }
        let old = self.usable_slots();
        self.reported_slots = (report.slots > 0).then_some(report.slots);
        self.limiter.set_slots(old, self.usable_slots());
        self.reported_leaving = report.leaving;
        self.foreign.report(now, report, self.permits.len());
    }

    /// Applies changed configuration.
    pub fn set_config(&mut self, now: MonoTime, slots: u32, queue_per_workspace: u32) {
        self.advance(now);
        let old = self.usable_slots();
        self.slots = slots;
        self.limiter.set_slots(old, self.usable_slots());
        self.queue_per_workspace = queue_per_workspace as usize;
    }

    /// Sets whether the upstream is leaving. If so, it gets no new calls, and waiting requests are dropped so that
    /// their entries try other upstreams.
    pub fn set_leaving(&mut self, now: MonoTime, leaving: bool) {
        self.advance(now);
        self.leaving = leaving;
    }

    /// Sets the median service time over the service's upstreams, and whether this one may be, or stay, ejected.
    pub fn set_service_median(
        &mut self,
        now: MonoTime,
        median_service_ms: Option<f64>,
        may_eject: bool,
    ) {
        self.advance(now);
        let action = self.health.set_service_median(median_service_ms, may_eject);
        self.apply_health_action(action);
    }

    /// Sets the shortest known wait at the service's other homes.
    ///
    /// From then on, requests that would start clearly later here are redirected. `None`, the initial value, disables
    /// that.
    pub fn set_shortest_wait_elsewhere(&mut self, now: MonoTime, shortest_wait: Option<Duration>) {
        self.advance(now);
        self.shortest_wait_elsewhere = shortest_wait;
    }
}
