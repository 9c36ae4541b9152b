//! Sends to upstreams that fall over when they have to refuse too many requests.

use std::{collections::HashMap, time::Duration};

use tc_protocol::{MonoTime, UpstreamId};

/// Part of the survivable refusals that the senders cause on average. They do not know of each other, so
/// that some seconds see several times the average.
const SENDER_PART: f64 = 0.125;
/// Shortest backoff as a part of the average one. The wide spread keeps senders that were refused at the same
/// time from returning at the same time.
const MIN_BACKOFF_PART: f64 = 0.5;
/// Lowest number of refusals per second that an upstream is taken to survive.
const MIN_REFUSALS_PER_S: f64 = 0.1;
/// Factor applied to the number of concurrent requests after a refusal.
const WINDOW_DECREASE: f64 = 0.5;

/// The instances that send to an upstream, and whether this one limits its requests in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Senders {
    /// Number of instances that send to it without knowing of each other.
    pub count: usize,
    /// Whether this instance asks [`BrittleUpstreams::may_send`] before each request.
    pub is_windowed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Brittle {
    refusals_per_s: f64,
    /// Number of requests that this instance may have in progress.
    window: f64,
    /// Time from which answers increase the window.
    grows_from: MonoTime,
}

/// The upstreams that announce how many refusals in a second they survive.
///
/// An instance has one request in progress at such an upstream at first, and more as requests are
/// answered. A refusal halves that number. An instance that was refused its only request stays away for
/// so long that all instances together cause an eighth of the survivable refusals. For the same time
/// after any refusal the number does not grow.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{BrittleUpstreams, Senders};
/// use tc_protocol::MonoTime;
/// let now = MonoTime::from_millis(1_000);
/// let senders = Senders { count: 8, is_windowed: true };
/// let mut brittle = BrittleUpstreams::default();
/// let id = "web-1".into();
/// assert!(brittle.may_send(&id, 100));
/// brittle.record_answer(now, &id, Some(4.0));
/// assert!(brittle.may_send(&id, 1), "an answer allows a second request");
/// assert!(!brittle.may_send(&id, 2));
/// assert_eq!(brittle.record_refusal(now, &id, Some(4.0), senders, 0.5), None);
/// assert!(!brittle.may_send(&id, 1), "one request is left");
/// let backoff = brittle.record_refusal(now, &id, Some(4.0), senders, 0.5);
/// assert_eq!(backoff, Some(Duration::from_secs(16)));
/// brittle.record_answer(now, &id, None);
/// assert!(brittle.may_send(&id, 100), "an answer without it ends the restriction");
/// ```
#[derive(Clone, Debug, Default)]
pub struct BrittleUpstreams {
    by_upstream: HashMap<UpstreamId, Brittle>,
}

impl BrittleUpstreams {
    /// Records an answer to a request that the upstream accepted, with the number of refusals per second
    /// that it announces to survive.
    pub fn record_answer(&mut self, now: MonoTime, id: &UpstreamId, announced: Option<f64>) {
        let Some(announced) = announced else {
            self.by_upstream.remove(id);
            return;
        };
        let brittle = self.update(id, announced);
        if now >= brittle.grows_from {
            brittle.window += 1.0 / brittle.window;
        }
    }

    /// Records a refusal for want of room. Returns the time for which this instance must not send to
    /// the upstream, spread by `random` from 0 to 1; `None` if it may go on with fewer requests in
    /// progress, or if the upstream is not brittle.
    pub fn record_refusal(
        &mut self,
        now: MonoTime,
        id: &UpstreamId,
        announced: Option<f64>,
        senders: Senders,
        random: f64,
    ) -> Option<Duration> {
        // A refusal without the announcement does not end the restriction.
        let known = self.by_upstream.get(id).map(|known| known.refusals_per_s);
        let brittle = self.update(id, announced.or(known)?);
        let per_sender = brittle.refusals_per_s * SENDER_PART / senders.count.max(1) as f64;
        let spread = MIN_BACKOFF_PART + random.clamp(0.0, 1.0);
        let backoff = Duration::from_secs_f64(spread / per_sender);
        let has_others_in_progress = senders.is_windowed && brittle.window >= 2.0;
        brittle.window = (brittle.window * WINDOW_DECREASE).max(1.0);
        brittle.grows_from = now.after(backoff);
        (!has_others_in_progress).then_some(backoff)
    }

    /// Returns true if another request may be sent to the upstream beside those in progress.
    #[must_use]
    pub fn may_send(&self, id: &UpstreamId, in_progress: u32) -> bool {
        let brittle = self.by_upstream.get(id);
        brittle.is_none_or(|brittle| f64::from(in_progress) < brittle.window.floor())
    }

    /// Drops upstreams that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.by_upstream.retain(|id, _| is_registered(id));
    }

    fn update(&mut self, id: &UpstreamId, refusals_per_s: f64) -> &mut Brittle {
        let refusals_per_s = refusals_per_s.max(MIN_REFUSALS_PER_S);
        let brittle = self.by_upstream.entry(id.clone()).or_insert(Brittle {
            refusals_per_s,
            window: 1.0,
            grows_from: MonoTime::default(),
        });
        brittle.refusals_per_s = refusals_per_s;
        brittle
    }
}
