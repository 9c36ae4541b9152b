//! Latency quantiles.

use hdrhistogram::Histogram;

/// Longest latency told apart, in microseconds: ten minutes.
const LONGEST_US: u64 = 600_000_000;
/// Significant digits kept.
const DIGITS: u8 = 3;

/// Latencies of many requests.
#[derive(Clone, Debug)]
pub struct Latencies(Histogram<u64>);

impl Latencies {
    /// Collects latencies given in milliseconds.
    ///
    /// ```
    /// use tc_bench::Latencies;
    /// let latencies = Latencies::of((1..=100).map(f64::from));
    /// assert!((latencies.quantile_ms(0.5) - 50.0).abs() < 0.1);
    /// assert_eq!(Latencies::of([]).quantile_ms(0.99), 0.0);
    /// ```
    ///
    /// # Panics
    /// Never: the histogram's bounds are constants that fit.
    #[must_use]
    pub fn of(latencies_ms: impl IntoIterator<Item = f64>) -> Self {
        let mut histogram =
            Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("constant bounds fit");
        for ms in latencies_ms {
            histogram.saturating_record((ms * 1_000.0).max(1.0) as u64);
        }
        Self(histogram)
    }

    /// The latency below which a share `quantile` lies, in milliseconds; zero when there is none.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        if self.0.is_empty() {
            return 0.0;
        }
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }
}
