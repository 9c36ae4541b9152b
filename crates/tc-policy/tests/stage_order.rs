//! Stages that a route lists in another order than they run.

use std::time::Duration;

use tc_policy::{ChainAdmission, ChainQuery, DueHistogram, HomeOutlook, StageGraph, StageOutlooks};
use tc_protocol::{
    Fingerprint, MonoTime,
    routing::{RouteStage, StageChain},
};

fn stage(service: &str, after: &[usize], result_bytes: u64) -> RouteStage {
    RouteStage {
        service: service.into(),
        depends_on: after.to_vec(),
        result_bytes,
    }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against stages that run before their inputs, or are not made again, because the route lists them in another order
/// than they run.
#[test]
fn order_of_the_list_does_not_matter() {
    let stages = [
        stage("join", &[2], 8_000),
        stage("draw", &[3], 1_500_000),
        stage("check", &[3], 8_000),
        stage("read", &[], 8_000),
    ];
    let mut graph = StageGraph::new(&stages, &[1, 1, 1, 1]);
    assert_eq!(graph.order(), [3, 1, 2, 0]);
    assert_eq!(graph.startable(), [3]);
    graph.mark_running(3);
    graph.mark_done(3);
    assert_eq!(graph.startable(), [2], "the longer chain first");
    assert_eq!(graph.later_pieces(3), [("join".into(), 1)]);
    graph.mark_running(2);
    graph.mark_done(2);
    assert_eq!(graph.startable(), [0, 1], "both end together");
    graph.mark_running(0);
    let is_held = |stage| stage != 3;
    assert_eq!(graph.put_back(0, is_held), Some(vec![2, 3]));
    assert_eq!(graph.startable(), [3]);
    let times = [ms(10), ms(200), ms(30), ms(400)];
    assert_eq!(graph.critical_path(&times), ms(600));
}

const IN_ORDER: [(&str, &[usize]); 2] = [("read", &[]), ("draw", &[0])];
const REVERSED: [(&str, &[usize]); 2] = [("draw", &[1]), ("read", &[])];

fn stages(listed: [(&str, &[usize]); 2]) -> Vec<RouteStage> {
    let listed = listed.into_iter();
    listed
        .map(|(service, after)| stage(service, after, 8_000))
        .collect()
}

/// Returns the outlook of a home at which on-time and late pieces wait.
fn busy_outlook() -> HomeOutlook {
    HomeOutlook {
        base_latency: ms(200),
        in_time: DueHistogram::from_counts(&[30; 4]),
        pieces_per_s: 100.0,
        spare_capacity: 0.5,
        waiting: 180,
        ..HomeOutlook::default()
    }
}

/// Guards against estimates that take a stage which is listed after its reader for one that takes no time.
#[test]
fn estimates_do_not_depend_on_the_order_of_the_list() {
    let now = MonoTime::default();
    let mut outlooks = StageOutlooks::default();
    for service in ["read", "draw"] {
        outlooks.record(now, &service.into(), busy_outlook());
    }
    let estimate = |listed, pieces: [u32; 2]| {
        let stages = stages(listed);
        let graph = StageGraph::new(&stages, &pieces);
        let query = ChainQuery {
            graph: &graph,
            call_times: &[ms(200), ms(200)],
            until_latency_target: ms(9_000),
            priority: 0,
            workspace: &"one".into(),
        };
        outlooks.estimate(now, &query)
    };
    let (mut expected, reversed) = (estimate(IN_ORDER, [1, 2]), estimate(REVERSED, [2, 1]));
    assert!(
        expected.late[1] < expected.late[0],
        "the second home drains meanwhile"
    );
    expected.in_time.reverse();
    expected.late.reverse();
    assert_eq!(reversed.in_time, expected.in_time);
    assert_eq!(reversed.late, expected.late);
}

/// Guards against a return time that takes a stage which is listed after its reader for one that takes no time.
#[test]
fn return_times_do_not_depend_on_the_order_of_the_list() {
    let refused = |listed, pieces: [u32; 2], first| {
        let now = MonoTime::default();
        let mut admission = ChainAdmission::default();
        for service in ["read", "draw"] {
            admission.record(now, &service.into(), busy_outlook());
        }
        let chain = StageChain {
            fingerprint: Fingerprint(7),
            workspace: "one".into(),
            stages: stages(listed),
            pieces: pieces.into(),
            until_latency_target: ms(300),
            remaining: ms(1_000),
        };
        admission.admit(now, &chain, 0, first, &[ms(200), ms(200)])
    };
    let expected = refused(IN_ORDER, [1, 2], 0);
    assert!(expected.is_err(), "{expected:?}");
    assert_eq!(refused(REVERSED, [2, 1], 1), expected);
}
