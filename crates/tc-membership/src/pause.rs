//! Notices that this process was paused.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Compares the times of regular beats.
///
/// A paused process (a stopped virtual machine, a stalled scheduler) goes on as if no time had passed: it would act on
/// a lease that lapsed and call others dead whose answers it did not read. The gap between two beats shows it.
#[derive(Clone, Debug)]
pub struct PauseDetector {
    threshold: Duration,
    last: Option<MonoTime>,
}

impl PauseDetector {
    /// Reports gaps longer than `threshold`; beats must come well inside it.
    #[must_use]
    pub fn new(threshold: Duration) -> Self {
        Self {
            threshold,
            last: None,
        }
    }

    /// Records a beat. Returns the gap since the last one if it is longer than the threshold.
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
