//! The plan of which models to load.

use std::collections::BTreeMap;

use tc_membership::{EngineState, ModelRequirements, Plan, plan};
use tc_protocol::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn need(floor: u32, demand: f64) -> ModelRequirements {
    ModelRequirements {
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

fn needs(
    draft: ModelRequirements,
    status: ModelRequirements,
) -> BTreeMap<String, ModelRequirements> {
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
    plan.defer(at(0), &first);
    assert_ne!(plan.next_loads(at(1), 0, 1)[0].upstream, first);
    assert_eq!(plan.next_loads(at(60_000), 0, 1)[0].upstream, first);
}
