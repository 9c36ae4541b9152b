//! Model placement: which engines load which models.

use std::collections::BTreeMap;

use tc_membership::{EngineState, ModelRequirements, Plan, plan};
use tc_protocol::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn requirements(floor: u32, demand: f64) -> ModelRequirements {
    ModelRequirements {
        version: "1".into(),
        floor,
        demand,
    }
}

/// Returns engines `e0`, `e1`, … with the given models loaded.
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

fn models(
    draft: ModelRequirements,
    status: ModelRequirements,
) -> BTreeMap<String, ModelRequirements> {
    BTreeMap::from([("draft".into(), draft), ("status".into(), status)])
}

#[test]
fn engines_are_assigned_by_floor_then_demand() {
    let cases = [
        (
            "floors first",
            requirements(2, 9.0),
            requirements(2, 0.0),
            ["draft", "draft", "status", "status"],
        ),
        (
            "remaining engines by demand",
            requirements(1, 3.0),
            requirements(1, 0.5),
            ["draft", "draft", "draft", "status"],
        ),
        (
            "too few engines for all floors",
            requirements(3, 0.0),
            requirements(3, 5.0),
            ["draft", "draft", "draft", "status"],
        ),
        (
            "no floors",
            requirements(0, 0.0),
            requirements(0, 4.0),
            ["status"; 4],
        ),
    ];
    for (name, draft, status, expected) in cases {
        let plan = plan(&models(draft, status), &engines(&[""; 4]), &Plan::default());
        let mut models: Vec<_> = plan.desired.values().map(String::as_str).collect();
        models.sort_unstable();
        assert_eq!(models, expected, "{name}");
        assert_eq!(plan.pending.len(), 4, "{name}");
    }
}

#[test]
fn fluctuating_demand_reloads_nothing() {
    // Guards against engines spending their time loading weights, because every plan starts from
    // scratch while demand fluctuates around the point where one more engine would pay off.
    let loaded = engines(&["draft", "draft", "status", "status"]);
    let mut current = plan(
        &models(requirements(1, 2.4), requirements(1, 1.6)),
        &loaded,
        &Plan::default(),
    );
    for fluctuation in [0.2, -0.2, 0.2, -0.2] {
        current = plan(
            &models(
                requirements(1, 2.5 + fluctuation),
                requirements(1, 1.5 - fluctuation),
            ),
            &loaded,
            &current,
        );
        assert!(current.pending.is_empty());
    }
    current = plan(
        &models(requirements(1, 3.0), requirements(1, 1.0)),
        &loaded,
        &current,
    );
    assert_eq!(
        current.pending.len(),
        1,
        "a significant shift moves one engine"
    );
}

#[test]
fn loads_are_limited_and_ordered_by_shortage() {
    let loaded = engines(&["draft", "draft", "", "", ""]);
    let mut plan = plan(
        &models(requirements(1, 3.0), requirements(2, 2.0)),
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
