//! Leases, and the plan of which models to load.

use std::{collections::BTreeMap, time::Duration};

use tc_membership::{EngineState, Holder, LeaseState, ModelNeed, Plan, plan};
use tc_protocol::{Incarnation, MonoTime};

const TTL: Duration = Duration::from_secs(3);
const MARGIN: Duration = Duration::from_millis(200);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn holder(incarnation: u64) -> Holder {
    Holder {
        id: "i1".into(),
        incarnation: Incarnation(incarnation),
    }
}

#[test]
fn holder_stops_before_anyone_else_may_start() {
    // Symptom: two instances give orders to one upstream at once.
    // Sequence: the holder's renewals stop; another instance has seen the last one as late as can be.
    // Cause: the holder counts its time from the answer of its write instead of from sending it.
    let mut mine = LeaseState::new(holder(1), TTL);
    let mut other = LeaseState::new(holder(2), TTL);
    mine.written(at(1_000), 7);
    other.observed(at(1_000), Some(holder(1)), 7);
    other.observed(at(2_500), Some(holder(1)), 7);
    for time in (1_000..6_000).step_by(50) {
        let both = mine.may_act(at(time), MARGIN) && other.may_take(at(time), MARGIN);
        assert!(!both, "at {time} ms");
    }
    assert!(other.may_take(at(4_200), MARGIN));
}

#[test]
fn holding_ends_by() {
    // Symptom: an instance acts on a lease that is no longer its own.
    // Sequence: each case below, after a write that succeeded.
    // Cause: the loss is not noticed, or the pause not told.
    type Event = fn(&mut LeaseState);
    let cases: [(&str, Event, bool); 6] = [
        ("nothing", |_| {}, true),
        ("a failed conditional write", LeaseState::lost, false),
        ("a pause", LeaseState::woke, false),
        (
            "another holder",
            |l| l.observed(at(1_100), Some(holder(2)), 8),
            false,
        ),
        (
            "a write of ours we do not know",
            |l| l.observed(at(1_100), Some(holder(1)), 8),
            false,
        ),
        (
            "a late, older read does not",
            |l| l.observed(at(1_100), Some(holder(2)), 6),
            true,
        ),
    ];
    for (name, event, may_act) in cases {
        let mut lease = LeaseState::new(holder(1), TTL);
        lease.written(at(1_000), 7);
        event(&mut lease);
        assert_eq!(lease.may_act(at(1_200), MARGIN), may_act, "{name}");
    }
}

#[test]
fn late_answer_to_an_old_write_is_no_holding() {
    // Symptom: two holders after a slow answer.
    // Sequence: our write succeeds as version 7; another takes the lease as 8, which we read; our answer arrives.
    // Cause: the answer is believed without looking at what was read since.
    let mut lease = LeaseState::new(holder(1), TTL);
    lease.observed(at(1_000), Some(holder(2)), 8);
    lease.written(at(900), 7);
    assert!(!lease.may_act(at(1_100), MARGIN));
}

#[test]
fn renewal_is_due_after_a_third_and_after_a_pause() {
    let mut lease = LeaseState::new(holder(1), TTL);
    lease.written(at(1_000), 7);
    assert!(!lease.renew_due(at(1_900)));
    assert!(lease.renew_due(at(2_000)));
    lease.written(at(2_000), 8);
    lease.woke();
    assert!(lease.renew_due(at(2_100)));
    assert_eq!(lease.version(), Some(8));
}

fn need(floor: u32, demand: f64) -> ModelNeed {
    ModelNeed {
        version: "1".into(),
        floor,
        demand,
    }
}

/// Engines `e0`, `e1`, … with the given models loaded.
fn engines(loaded: &[&str]) -> Vec<EngineState> {
    let engine = |(index, model): (usize, &&str)| EngineState {
        id: format!("e{index}").into(),
        loaded: if model.is_empty() {
            vec![]
        } else {
            vec![format!("{model}@1")]
        },
    };
    loaded.iter().enumerate().map(engine).collect()
}

fn needs(draft: ModelNeed, status: ModelNeed) -> BTreeMap<String, ModelNeed> {
    BTreeMap::from([("draft".into(), draft), ("status".into(), status)])
}

#[test]
fn engines_go_by_floor_then_demand() {
    let cases = [
        (
            "floors first",
            need(2, 9.0),
            need(2, 0.0),
            ["draft", "draft", "status", "status"],
        ),
        (
            "then demand",
            need(1, 3.0),
            need(1, 0.5),
            ["draft", "draft", "draft", "status"],
        ),
        (
            "too few for all floors",
            need(3, 0.0),
            need(3, 5.0),
            ["draft", "draft", "draft", "status"],
        ),
        ("a floor of none", need(0, 0.0), need(0, 4.0), ["status"; 4]),
    ];
    for (name, draft, status, expected) in cases {
        let plan = plan(&needs(draft, status), &engines(&[""; 4]), &Plan::default());
        let mut models: Vec<_> = plan.desired.values().map(String::as_str).collect();
        models.sort_unstable();
        assert_eq!(models, expected, "{name}");
        assert_eq!(plan.pending.len(), 4, "{name}");
    }
}

#[test]
fn wavering_demand_reloads_nothing() {
    // Symptom: engines spend their time loading weights.
    // Sequence: demand wavers a little around the point where one more engine would pay; planned every time.
    // Cause: every plan starts afresh.
    let loaded = engines(&["draft", "draft", "status", "status"]);
    let mut current = plan(
        &needs(need(1, 2.4), need(1, 1.6)),
        &loaded,
        &Plan::default(),
    );
    for waver in [0.2, -0.2, 0.2, -0.2] {
        current = plan(
            &needs(need(1, 2.5 + waver), need(1, 1.5 - waver)),
            &loaded,
            &current,
        );
        assert!(current.pending.is_empty());
    }
    current = plan(&needs(need(1, 3.0), need(1, 1.0)), &loaded, &current);
    assert_eq!(current.pending.len(), 1, "a real shift moves one engine");
}

#[test]
fn loads_are_paced_and_the_neediest_come_first() {
    let loaded = engines(&["draft", "draft", "", "", ""]);
    let mut plan = plan(
        &needs(need(1, 3.0), need(2, 2.0)),
        &loaded,
        &Plan::default(),
    );
    let models: Vec<_> = plan.pending.iter().map(|l| l.model.as_str()).collect();
    assert_eq!(models, ["status@1", "status@1", "draft@1"]);
    assert_eq!(plan.next_loads(at(0), 1, 2).len(), 1);
    assert_eq!(plan.next_loads(at(0), 2, 2).len(), 0);
    let first = plan.pending[0].upstream.clone();
    plan.put_off(at(0), &first);
    assert_ne!(plan.next_loads(at(1), 0, 1)[0].upstream, first);
    assert_eq!(plan.next_loads(at(60_000), 0, 1)[0].upstream, first);
}
