//! Selection of an upstream by an entry instance.

use std::time::Duration;

use rand::{SeedableRng, rngs::StdRng};
use tc_policy::{UpstreamCandidate, choose_upstream, rendezvous, rendezvous_score};
use tc_protocol::{
    Attempt, Cost, Fingerprint, PermitRequest, Upstream, UpstreamState, UpstreamSummary,
};

fn request() -> PermitRequest {
    PermitRequest {
        request: "kl-a-1-1-1".into(),
        // Not a first attempt, as those go to a random upstream now and then.
        attempt: Attempt(1),
        workspace: "lintas".into(),
        service: "generate".into(),
        priority: 3,
        slack: Duration::from_secs(1),
        run_for: Duration::from_secs(10),
        estimate: Cost::default(),
        prefix: None,
        fingerprint: Fingerprint(1),
        excluded: Vec::new(),
    }
}

fn idle() -> UpstreamSummary {
    UpstreamSummary {
        concurrency: 8,
        service_ms: 100.0,
        ..UpstreamSummary::default()
    }
}

fn state(index: usize, summary: UpstreamSummary) -> UpstreamState {
    UpstreamState {
        upstream: Upstream {
            id: format!("generate-{index}").into(),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "kl-a".into(),
            region: "kl".into(),
        },
        leaving: false,
        home: Some("kl-a-1".into()),
        summary: Some(summary),
    }
}

/// Returns how often each upstream is selected in 1,000 tries; distances in milliseconds by index.
fn counts(states: &[UpstreamState], distances_ms: &[f64], request: &PermitRequest) -> Vec<u32> {
    let candidates: Vec<UpstreamCandidate<'_>> = states
        .iter()
        .zip(distances_ms.iter().cycle())
        .map(|(state, &distance_ms)| UpstreamCandidate {
            state,
            summary: state.summary,
            leaving: state.leaving,
            summary_age: Duration::from_millis(100),
            own_in_flight: 0,
            distance_ms,
        })
        .collect();
    let mut random = StdRng::seed_from_u64(1);
    let mut counts = vec![0; states.len()];
    for _ in 0..1_000 {
        if let Some(choice) = choose_upstream(&candidates, request, &mut random) {
            counts[choice.index] += 1;
        }
    }
    counts
}

fn idle_states(count: usize) -> Vec<UpstreamState> {
    (0..count).map(|i| state(i, idle())).collect()
}

/// Guards against calls to an unusable upstream because its state is ignored: one of three upstreams, then all of them,
/// are in the given state.
#[test]
fn unusable_upstreams_are_left_out() {
    type Change = fn(&mut UpstreamState, &mut PermitRequest);
    let table: [(&str, Change); 4] = [
        ("leaving", |state, _| state.leaving = true),
        ("without home", |state, _| state.home = None),
        ("to avoid", |state, request| {
            request.excluded.push(state.upstream.id.clone());
        }),
        ("ejected", |state, _| {
            state.summary = Some(UpstreamSummary {
                ejected: true,
                ..idle()
            });
        }),
    ];
    for (what, change) in table {
        for prefix in [None, Some(7)] {
            let (mut states, mut request) = (idle_states(3), request());
            request.prefix = prefix;
            change(&mut states[1], &mut request);
            let counts = counts(&states, &[0.0], &request);
            assert_eq!(counts[1], 0, "{what}");
            assert_eq!(counts.iter().sum::<u32>(), 1_000, "{what}");
        }
        let (mut states, mut request) = (idle_states(2), request());
        for state in &mut states {
            change(state, &mut request);
        }
        let chosen: u32 = counts(&states, &[0.0], &request).iter().sum();
        let expected = if what == "ejected" { 1_000 } else { 0 };
        assert_eq!(chosen, expected, "all are {what}");
    }
}

#[test]
fn idle_upstreams_share_evenly_and_slow_or_busy_ones_get_less() {
    let table = [
        ("idle", idle(), 200..300),
        (
            "ten times slower",
            UpstreamSummary {
                service_ms: 1_000.0,
                ..idle()
            },
            0..1,
        ),
        (
            "a little slower",
            UpstreamSummary {
                service_ms: 110.0,
                ..idle()
            },
            200..300,
        ),
        (
            "queueing",
            UpstreamSummary {
                in_flight: 8,
                waiting: 8,
                wait_ms: 100.0,
                ..idle()
            },
            0..1,
        ),
    ];
    for (what, summary, expected) in table {
        let mut states = idle_states(4);
        states[2] = state(2, summary);
        let counts = counts(&states, &[0.0], &request());
        assert!(expected.contains(&counts[2]), "{what}: {counts:?}");
    }
}

