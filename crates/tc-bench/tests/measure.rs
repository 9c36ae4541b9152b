//! Quantiles, attainment, recovery, cost and slopes on made-up records.

mod common;

use common::{call, record, right};
use tc_bench::{
    CallRecord, ControlCost, Ended, Latencies, RequestCost, SeenCall, Told, attainment,
    by_workspace, costs, recovery_ms, slope, timeline,
};

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() <= b.abs().max(1.0) * 0.002
}

#[test]
fn quantiles() {
    let cases: [(&[f64], f64, f64); 5] = [
        (&[], 0.5, 0.0),
        (&[7.0], 0.99, 7.0),
        (&[1.0, 2.0, 3.0, 4.0], 0.5, 2.0),
        (&[1.0, 2.0, 3.0, 4.0], 1.0, 4.0),
        (&[0.0, 0.25, 60_000.0], 1.0, 60_000.0),
    ];
    for (values, quantile, expected) in cases {
        let found = Latencies::of(values.iter().copied()).quantile_ms(quantile);
        assert!(near(found, expected), "{values:?} at {quantile}: {found}");
    }
}

#[test]
fn only_whole_answers_in_deadline_count() {
    let records = [
        right("a", 0.0, 99.0),
        right("a", 0.0, 100.0),
        right("a", 0.0, 100.5),
        record("a", 0.0, 5.0, Told::Answered { right: false }),
        record("b", 0.0, 5.0, Told::Silent),
    ];
    assert!(near(attainment(records.iter()), 0.4));
    let results = by_workspace(&records, "b");
    assert!(near(results["a"].attainment, 0.5));
    assert!(near(results["a"].p99_ms, 100.5));
    assert!(near(results["b"].attainment, 0.0) && results["b"].bursting);
    assert_eq!(results["a"].requests, 4);
}

#[test]
fn timeline_has_a_point_each_half_second() {
    let records = [
        right("a", 10.0, 5.0),
        record("a", 499.0, 5.0, Told::Broken),
        right("a", 1_200.0, 5.0),
    ];
    assert_eq!(timeline(&records)["a"], [(0.0, 0.5), (1_000.0, 1.0)]);
}

#[test]
fn recovery_is_the_end_of_the_last_bad_step() {
    let good = |from: u32, to: u32| (from..to).map(|at| right("a", f64::from(at) * 50.0, 5.0));
    let bad = |from: u32, to: u32| {
        (from..to).map(|at| record("a", f64::from(at) * 50.0, 5.0, Told::Broken))
    };
    let cases: [(&str, Vec<CallRecord>, f64); 3] = [
        ("never fell", good(0, 80).collect(), 0.0),
        (
            "fell for one step",
            good(0, 20).chain(bad(20, 24)).chain(good(24, 80)).collect(),
            250.0,
        ),
        (
            "fell again later",
            good(0, 20)
                .chain(bad(20, 24))
                .chain(good(24, 50))
                .chain(bad(50, 51))
                .chain(good(51, 80))
                .collect(),
            1_750.0,
        ),
    ];
    for (name, records, expected) in cases {
        assert!(
            near(recovery_ms(&records, 1_000.0, 4_000.0), expected),
            "{name}"
        );
    }
}

#[test]
fn cost_counts_losers_late_and_failed_as_wasted() {
    let met = CallRecord {
        request_id: Some("met".to_owned()),
        ..right("a", 0.0, 50.0)
    };
    let late = CallRecord {
        request_id: Some("late".to_owned()),
        ..right("a", 0.0, 150.0)
    };
    let loser = SeenCall {
        ended_ms: 90.0,
        ..call("met", "generate", 30.0)
    };
    let cancelled = SeenCall {
        ended: Ended::Otherwise,
        ended_ms: 1.0,
        ..call("met", "encode", 4.0)
    };
    let calls = [
        call("met", "encode", 10.0),
        cancelled,
        loser,
        call("met", "generate", 20.0),
        call("late", "encode", 6.0),
        call("nobody", "encode", 30.0),
    ];
    let costs = costs(&[met, late], &calls);
    let encode = &costs.by_stage["encode"];
    assert_eq!(encode.calls, 4);
    assert!(near(encode.ms, 50.0) && near(encode.wasted_ms, 40.0));
    let generate = &costs.by_stage["generate"];
    assert!(near(generate.ms, 50.0) && near(generate.wasted_ms, 30.0));
    assert!(near(costs.wasted_ratio, 0.7));
    assert!(near(costs.extra_calls_ratio, 2.0 / 6.0));
}

#[test]
fn calls_without_stage_count_under_their_service() {
    let plain = call("r", "", 3.0);
    assert!(costs(&[], &[plain]).by_stage.contains_key("pool"));
}

#[test]
fn slopes() {
    type Points = &'static [(f64, f64)];
    let cases: [(Points, f64, f64); 4] = [
        (&[], 0.0, 0.0),
        (&[(4.0, 9.0)], 0.0, 9.0),
        (&[(4.0, 9.0), (8.0, 9.0)], 0.0, 9.0),
        (&[(4.0, 10.0), (8.0, 12.0), (16.0, 16.0)], 0.5, 8.0),
    ];
    for (points, per_instance, at_zero) in cases {
        let line = slope(points);
        assert!(near(line.per_instance, per_instance), "{points:?}");
        assert!(near(line.at_zero, at_zero), "{points:?}");
    }
}

#[test]
fn a_request_costs_what_load_adds_to_the_whole_fleet() {
    let cost = |cpu_percent, entry: f64, home: f64| ControlCost {
        cpu_percent,
        stream_bytes_per_s: [("entry".to_owned(), entry), ("home".to_owned(), home)].into(),
        ..ControlCost::default()
    };
    let idle = cost(0.5, 10.0, 0.0);
    let cases = [
        (idle.clone(), 4, 50.0, 0.0, 0.0),
        (cost(5.5, 110.0, 25.0), 4, 50.0, 4.0, 10.0),
        (cost(5.5, 110.0, 25.0), 8, 50.0, 8.0, 20.0),
        (cost(5.5, 110.0, 25.0), 4, 0.0, 0.0, 0.0),
    ];
    for (loaded, instances, per_s, cpu_ms, stream_bytes) in cases {
        let found = RequestCost::between(&idle, &loaded, instances, per_s);
        assert!(near(found.cpu_ms, cpu_ms), "{instances}: {found:?}");
        assert!(near(found.stream_bytes, stream_bytes), "{found:?}");
    }
}
