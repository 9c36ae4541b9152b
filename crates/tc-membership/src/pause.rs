//! Detection of process pauses.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Detects pauses from the gaps between regular heartbeats.
///
/// A paused process (a stopped virtual machine, a stalled scheduler) continues as if no time had
/// passed. It would act on an expired lease, and declare instances dead whose replies it has not
/// read. The gap between two heartbeats reveals the pause.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    threshold: Duration,
    last: Option<MonoTime>,
}

impl PauseDetector {
    /// Reports gaps longer than `threshold`. Heartbeats must come at much shorter intervals.
    #[must_use]
    pub fn new(threshold: Duration) -> Self {
        Self {
            threshold,
            last: None,
        }
    }

    /// Records a heartbeat. Returns the gap since the last one if it exceeds the threshold.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_membership::PauseDetector;
    /// use tc_protocol::MonoTime;
    /// let mut pauses = PauseDetector::new(Duration::from_millis(500));
    /// assert_eq!(pauses.heartbeat(MonoTime::from_millis(100)), None);
    /// assert_eq!(pauses.heartbeat(MonoTime::from_millis(600)), None);
    /// assert_eq!(pauses.heartbeat(MonoTime::from_millis(1_700)), Some(Duration::from_millis(1_100)));
    /// ```
    pub fn heartbeat(&mut self, now: MonoTime) -> Option<Duration> {
        let last = self.last.replace(now)?;
        let gap = now.since(last);
        (gap > self.threshold).then_some(gap)
    }
}
