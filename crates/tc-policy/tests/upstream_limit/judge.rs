//! The bound as it shows at the upstream.

use std::time::Duration;

use tc_protocol::MonoTime;

/// Length of the windows in which requests are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first announcement from which windows begin.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
/// An instance's sends count from this time after it passed on an announcement.
pub(crate) const PASSED_ON: Duration = Duration::from_millis(500);

/// A request that arrived at the upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: MonoTime,
    /// Whether the sender knew of the limit for long enough and was not disturbed.
    pub(crate) counts: bool,
}

/// Returns how many requests a window may hold.
pub(crate) fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Returns the most counted requests in any window that begins at `from` or later and ends by `to`.
pub(crate) fn most_in_window(arrivals: &[Arrival], from: MonoTime, to: MonoTime) -> usize {
    let mut counted: Vec<MonoTime> = arrivals
        .iter()
        .filter(|arrival| arrival.counts && arrival.at >= from && arrival.at < to)
        .map(|arrival| arrival.at)
        .collect();
    counted.sort_unstable();
    let mut end = 0;
    let mut most = 0;
    for (start, at) in counted.iter().enumerate() {
        while end < counted.len() && counted[end] < at.after(WINDOW) {
            end += 1;
        }
        most = most.max(end - start);
    }
    most
}
