//! Adaptive throttling: when requests of one kind keep failing for lack of capacity, most of them are refused at
//! admission.
//!
//! Latency quantiles alone do not limit an overload, as they only cover requests that were answered, which had
//! capacity. The early stages of the others are wasted work. The throttle therefore tracks the share of requests that
//! got capacity over a few seconds, and admits slightly more than that share. The excess keeps the upstreams busy and
//! detects when capacity is available again.

use tc_protocol::MonoTime;

/// Requests admitted per accepted request while others miss. The part above 1 is wasted in the early stages.
const ADMIT_FACTOR_EXHAUSTED: f64 = 1.1;
/// The same while no request misses: there may be capacity again, and this bounds how fast admission grows.
const ADMIT_FACTOR_AVAILABLE: f64 = 3.0;
/// Share of misses among the admitted requests from which capacity counts as exhausted.
const EXHAUSTED_MISS_SHARE: f64 = 0.05;
/// Time constant of the exponential decay of outcomes, in seconds.
const WINDOW_S: f64 = 2.0;
/// Minimum number of requests admitted per window. After a total outage no request was accepted, and a multiple of zero
/// would never detect the recovery. It is a lower bound and not an addition: each instance has as many kinds as
/// workspaces times pipelines, and two additional requests per second of each kind took a tenth of an overloaded
/// fleet's capacity, wasted in the early stages.
const MIN_ADMITTED: f64 = 4.0;
/// Outcomes below which nothing is refused: a few misses of a small workspace are no overload.
const MIN_OUTCOMES: f64 = 10.0;

/// Tracks the outcomes of one kind of request, such as those of a workspace for a pipeline.
///
/// ```
/// use tc_policy::Throttle;
/// use tc_protocol::MonoTime;
/// let mut throttle = Throttle::default();
/// let now = MonoTime::from_millis(1);
/// (0..100).for_each(|_| throttle.record_missed(now));
/// assert!(throttle.refusal_probability(now) > 0.9);
/// assert_eq!(throttle.refusal_probability(MonoTime::from_millis(60_000)), 0.0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    refused: f64,
    missed: f64,
    accepted: f64,
    at: MonoTime,
}

impl Throttle {
    /// Returns the probability of refusing a new request, from 0 to below 1.
    #[must_use]
    pub fn refusal_probability(&self, now: MonoTime) -> f64 {
        let decay = self.decay(now);
        let offered = (self.refused + self.missed + self.accepted) * decay;
        if offered < MIN_OUTCOMES {
            return 0.0;
        }
        let admit_limit = (self.admit_factor() * self.accepted * decay).max(MIN_ADMITTED);
        ((offered - admit_limit) / (offered + 1.0)).max(0.0)
    }

    /// Decides whether to admit a request; `random` is uniform between 0 and 1.
    pub fn admit(&mut self, now: MonoTime, random: f64) -> bool {
        let admitted = random >= self.refusal_probability(now);
        if !admitted {
            self.apply_decay(now);
            self.refused += 1.0;
        }
        admitted
    }

    /// Records that an admitted request got capacity, whatever its answer was.
    pub fn record_accepted(&mut self, now: MonoTime) {
        self.apply_decay(now);
        self.accepted += 1.0;
    }

    /// Records that an admitted request got no capacity in time.
    pub fn record_missed(&mut self, now: MonoTime) {
        self.apply_decay(now);
        self.missed += 1.0;
    }

    fn admit_factor(&self) -> f64 {
        let missed_share = self.missed / (self.missed + self.accepted).max(1.0);
        let available = 1.0 - (missed_share / EXHAUSTED_MISS_SHARE).min(1.0);
        ADMIT_FACTOR_EXHAUSTED + (ADMIT_FACTOR_AVAILABLE - ADMIT_FACTOR_EXHAUSTED) * available
    }

    fn apply_decay(&mut self, now: MonoTime) {
        let decay = self.decay(now);
        self.refused *= decay;
        self.missed *= decay;
        self.accepted *= decay;
        self.at = now.max(self.at);
    }

    fn decay(&self, now: MonoTime) -> f64 {
        (-now.since(self.at).as_secs_f64() / WINDOW_S).exp()
    }
}
