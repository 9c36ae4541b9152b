//! Which model each engine should have loaded: by demand, with hysteresis, never below a model's floor.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tc_protocol::{MonoTime, UpstreamId};

/// In sharing out engines, one that a model has already counts for this much more demand, in engines, and one that it
/// would gain for as much less. Without it, demand that wavers around the point where an engine would move would
/// reload weights over and over.
const HYSTERESIS: f64 = 0.25;
/// Wait after a failed load before the engine is ordered again.
const LOAD_RETRY: Duration = Duration::from_secs(5);

/// What is needed of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRequirements {
    /// Version that engines should have loaded.
    pub version: String,
    /// Engines that must keep it loaded at least.
    pub floor: u32,
    /// Engines its calls would keep busy; fractions count.
    pub demand: f64,
}

/// One engine as last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// The engine.
    pub id: UpstreamId,
    /// Models loaded, as `name@version`.
    pub loaded: Vec<String>,
}

/// One load to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelLoad {
    /// The engine.
    pub upstream: UpstreamId,
    /// The model to have loaded, as `name@version`.
    pub model: String,
}

/// The desired model of each engine, and the loads that are still to be done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Model name by engine.
    pub desired: BTreeMap<UpstreamId, String>,
    /// Loads not yet reported as done, most urgent first.
    pub pending: Vec<ModelLoad>,
    retry_at: BTreeMap<UpstreamId, MonoTime>,
}

impl Plan {
    /// The loads to order now: the first of those pending, so that at most `max` are in progress at once.
    ///
    /// The weight store is rate-limited: more loads at once would make every one of them slow.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use tc_membership::{EngineState, ModelRequirements, Plan, plan};
    /// use tc_protocol::MonoTime;
    /// let need = ModelRequirements { version: "2".into(), floor: 2, demand: 0.5 };
    /// let engines = ["e1", "e2"].map(|id| EngineState { id: id.into(), loaded: vec![] });
    /// let plan = plan(&BTreeMap::from([("draft".into(), need)]), &engines, &Plan::default());
    /// assert_eq!(plan.next_loads(MonoTime::default(), 0, 1).len(), 1);
    /// assert!(plan.next_loads(MonoTime::default(), 1, 1).is_empty());
    /// ```
    #[must_use]
    pub fn next_loads(&self, now: MonoTime, in_progress: usize, max: usize) -> Vec<ModelLoad> {
        self.pending
            .iter()
            .filter(|load| {
                self.retry_at
                    .get(&load.upstream)
                    .is_none_or(|at| *at <= now)
            })
            .take(max.saturating_sub(in_progress))
            .cloned()
            .collect()
    }

    /// A load was ordered and failed, or was ordered and will take a while: leave it out for some time.
    pub fn defer(&mut self, now: MonoTime, upstream: &UpstreamId) {
        self.retry_at
            .insert(upstream.clone(), now.after(LOAD_RETRY));
    }

    fn count_of(&self, model: &str) -> usize {
        self.desired.values().filter(|m| *m == model).count()
    }
}

/// Plans the engines of one service.
///
/// Floors come first, in order of model name when there are too few engines for all. Engines beyond the floors go
/// where demand per engine is highest. An engine keeps its model when the model is to keep that many engines; it is
/// moved only when another model needs it.
///
/// ```
/// use std::collections::BTreeMap;
/// use tc_membership::{EngineState, ModelRequirements, Plan, plan};
/// let need = ModelRequirements { version: "2".into(), floor: 1, demand: 0.5 };
/// let engines = [EngineState { id: "e1".into(), loaded: vec![] }];
/// let plan = plan(&BTreeMap::from([("draft".into(), need)]), &engines, &Plan::default());
/// assert_eq!(plan.pending[0].model, "draft@2");
/// ```
#[must_use]
pub fn plan(
    models: &BTreeMap<String, ModelRequirements>,
    engines: &[EngineState],
    previous: &Plan,
) -> Plan {
    let targets = targets(models, engines.len(), previous);
    let desired = assign(models, engines, previous, targets);
    let pending = pending(models, engines, &desired);
    let mut retry_at = previous.retry_at.clone();
    // The wait is for the load that was ordered: another model or version for the same engine is not put off.
    retry_at.retain(|id, _| {
        let mut same = pending.iter().filter(|load| load.upstream == *id);
        same.any(|load| previous.pending.contains(load))
    });
    Plan {
        desired,
        pending,
        retry_at,
    }
}

