//! How long an engine takes to the first event of a request, by the length of its prompt.

use std::time::Duration;

/// What an engine is taken to need before any request was measured: fetching inputs, a short prompt and the first step.
const UNKNOWN: Duration = Duration::from_millis(150);
/// Requests measured before they are gone by.
const ENOUGH: f64 = 8.0;
/// Part of what was learnt that stays with each new request: the last hundred count for two thirds. One instance sees
/// that many in some ten seconds, and an engine's load changes in that time.
const KEPT: f64 = 0.99;
/// Requests that the memory holds at most with that part; more weight than this cannot gather.
const MOST_WEIGHT: f64 = 1.0 / (1.0 - KEPT);

/// Times to the first event, as a line over the tokens of the prompt.
///
/// Long prompts and short ones of one service differ by fifty times: 30 ms for 800 tokens, a second for 50,000. One figure
/// for all of them makes the stages before a long prompt end too late for it, and refuses short ones that could have been
/// in time.
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
    /// A request with so many prompt tokens had its first event after `took`.
    pub fn record(&mut self, tokens: u32, took: Duration) {
        let tokens = f64::from(tokens);
        let ms = took.as_secs_f64() * 1_000.0;
        self.weight = self.weight.mul_add(KEPT, 1.0).min(MOST_WEIGHT);
        self.tokens = self.tokens.mul_add(KEPT, tokens);
        self.ms = self.ms.mul_add(KEPT, ms);
        self.tokens_squared = self.tokens_squared.mul_add(KEPT, tokens * tokens);
        self.tokens_by_ms = self.tokens_by_ms.mul_add(KEPT, tokens * ms);
    }

    /// Expected time of a request with so many prompt tokens.
    #[must_use]
    pub fn estimate(&self, tokens: u32) -> Duration {
        if self.weight < ENOUGH {
            return UNKNOWN;
        }
        let (mean_tokens, mean_ms) = (self.tokens / self.weight, self.ms / self.weight);
        let spread = self.tokens_squared / self.weight - mean_tokens * mean_tokens;
        let together = self.tokens_by_ms / self.weight - mean_tokens * mean_ms;
        // All of one length: nothing tells how it grows. Longer prompts never take less.
        let slope = if spread > 1.0 {
            (together / spread).max(0.0)
        } else {
            0.0
        };
        let ms = mean_ms + slope * (f64::from(tokens) - mean_tokens);
        Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
    }
}
