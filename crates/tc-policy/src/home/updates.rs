//! What a home is told besides asks and releases: moved permits, gone entries, reports, configuration.

use std::time::Duration;

use tc_protocol::{InstanceId, MonoTime, wire::LoadReport};

use super::{HeldPermit, Home, concurrency::Limiter, permits::Held, state::charge};

impl Home {
    /// Takes in a permit that an earlier home granted. Telling it twice changes nothing.
    pub fn adopt(&mut self, now: MonoTime, held: HeldPermit) {
        self.advance(now);
        if self.permits.contains(held.permit) {
            return;
        }
        let weight = self.queue.weight_of(&held.workspace);
        let flow = self.queue.touch(now, &held.workspace, weight);
        self.queue.start(now, flow, charge(&held.estimate));
        self.permits.insert(
            held.permit,
            Held {
                entry: held.entry,
                flow,
                since: now,
                expires_at: now.after(held.expires_in),
                estimate: held.estimate,
                fingerprint: held.fingerprint,
            },
        );
        self.note_in_flight();
    }

    /// The entry is gone: its permits and asks end.
    pub fn remove_entry(&mut self, now: MonoTime, entry: &InstanceId) {
        self.advance(now);
        for permit in self.permits.of_entry(entry) {
            if let Some(held) = self.permits.remove(permit) {
                self.queue.end(now, held.flow, now.since(held.since), 0.0);
                self.health.ended_untold(permit);
            }
        }
        for key in self.queue.keys(|ask| ask.entry == *entry) {
            self.queue.remove(key);
        }
        self.note_in_flight();
    }

    /// Takes in the upstream's own, lagging report: its slots, whether it leaves, and load that is not ours.
    pub fn record_load_report(&mut self, now: MonoTime, report: &LoadReport) {
        self.advance(now);
        let before = self.report_incarnation.replace(report.incarnation);
        if before.is_some_and(|incarnation| incarnation != report.incarnation) {
            // Another process: what was measured of the last one says nothing of it.
            self.limiter = Limiter::new(self.usable_slots());
            let advice = self.health.restarted();
            self.follow(advice);
        }
        let old = self.usable_slots();
        self.reported_slots = (report.slots > 0).then_some(report.slots);
        self.limiter.set_slots(old, self.usable_slots());
        self.reported_leaving = report.leaving;
        self.foreign.report(now, report, self.permits.len());
    }

    /// Takes in changed configuration.
    pub fn set_config(&mut self, now: MonoTime, slots: u32, queue_per_workspace: u32) {
        self.advance(now);
        let old = self.usable_slots();
        self.slots = slots;
        self.limiter.set_slots(old, self.usable_slots());
        self.queue_per_workspace = queue_per_workspace as usize;
    }

    /// Whether the upstream leaves: it gets no new calls, and waiting asks are dropped so that they ask elsewhere.
    pub fn set_leaving(&mut self, now: MonoTime, leaving: bool) {
        self.advance(now);
        self.leaving = leaving;
    }

    /// Takes in the median service time over the service's upstreams, and whether this one may be, or stay, ejected.
    pub fn set_service_median(
        &mut self,
        now: MonoTime,
        median_service_ms: Option<f64>,
        may_eject: bool,
    ) {
        self.advance(now);
        let advice = self.health.set_service(median_service_ms, may_eject);
        self.follow(advice);
    }

    /// Takes in the shortest wait known at the service's other homes. Asks that would start clearly later here are
    /// redirected from then on; `None` (as at the start) turns that off.
    pub fn set_shortest_wait_elsewhere(&mut self, now: MonoTime, shortest_wait: Option<Duration>) {
        self.advance(now);
        self.elsewhere = shortest_wait;
    }
}