/// Number of engines for each model; their sum is `engines` unless there is no model.
fn targets<'a>(
    models: &'a BTreeMap<String, ModelRequirements>,
    engines: usize,
    previous: &Plan,
) -> BTreeMap<&'a str, usize> {
    let mut left = engines;
    let mut targets = BTreeMap::new();
    for (name, need) in models {
        let floor = (need.floor as usize).min(left);
        left -= floor;
        targets.insert(name.as_str(), floor);
    }
    while left > 0 {
        // Demand not yet met, with a bonus for engines the model has already: the hysteresis.
        let unmet = |name: &str, target: usize| {
            let has_more = previous.count_of(name) > target;
            let bonus = if has_more { HYSTERESIS } else { -HYSTERESIS };
            models[name].demand - target as f64 + bonus
        };
        let Some((_, target)) = targets
            .iter_mut()
            .max_by(|a, b| unmet(a.0, *a.1).total_cmp(&unmet(b.0, *b.1)))
        else {
            break;
        };
        *target += 1;
        left -= 1;
    }
    targets
}

/// Gives each engine a model: engines that have or should have had it keep it, up to its target; the rest fill up.
fn assign(
    models: &BTreeMap<String, ModelRequirements>,
    engines: &[EngineState],
    previous: &Plan,
    mut targets: BTreeMap<&str, usize>,
) -> BTreeMap<UpstreamId, String> {
    let mut desired = BTreeMap::new();
    for reason in [Reason::Keep, Reason::Loaded, Reason::Ordered, Reason::Room] {
        for engine in engines {
            if desired.contains_key(&engine.id) {
                continue;
            }
            let fits = |name: &str| {
                let loaded = engine.loaded.contains(&label(name, &models[name]));
                let ordered = previous.desired.get(&engine.id).is_some_and(|m| m == name);
                reason.holds(loaded, ordered)
            };
            let Some((name, left)) = targets
                .iter_mut()
                .find(|(name, left)| **left > 0 && fits(name))
            else {
                continue;
            };
            *left -= 1;
            desired.insert(engine.id.clone(), (*name).to_owned());
        }
    }
    desired
}

/// Why an engine is given a model, best reason first.
#[derive(Clone, Copy, Debug)]
enum Reason {
    /// It was to have it and has it.
    Keep,
    /// It has it.
    Loaded,
    /// It was to have it.
    Ordered,
    /// The model needs one more.
    Room,
}

impl Reason {
    fn holds(self, loaded: bool, ordered: bool) -> bool {
        match self {
            Self::Keep => loaded && ordered,
            Self::Loaded => loaded,
            Self::Ordered => ordered,
            Self::Room => true,
        }
    }
}

/// Loads still to be done: first for models that have fewest engines ready above their floor.
fn pending(
    models: &BTreeMap<String, ModelRequirements>,
    engines: &[EngineState],
    desired: &BTreeMap<UpstreamId, String>,
) -> Vec<ModelLoad> {
    let mut ready: BTreeMap<&str, i64> = BTreeMap::new();
    let mut missing: Vec<(&EngineState, &str)> = Vec::new();
    let mut seen = BTreeSet::new();
    for engine in engines.iter().filter(|engine| seen.insert(&engine.id)) {
        let Some(name) = desired.get(&engine.id) else {
            continue;
        };
        if engine.loaded.contains(&label(name, &models[name])) {
            *ready.entry(name).or_default() += 1;
        } else {
            missing.push((engine, name));
        }
    }
    let mut loads = Vec::new();
    while !missing.is_empty() {
        let above_floor = |name: &str| {
            ready.get(name).copied().unwrap_or_default() - i64::from(models[name].floor)
        };
        let first = (0..missing.len())
            .min_by_key(|i| above_floor(missing[*i].1))
            .unwrap_or_default();
        let (engine, name) = missing.remove(first);
        *ready.entry(name).or_default() += 1;
        loads.push(ModelLoad {
            upstream: engine.id.clone(),
            model: label(name, &models[name]),
        });
    }
    loads
}

fn label(name: &str, need: &ModelRequirements) -> String {
    format!("{name}@{}", need.version)
}
