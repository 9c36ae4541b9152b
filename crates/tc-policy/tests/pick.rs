//! Selection of an upstream for a request that is sent directly, without a home.

use tc_policy::{PickCandidate, PickPreference, pick_upstream};
use tc_protocol::{FailureDomain, UpstreamId};

fn ids(count: usize) -> Vec<UpstreamId> {
    (0..count).map(|i| format!("u{i}").into()).collect()
}

fn candidates<'a>(ids: &'a [UpstreamId], domains: &'a [FailureDomain]) -> Vec<PickCandidate<'a>> {
    let numbered = ids.iter().enumerate();
    numbered
        .map(|(i, id)| PickCandidate {
            id,
            domain: &domains[i % domains.len()],
            load: 0.0,
            slots: 16,
            slowdown: 1.0,
        })
        .collect()
}

/// Guards against an upstream that refuses requests while its peers are idle, because ties are broken by order: 88
/// instances with few requests each choose among upstreams that look alike to them.
///
/// 88 instances with 12 requests each on 6 upstreams give a mean of 176 per upstream with a standard deviation of 12;
/// the bound is four deviations.
#[test]
fn ties_are_spread_over_upstreams() {
    let (ids, domains) = (ids(6), ["a".into()]);
    let candidates = candidates(&ids, &domains);
    let mut counts = [0_i32; 6];
    for request in 0..88 * 12 {
        let preference = PickPreference {
            tie_breaker: request,
            ..PickPreference::default()
        };
        counts[pick_upstream(&candidates, &preference).expect("one is chosen")] += 1;
    }
    assert!(counts.iter().all(|n| (n - 176).abs() <= 48), "{counts:?}");
}

#[test]
fn requests_with_a_shared_prompt_meet_and_prompts_spread() {
    let (ids, domains) = (ids(12), ["a".into(), "b".into()]);
    let candidates = candidates(&ids, &domains);
    let mut counts = [0_i32; 12];
    for key in 0..1_200 {
        let preference = |tie_breaker| PickPreference {
            affinity_key: Some(key),
            domain: Some(&domains[0]),
            tie_breaker,
        };
        let chosen = pick_upstream(&candidates, &preference(1)).expect("one is chosen");
        assert_eq!(pick_upstream(&candidates, &preference(2)), Some(chosen));
        counts[chosen] += 1;
    }
    assert!(counts.iter().all(|n| (n - 100).abs() <= 40), "{counts:?}");
}

#[test]
fn hot_prompt_overflows_before_its_upstream_exceeds_the_load_bound() {
    let (ids, domains) = (ids(4), ["a".into()]);
    let mut candidates = candidates(&ids, &domains);
    let preference = PickPreference {
        affinity_key: Some(5),
        ..PickPreference::default()
    };
    for _ in 0..24 {
        let chosen = pick_upstream(&candidates, &preference).expect("one is chosen");
        candidates[chosen].load += 1.0;
    }
    let most = candidates.iter().map(|c| c.load).fold(0.0, f64::max);
    assert!(
        most <= 6.0 * 1.5 + 3.0,
        "{most} of 24 requests on one of four"
    );
}

#[test]
fn slow_upstream_gets_fewer_requests() {
    let (ids, domains) = (ids(2), ["a".into()]);
    let mut candidates = candidates(&ids, &domains);
    candidates[0].slowdown = 5.0;
    for request in 0..50 {
        let preference = PickPreference {
            tie_breaker: request,
            ..PickPreference::default()
        };
        assert_eq!(pick_upstream(&candidates, &preference), Some(1));
    }
}

#[test]
fn without_candidates_nothing_is_chosen() {
    assert_eq!(pick_upstream(&[], &PickPreference::default()), None);
}
