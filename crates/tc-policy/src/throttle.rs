//! Admission by outcome: when requests of one kind keep missing for want of room, most of them are refused at once.
//!
//! Time quantiles alone do not refuse in an overload: they are fed by the requests that were answered, and those had
//! room. What the others cost in their early stages is wasted. So the share of requests that got room is kept, over a
//! few seconds, and only a little more than that share is let in. The little more keeps the upstreams full and finds
//! out when there is room again.

use tc_protocol::MonoTime;

/// Requests let in per request that got room while others miss. What is above 1 is wasted in the early stages.
const LET_IN_WHILE_FULL: f64 = 1.1;
/// The same while none misses: there may be room again, and this bounds how fast admission follows.
const LET_IN_WHILE_FREE: f64 = 3.0;
/// Share of misses among the requests let in from which the place counts as full.
const FULL_SHARE: f64 = 0.05;
/// Time over which outcomes count, in seconds: each second weighs less than the one after it.
const WINDOW_S: f64 = 2.0;
/// Requests let in per window whatever the outcomes: after a total outage none got room, and nothing would be found out.
/// It is a floor and does not come on top: there are as many kinds as workspaces times pipelines at each instance, and
/// two more a second of each were a tenth of an overloaded fleet's capacity, wasted in the early stages.
const LEAST_LET_IN: f64 = 4.0;
/// Outcomes below which nothing is refused: a few misses of a small workspace are no overload.
const LEAST_OUTCOMES: f64 = 10.0;

/// Outcomes of one kind of request, such as those of a workspace for a pipeline.
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
    got_room: f64,
    at: MonoTime,
}

impl Throttle {
    /// Share of new requests to refuse, from 0 to below 1.
    #[must_use]
    pub fn refusal_probability(&self, now: MonoTime) -> f64 {
        let decay = self.decay(now);
        let offered = (self.refused + self.missed + self.got_room) * decay;
        if offered < LEAST_OUTCOMES {
            return 0.0;
        }
        let let_in = (self.let_in_factor() * self.got_room * decay).max(LEAST_LET_IN);
        ((offered - let_in) / (offered + 1.0)).max(0.0)
    }

    /// Whether to let a request in, `random` being uniform from 0 to 1.
    pub fn admit(&mut self, now: MonoTime, random: f64) -> bool {
        let admitted = random >= self.refusal_probability(now);
        if !admitted {
            self.age(now);
            self.refused += 1.0;
        }
        admitted
    }

    /// A request that was let in found room, whatever its answer was.
    pub fn record_accepted(&mut self, now: MonoTime) {
        self.age(now);
        self.got_room += 1.0;
    }

    /// A request that was let in found no room in time.
    pub fn record_missed(&mut self, now: MonoTime) {
        self.age(now);
        self.missed += 1.0;
    }

    fn let_in_factor(&self) -> f64 {
        let missed_share = self.missed / (self.missed + self.got_room).max(1.0);
        let free = 1.0 - (missed_share / FULL_SHARE).min(1.0);
        LET_IN_WHILE_FULL + (LET_IN_WHILE_FREE - LET_IN_WHILE_FULL) * free
    }

    fn age(&mut self, now: MonoTime) {
        let decay = self.decay(now);
        self.refused *= decay;
        self.missed *= decay;
        self.got_room *= decay;
        self.at = now.max(self.at);
    }

    fn decay(&self, now: MonoTime) -> f64 {
        (-now.since(self.at).as_secs_f64() / WINDOW_S).exp()
    }
}
