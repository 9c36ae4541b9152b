//! Selection among upstreams whose speeds differ, by when each would be done with the request.

use tc_protocol::{FailureDomain, MonoTime, UpstreamId};

use crate::{LoadEstimate, PeerLoads, PickPreference, rendezvous::hashed_score};

/// Part of the time that a second choice must save: smaller differences are within the error of the estimates.
const MIN_GAIN: f64 = 0.25;

/// An upstream that may be selected, with what is known of its load.
#[derive(Clone, Copy, Debug)]
pub struct UnevenCandidate<'a> {
    /// Identifier of the upstream.
    pub id: &'a UpstreamId,
    /// Failure domain of the upstream.
    pub domain: &'a FailureDomain,
    /// Registered number of slots.
    pub slots: u32,
    /// Load and speed as this instance knows them.
    pub load: &'a LoadEstimate,
}

/// Why an upstream was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnevenReason {
    /// It was drawn first, and the second would not be done clearly sooner.
    First,
    /// It was drawn second and would be done clearly sooner than the first.
    Sooner,
    /// No upstream has a free slot; it would be done soonest.
    AllFull,
}

impl UnevenReason {
    /// Returns the reason as a label for logs and metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Sooner => "sooner",
            Self::AllFull => "all_full",
        }
    }
}

/// Selects an upstream and returns its index; returns `None` without candidates.
///
/// Two upstreams are drawn, each with a probability that follows from its slots and lasting speed, and the request goes
/// to the first unless the second would be done clearly sooner. All instances see much the same reports, so they would
/// send their next requests together to the upstream that looks best. The affinity key is not used.
///
/// ```
/// use tc_policy::{LoadEstimate, PickPreference, UnevenCandidate, UnevenReason, pick_uneven};
/// use tc_protocol::MonoTime;
/// let (id, domain, load) = ("a".into(), "kl-a".into(), LoadEstimate::default());
/// let candidates = [UnevenCandidate { id: &id, domain: &domain, slots: 4, load: &load }];
/// let preference = PickPreference::default();
/// let first = Some((0, UnevenReason::First));
/// assert_eq!(pick_uneven(MonoTime::default(), &candidates, &preference), first);
/// assert_eq!(pick_uneven(MonoTime::default(), &[], &preference), None);
/// ```
#[must_use]
pub fn pick_uneven(
    now: MonoTime,
    candidates: &[UnevenCandidate<'_>],
    preference: &PickPreference<'_>,
) -> Option<(usize, UnevenReason)> {
    let peers = PeerLoads::of(now, candidates.iter().map(|c| (c.load, c.slots)));
    let in_domain = |c: &UnevenCandidate<'_>| preference.domain.is_none_or(|d| d == c.domain);
    let any_in_domain = candidates.iter().any(in_domain);
    let pool = (0..candidates.len()).filter(|i| !any_in_domain || in_domain(&candidates[*i]));
    let mut drawn: Vec<(f64, usize)> = pool
        .map(|i| {
            let c = &candidates[i];
            let speed = f64::from(c.slots.max(1)) / c.load.lasting_slowdown(now, &peers);
            (draw(preference.tie_breaker, c.id, speed), i)
        })
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    let finish = |i: usize| candidates[i].load.finish(now, &peers, candidates[i].slots);
    let has_room = |i: &usize| {
        let c = &candidates[*i];
        c.load.requests(now, &peers, c.slots) < f64::from(c.slots.max(1))
    };
    let mut with_room = drawn.iter().map(|(_, i)| *i).filter(has_room);
    match (with_room.next(), with_room.next()) {
        (Some(first), Some(second)) if finish(second) < finish(first) * (1.0 - MIN_GAIN) => {
            Some((second, UnevenReason::Sooner))
        }
        (Some(first), _) => Some((first, UnevenReason::First)),
        (None, _) => {
            let all = drawn.iter().map(|(_, i)| *i);
            let soonest = all.min_by(|a, b| finish(*a).total_cmp(&finish(*b)))?;
            Some((soonest, UnevenReason::AllFull))
        }
    }
}

/// Returns an exponentially distributed number with the given rate: the smallest one of several belongs to an upstream
/// with a probability in proportion to its rate.
fn draw(tie_breaker: u64, id: &UpstreamId, rate: f64) -> f64 {
    let uniform = (hashed_score(tie_breaker, id.as_str()) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / rate
}
