//! Measures how far this process falls behind its work: its processor time, the delay of its event loops, and the time
//! spent in the planners of its homes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};
use tc_protocol::MonoTime;
use tokio::time::sleep;

/// Interval at which the delay of an event loop is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between two log lines of an event loop.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of an event loop from which on it is logged. Half a latency target of 300 ms is spent before any work then.
const LOGGED_DELAY: Duration = Duration::from_millis(150);

/// Load of this process.
#[derive(Debug, Default)]
pub(crate) struct ProcessLoad {
    /// Time spent in the planners of the homes of batch services, in nanoseconds.
    planning_ns: AtomicU64,
}

/// Measurements of an event loop since its last report.
#[derive(Clone, Copy)]
struct Period {
    started: MonoTime,
    cpu: Duration,
    planning: Duration,
    max_delay: Duration,
}

impl ProcessLoad {
    /// Adds time spent in the planner of a home.
    pub(crate) fn add_planning(&self, took: Duration) {
        let took_ns = took.as_nanos() as u64;
        self.planning_ns.fetch_add(took_ns, Ordering::Relaxed);
    }

    /// Samples the delay of the event loop that runs this future, until it is dropped.
    pub(crate) async fn observe(self: Arc<Self>, runtime: &'static str) {
        let delays = metrics::histogram!("tc_event_loop_delay_ms", "runtime" => runtime);
        let mut period = self.period();
        loop {
            let due = MonoTime::now().after(SAMPLE_INTERVAL);
            sleep(SAMPLE_INTERVAL).await;
            let delay = MonoTime::now().since(due);
            delays.record(delay.as_secs_f64() * 1_000.0);
            period.max_delay = period.max_delay.max(delay);
            if MonoTime::now().since(period.started) >= REPORT_INTERVAL {
                period = self.report(runtime, period);
            }
        }
    }

    /// Reports a period and starts the next one.
    fn report(&self, runtime: &'static str, period: Period) -> Period {
        let next = self.period();
        metrics::gauge!("tc_process_cpu_ms").set(next.cpu.as_secs_f64() * 1_000.0);
        metrics::gauge!("tc_home_planning_ms").set(next.planning.as_secs_f64() * 1_000.0);
        if period.max_delay >= LOGGED_DELAY {
            log::warn!(
                runtime = runtime,
                max_delay_ms = period.max_delay.as_millis() as u64,
                period_ms = next.started.since(period.started).as_millis() as u64,
                cpu_ms = next.cpu.saturating_sub(period.cpu).as_millis() as u64,
                planning_ms = next.planning.saturating_sub(period.planning).as_millis() as u64;
                "event loop is late"
            );
        }
        next
    }

    fn period(&self) -> Period {
        Period {
            started: MonoTime::now(),
            cpu: cpu_time(),
            planning: Duration::from_nanos(self.planning_ns.load(Ordering::Relaxed)),
            max_delay: Duration::ZERO,
        }
    }
}

/// Returns the processor time that this process has used, or zero if it cannot be read.
fn cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID).map_or(Duration::ZERO, Duration::from)
}
