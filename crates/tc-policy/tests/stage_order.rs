//! Stages that a route lists in another order than they run.

use std::time::Duration;

use tc_policy::{ChainQuery, HomeOutlook, StageGraph, StageOutlooks};
use tc_protocol::{MonoTime, routing::RouteStage};

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

/// Guards against estimates that leave out a stage because it is listed before its inputs.
#[test]
fn estimates_do_not_depend_on_the_order_of_the_list() {
    let listed_in_order = [stage("read", &[], 8_000), stage("draw", &[0], 8_000)];
    let listed_in_reverse = [stage("draw", &[1], 8_000), stage("read", &[], 8_000)];
    let outlook = HomeOutlook {
        base_latency: ms(200),
        pieces_per_s: 100.0,
        waiting: 60,
        ..HomeOutlook::default()
    };
    let now = MonoTime::default();
    let mut outlooks = StageOutlooks::default();
    for service in ["read", "draw"] {
        outlooks.record(now, &service.into(), outlook.clone());
    }
    let estimate = |stages: &[RouteStage], pieces: [u32; 2]| {
        let graph = StageGraph::new(stages, &pieces);
        let query = ChainQuery {
            graph: &graph,
            call_times: &[ms(200), ms(200)],
            until_latency_target: ms(900),
            priority: 0,
            workspace: &"one".into(),
        };
        outlooks.estimate(now, &query)
    };
    let (mut expected, reversed) = (
        estimate(&listed_in_order, [1, 2]),
        estimate(&listed_in_reverse, [2, 1]),
    );
    expected.in_time.reverse();
    expected.late.reverse();
    assert_eq!(reversed.in_time, expected.in_time);
    assert_eq!(reversed.late, expected.late);
}
