//! Selection of an upstream for a request that is sent directly, without a home.

use tc_protocol::{FailureDomain, UpstreamId};

use crate::rendezvous::hashed_score;

/// Multiple of the mean load beyond which an upstream takes requests only if the others have as many.
const MAX_LOAD_FACTOR: f64 = 1.5;
/// Requests allowed in addition to that bound, as the mean says little when there are few requests.
const LOAD_SLACK: f64 = 2.0;

/// An upstream that may be selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickCandidate<'a> {
    /// Identifier of the upstream.
    pub id: &'a UpstreamId,
    /// Failure domain of the upstream.
    pub domain: &'a FailureDomain,
    /// Requests in progress there, as far as known to this instance.
    pub load: f64,
    /// Maximum number of requests in progress.
    pub slots: u32,
    /// Response time relative to its peers; 1 is normal.
    pub slowdown: f64,
}

/// Selection preferences of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PickPreference<'a> {
    /// Hash of the prompt part that the upstream should have cached from earlier requests.
    pub affinity_key: Option<u64>,
    /// Preferred failure domain.
    pub domain: Option<&'a FailureDomain>,
    /// Differs between requests, to spread those that have no other preference.
    pub tie_breaker: u64,
}

/// Selects an upstream; returns `None` without candidates.
///
/// Requests with the same affinity key go to the same upstream while its load is not far above the others', as the
/// shared part of the prompt is cached there (a prompt of 9,000 tokens takes 100 ms to read at 92 tokens per
/// millisecond).
///
/// ```
/// use tc_policy::{PickCandidate, PickPreference, pick_upstream};
/// let ids = ["a".into(), "b".into()];
/// let domain = "kl-a".into();
/// let at = |id, load| PickCandidate { id, domain: &domain, load, slots: 4, slowdown: 1.0 };
/// let preference = PickPreference { affinity_key: Some(7), domain: None, tie_breaker: 1 };
/// let idle = [at(&ids[0], 0.0), at(&ids[1], 0.0)];
/// let first = pick_upstream(&idle, &preference).unwrap();
/// assert_eq!(pick_upstream(&idle, &preference), Some(first));
/// let mut busy = idle;
/// busy[first].load = 9.0;
/// assert_eq!(pick_upstream(&busy, &preference), Some(1 - first));
/// ```
#[must_use]
pub fn pick_upstream(
    candidates: &[PickCandidate<'_>],
    preference: &PickPreference<'_>,
) -> Option<usize> {
    // Reading a prompt again (6,300 tokens) costs several times as much as moving its inputs between domains (3.8 MB),
    // so the domain counts only for requests without an affinity key.
    let domain = preference
        .domain
        .filter(|_| preference.affinity_key.is_none());
    let in_domain: Vec<usize> = indices(candidates)
        .filter(|i| domain.is_none_or(|d| d == candidates[*i].domain))
        .collect();
    let pool = if in_domain.is_empty() {
        indices(candidates).collect()
    } else {
        in_domain
    };
    let in_bound = within_bound(candidates, &pool, preference.tie_breaker);
    match preference.affinity_key {
        Some(key) => in_bound
            .into_iter()
            .max_by_key(|i| hashed_score(key, candidates[*i].id.as_str())),
        None => least_utilized(candidates, in_bound, preference.tie_breaker),
    }
}

fn indices(candidates: &[PickCandidate<'_>]) -> std::ops::Range<usize> {
    0..candidates.len()
}

/// Returns the utilization after one more request; slow upstreams count as fuller.
fn utilization(candidate: &PickCandidate<'_>) -> f64 {
    (candidate.load + 1.0) * candidate.slowdown / f64::from(candidate.slots.max(1))
}

/// Returns the upstreams within the load bound, or the least utilized one if none is.
fn within_bound(candidates: &[PickCandidate<'_>], pool: &[usize], tie_breaker: u64) -> Vec<usize> {
    let loads = pool
        .iter()
        .map(|i| candidates[*i].load * candidates[*i].slowdown);
    let mean = loads.sum::<f64>() / pool.len().max(1) as f64;
    let bound = mean * MAX_LOAD_FACTOR + LOAD_SLACK;
    let in_bound: Vec<usize> = pool
        .iter()
        .copied()
        .filter(|i| {
            let c = &candidates[*i];
            c.load * c.slowdown <= bound && c.load < f64::from(c.slots.max(1))
        })
        .collect();
    if !in_bound.is_empty() {
        return in_bound;
    }
    least_utilized(candidates, pool.to_vec(), tie_breaker)
        .into_iter()
        .collect()
}

/// Returns the least utilized upstream; ties are broken by `tie_breaker`.
///
/// Each instance sees few requests of its own. If ties were broken by order, all instances would send to the same
/// upstream, which would refuse requests while its peers are idle.
fn least_utilized(
    candidates: &[PickCandidate<'_>],
    among: Vec<usize>,
    tie_breaker: u64,
) -> Option<usize> {
    among.into_iter().min_by(|a, b| {
        let used_slots = |i: usize| utilization(&candidates[i]);
        let tie_score = |i: usize| hashed_score(tie_breaker, candidates[i].id.as_str());
        used_slots(*a)
            .total_cmp(&used_slots(*b))
            .then_with(|| tie_score(*a).cmp(&tie_score(*b)))
    })
}