#[test]
fn other_failure_domain_only_when_it_saves_more_wait_than_its_distance() {
    // Wait of the near upstreams, distance of the far ones, calls that go to the far ones.
    let table = [
        (0.0, 1.0, 0),
        (0.5, 1.0, 0),
        (50.0, 1.0, 1_000),
        (50.0, 60.0, 0),
    ];
    for (wait_ms, distance_ms, expected) in table {
        let mut states = idle_states(4);
        for near in &mut states[..2] {
            near.summary = Some(UpstreamSummary { wait_ms, ..idle() });
        }
        let counts = counts(&states, &[0.0, 0.0, distance_ms, distance_ms], &request());
        assert_eq!(
            counts[2] + counts[3],
            expected,
            "wait {wait_ms}, distance {distance_ms}"
        );
    }
}

#[test]
fn prefix_stays_on_one_upstream_until_that_is_busier_than_others() {
    let mut request = request();
    request.prefix = Some(42);
    let mut states = idle_states(6);
    let first = counts(&states, &[0.0], &request);
    let holder = first
        .iter()
        .position(|&n| n == 1_000)
        .expect("always the same");
    let busy = UpstreamSummary {
        in_flight: 8,
        waiting: 4,
        wait_ms: 50.0,
        ..idle()
    };
    states[holder].summary = Some(busy);
    let second = counts(&states, &[0.0], &request);
    assert_eq!(second[holder], 0);
    assert!(
        second.contains(&1_000),
        "all go to the second choice: {second:?}"
    );
    // Different prefixes are distributed over all upstreams.
    states = idle_states(6);
    let mut used = [false; 6];
    for prefix in 0..100 {
        request.prefix = Some(prefix);
        let counts = counts(&states, &[0.0], &request);
        used[counts.iter().position(|&n| n == 1_000).expect("one holder")] = true;
    }
    assert_eq!(used, [true; 6]);
}

/// Guards against a recovered upstream that gets no more calls: it was slow or ejected, so it is never selected, and
/// its recovery is never measured.
#[test]
fn first_attempts_sometimes_measure_every_near_upstream() {
    let mut request = request();
    request.attempt = Attempt(0);
    let mut states = idle_states(4);
    states[1].summary = Some(UpstreamSummary {
        ejected: true,
        ..idle()
    });
    states[2].summary = Some(UpstreamSummary {
        service_ms: 5_000.0,
        ..idle()
    });
    let counts = counts(&states, &[0.0, 0.0, 0.0, 20.0], &request);
    assert!((1..=20).contains(&counts[1]), "{counts:?}");
    assert!((1..=20).contains(&counts[2]), "{counts:?}");
    assert_eq!(counts[3], 0, "another region is not near");
}

/// Guards against an entry that sends a burst to a single upstream: between two summaries, the home's figures do not
/// include the calls that the entry has made since.
#[test]
fn own_calls_count_before_the_next_summary() {
    let states = idle_states(3);
    let mut own = [0_u32; 3];
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..24 {
        let candidates: Vec<UpstreamCandidate<'_>> = (0..3)
            .map(|i| UpstreamCandidate {
                state: &states[i],
                summary: states[i].summary,
                leaving: states[i].leaving,
                summary_age: Duration::ZERO,
                own_in_flight: own[i],
                distance_ms: 0.0,
            })
            .collect();
        let choice = choose_upstream(&candidates, &request(), &mut random).expect("all are usable");
        own[choice.index] += 1;
    }
    assert!(
        own.iter().all(|&calls| (6..=10).contains(&calls)),
        "{own:?}"
    );
}

#[test]
fn rendezvous_moves_only_the_keys_of_a_removed_node() {
    let nodes: Vec<String> = (0..10).map(|i| format!("kl-{i}")).collect();
    let rest = &nodes[1..];
    let mut per_node = [0; 10];
    for key in 0..1_000 {
        let key = format!("upstream-{key}");
        let before = rendezvous(&key, &nodes, String::as_str).expect("there are nodes");
        let after = rendezvous(&key, rest, String::as_str).expect("there are nodes");
        assert!(
            before == after || *before == nodes[0],
            "{key} moved from {before} to {after}"
        );
        let best = nodes.iter().max_by_key(|node| rendezvous_score(&key, node));
        assert_eq!(best, Some(before));
        per_node[nodes.iter().position(|n| n == before).expect("it is one")] += 1;
    }
    assert!(
        per_node.iter().all(|&keys| (60..=150).contains(&keys)),
        "{per_node:?}"
    );
}
