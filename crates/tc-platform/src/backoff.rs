//! Exponential backoff with jitter.

use std::time::Duration;

/// Growth of the delay window per retry.
const FACTOR: u32 = 2;

/// Computes retry delays, each drawn from the upper half of a window that doubles up to a limit.
///
/// Without jitter, all instances that saw the same outage would retry at the same time and overload
/// the store. It would hit its rate limit in bursts, one per window.
///
/// ```
/// use std::time::Duration;
/// use tc_platform::Backoff;
/// let mut backoff = Backoff::new(Duration::from_millis(10), Duration::from_millis(25));
/// assert_eq!(backoff.next_delay(0.0), Duration::from_millis(5));
/// assert_eq!(backoff.next_delay(0.5), Duration::from_millis(15));
/// assert_eq!(backoff.next_delay(0.0), Duration::from_micros(12_500));
/// backoff.reset();
/// assert_eq!(backoff.next_delay(0.0), Duration::from_millis(5));
/// ```
#[derive(Clone, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    window: Duration,
}

impl Backoff {
    /// Creates a backoff whose window grows from `initial` to `max`.
    #[must_use]
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            window: initial.min(max),
        }
    }

    /// Returns the next delay, given a random number in `0.0..1.0`.
    pub fn next_delay(&mut self, random: f64) -> Duration {
        let window = self.window;
        self.window = (window * FACTOR).min(self.max);
        window.mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
    }

    /// Sleeps for the next delay.
    pub async fn wait(&mut self) {
        tokio::time::sleep(self.next_delay(rand::random())).await;
    }

    /// Resets the window after a success.
    pub fn reset(&mut self) {
        self.window = self.initial.min(self.max);
    }
}
