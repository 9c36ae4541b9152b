//! Time to the first event of a request, estimated from the length of its prompt.

use std::time::Duration;

/// Estimate before enough requests were measured: it covers fetching the inputs, a short prompt and the first step.
const DEFAULT_ESTIMATE: Duration = Duration::from_millis(150);
/// Total weight of the samples from which the estimate is used.
const MIN_WEIGHT: f64 = 8.0;
/// Decay of the old samples with each new one: the last hundred samples carry two thirds of the weight. One instance
/// sees about that many in ten seconds, and an engine's load changes within that time.
const DECAY: f64 = 0.99;
/// Limit of the total weight under that decay.
const MAX_WEIGHT: f64 = 1.0 / (1.0 - DECAY);

/// Time to the first event as a linear function of the prompt tokens.
///
/// Times within one service differ by a factor of fifty: 30 ms for 800 tokens, a second for 50,000. With a single value
/// for all prompts, the stages before a long prompt would finish too late for it, and short prompts would be refused
/// that could have met their deadline.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::PromptTimes;
/// let mut times = PromptTimes::default();
/// for tokens in [1_000, 10_000].into_iter().cycle().take(20) {
///     times.record(tokens, Duration::from_millis(20 + u64::from(tokens) / 50));
/// }
/// let expected = times.estimate(30_000).as_millis();
/// assert!((600..=640).contains(&expected), "{expected}");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct PromptTimes {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_by_ms: f64,
}

impl PromptTimes {
    /// Records that a request with this many prompt tokens had its first event after `took`.
    pub fn record(&mut self, tokens: u32, took: Duration) {
        let tokens = f64::from(tokens);
        let ms = took.as_secs_f64() * 1_000.0;
        self.weight = self.weight.mul_add(DECAY, 1.0).min(MAX_WEIGHT);
        self.tokens = self.tokens.mul_add(DECAY, tokens);
        self.ms = self.ms.mul_add(DECAY, ms);
        self.tokens_squared = self.tokens_squared.mul_add(DECAY, tokens * tokens);
        self.tokens_by_ms = self.tokens_by_ms.mul_add(DECAY, tokens * ms);
    }

    /// Returns true if enough requests were measured for an estimate.
    #[must_use]
    pub fn is_measured(&self) -> bool {
        self.weight >= MIN_WEIGHT
    }

    /// Returns the estimated time to the first event for a prompt of this many tokens.
    #[must_use]
    pub fn estimate(&self, tokens: u32) -> Duration {
        if !self.is_measured() {
            return DEFAULT_ESTIMATE;
        }
        let (mean_tokens, mean_ms) = (self.tokens / self.weight, self.ms / self.weight);
        let variance = self.tokens_squared / self.weight - mean_tokens * mean_tokens;
        let covariance = self.tokens_by_ms / self.weight - mean_tokens * mean_ms;
        // Prompts of a single length do not determine a slope. The slope is never negative, as a longer prompt does not
        // take less time.
        let slope = if variance > 1.0 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        let ms = mean_ms + slope * (f64::from(tokens) - mean_tokens);
        Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
    }
}
