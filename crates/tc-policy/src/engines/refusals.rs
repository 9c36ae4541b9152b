//! Room at an engine that has refused a request because it is full.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Time after which a full engine is tried again, as a fraction of the usual time of a run: that fraction of its slots is
/// expected to be free by then.
const PROBE_FRACTION: f64 = 0.25;
/// Bounds of that time.
const PROBE_BOUNDS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(300));

/// Evidence of the room at an engine from its refusals, which are no failures: the engine works.
#[derive(Debug, Default)]
pub(super) struct Refusals(Option<Full>);

#[derive(Clone, Copy, Debug)]
struct Full {
    since: MonoTime,
    /// Runs that the engine kept when it refused another one.
    runs: u32,
    next_probe: MonoTime,
}

fn probe_delay(run_time: Duration) -> Duration {
    let delay = run_time.mul_f64(PROBE_FRACTION);
    delay.clamp(PROBE_BOUNDS.0, PROBE_BOUNDS.1)
}

impl Refusals {
    /// Records a refusal by an engine with this many unfinished runs. `run_time` is the usual time of a run.
    pub(super) fn record(&mut self, now: MonoTime, runs: u32, run_time: Duration) {
        self.0 = Some(Full {
            since: now,
            runs,
            next_probe: now.after(probe_delay(run_time)),
        });
    }

    /// Returns true if one more run than these may be sent: in place of one that has ended, or as a probe.
    pub(super) fn allow(&self, now: MonoTime, runs: u32) -> bool {
        self.0
            .is_none_or(|full| runs < full.runs || full.next_probe <= now)
    }

    /// Records a run that is sent in addition to these; the next probe waits for its outcome.
    pub(super) fn record_send(&mut self, now: MonoTime, runs: u32, run_time: Duration) {
        if let Some(full) = self.0.as_mut().filter(|full| runs >= full.runs) {
            full.next_probe = now.after(probe_delay(run_time));
        }
    }

    /// Records evidence of free slots at a time: the engine began to run a request that was sent then, or reported them.
    pub(super) fn record_room(&mut self, at: MonoTime) {
        self.0.take_if(|full| full.since <= at);
    }
}
