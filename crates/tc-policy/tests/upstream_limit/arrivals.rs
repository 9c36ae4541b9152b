//! Checks the limit against the requests that arrive at the upstream.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Length of the windows in which arrivals are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first announcement before counting starts.
pub(crate) const SETTLE_TIME: Duration = Duration::from_secs(3);
/// An instance's requests are counted from this time after it first received an answer with a limit and reported it.
pub(crate) const COUNT_DELAY: Duration = Duration::from_millis(500);

/// A request that arrived at the upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: MonoTime,
    /// Whether the sender had known the limit for [`COUNT_DELAY`] and was not affected by a fault.
    pub(crate) is_counted: bool,
}

/// Returns the maximum number of requests in one window.
pub(crate) fn max_per_window(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the highest number of counted requests in any window, over arrivals from `from` until before `to`.
pub(crate) fn peak_in_window(arrivals: &[Arrival], from: MonoTime, to: MonoTime) -> usize {
    let mut counted: Vec<MonoTime> = arrivals
        .iter()
        .filter(|arrival| arrival.is_counted && arrival.at >= from && arrival.at < to)
        .map(|arrival| arrival.at)
        .collect();
    counted.sort_unstable();
    let mut end = 0;
    let mut peak = 0;
    for (start, at) in counted.iter().enumerate() {
        while end < counted.len() && counted[end] < at.after(WINDOW) {
            end += 1;
        }
        peak = peak.max(end - start);
    }
    peak
}
