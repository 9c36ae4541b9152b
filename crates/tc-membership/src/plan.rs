//! Model placement: which model each engine should have loaded, by demand, with hysteresis and a
//! minimum number of engines per model.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tc_protocol::{MonoTime, UpstreamId};

/// Demand bonus, in engines, for an engine that a model already has; the same amount is subtracted
/// for an engine it would gain. Without it, demand fluctuating around the point where an engine
/// changes models would reload weights over and over.
const HYSTERESIS: f64 = 0.25;
/// Delay before a load is ordered again for the same engine.
const LOAD_RETRY: Duration = Duration::from_secs(5);

/// Requirements of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelRequirements {
    /// Version that engines should have loaded.
    pub version: String,
    /// Minimum number of engines that keep the model loaded.
    pub floor: u32,
    /// Number of engines that the model's calls would keep busy; may be fractional.
    pub demand: f64,
}

/// Last reported state of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineState {
    /// Identifier of the engine.
    pub id: UpstreamId,
    /// Loaded models, as `name@version`.
    pub loaded: Vec<String>,
}

/// A model load to order from an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelLoad {
    /// Identifier of the engine.
    pub upstream: UpstreamId,
    /// Model to load, as `name@version`.
    pub model: String,
}

/// The desired model of each engine, and the loads still to be done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Desired model name for each engine.
    pub desired: BTreeMap<UpstreamId, String>,
    /// Loads not yet reported as done, most urgent first.
    pub pending: Vec<ModelLoad>,
    retry_at: BTreeMap<UpstreamId, MonoTime>,
}

impl Plan {
    /// Returns the loads to order now: the first pending ones, so that at most `max` are in
    /// progress at once.
    ///
    /// The weight store is rate-limited, so more concurrent loads would slow down all of them.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use tc_membership::{EngineState, ModelRequirements, Plan, plan};
    /// use tc_protocol::MonoTime;
    /// let requirements = ModelRequirements { version: "2".into(), floor: 2, demand: 0.5 };
    /// let engines = ["e1", "e2"].map(|id| EngineState { id: id.into(), loaded: vec![] });
    /// let plan = plan(&BTreeMap::from([("draft".into(), requirements)]), &engines, &Plan::default());
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

    /// Excludes an engine from [`Plan::next_loads`] for a few seconds, after its load has failed or
    /// was ordered and takes time to finish.
    pub fn defer(&mut self, now: MonoTime, upstream: &UpstreamId) {
        self.retry_at
            .insert(upstream.clone(), now.after(LOAD_RETRY));
    }

    fn planned_engines(&self, model: &str) -> usize {
        self.desired.values().filter(|m| *m == model).count()
    }
}

/// Assigns the engines of one service to models.
///
/// Floors are met first, in order of model name if there are too few engines. The remaining engines
/// go to the models with the highest unmet demand. An engine keeps its model while the model's
/// engine count allows it and is moved only when another model needs it.
///
/// ```
/// use std::collections::BTreeMap;
/// use tc_membership::{EngineState, ModelRequirements, Plan, plan};
/// let requirements = ModelRequirements { version: "2".into(), floor: 1, demand: 0.5 };
/// let engines = [EngineState { id: "e1".into(), loaded: vec![] }];
/// let plan = plan(&BTreeMap::from([("draft".into(), requirements)]), &engines, &Plan::default());
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
    // The retry delay applies to the load that was ordered; a different model or version for the
    // same engine is not delayed.
    retry_at.retain(|id, _| {
        let mut loads_of_engine = pending.iter().filter(|load| load.upstream == *id);
        loads_of_engine.any(|load| previous.pending.contains(load))
    });
    Plan {
        desired,
        pending,
        retry_at,
    }
}

/// Returns the number of engines for each model. They add up to `engines` unless there is no model.
fn targets<'a>(
    models: &'a BTreeMap<String, ModelRequirements>,
    engines: usize,
    previous: &Plan,
) -> BTreeMap<&'a str, usize> {
    let mut remaining = engines;
    let mut targets = BTreeMap::new();
    for (name, requirements) in models {
        let floor = (requirements.floor as usize).min(remaining);
        remaining -= floor;
        targets.insert(name.as_str(), floor);
    }
    while remaining > 0 {
        // Unmet demand, with the hysteresis bonus for engines that the model already has.
        let unmet = |name: &str, target: usize| {
            let has_more = previous.planned_engines(name) > target;
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
        remaining -= 1;
    }
    targets
}

/// Assigns a model to each engine. Engines that have the model loaded or planned keep it, up to the
/// model's engine count; the rest fill the remaining places.
fn assign(
    models: &BTreeMap<String, ModelRequirements>,
    engines: &[EngineState],
    previous: &Plan,
    mut targets: BTreeMap<&str, usize>,
) -> BTreeMap<UpstreamId, String> {
    let mut desired = BTreeMap::new();
    for engine_match in [
        EngineMatch::LoadedAndPlanned,
        EngineMatch::Loaded,
        EngineMatch::Planned,
        EngineMatch::Any,
    ] {
        for engine in engines {
            if desired.contains_key(&engine.id) {
                continue;
            }
            let fits = |name: &str| {
                let loaded = engine.loaded.contains(&versioned_name(name, &models[name]));
                let planned = previous.desired.get(&engine.id).is_some_and(|m| m == name);
                engine_match.accepts(loaded, planned)
            };
            let Some((name, remaining)) = targets
                .iter_mut()
                .find(|(name, remaining)| **remaining > 0 && fits(name))
            else {
                continue;
            };
            *remaining -= 1;
            desired.insert(engine.id.clone(), (*name).to_owned());
        }
    }
    desired
}

/// Match between an engine and a model, best first.
#[derive(Clone, Copy, Debug)]
enum EngineMatch {
    /// The model is loaded and was planned for the engine.
    LoadedAndPlanned,
    /// The model is loaded.
    Loaded,
    /// The model was planned for the engine.
    Planned,
    /// Any engine, if the model still needs one.
    Any,
}

impl EngineMatch {
    fn accepts(self, loaded: bool, planned: bool) -> bool {
        match self {
            Self::LoadedAndPlanned => loaded && planned,
            Self::Loaded => loaded,
            Self::Planned => planned,
            Self::Any => true,
        }
    }
}

/// Returns the loads still to be done, starting with the models that have the fewest ready engines
/// relative to their floor.
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
        if engine.loaded.contains(&versioned_name(name, &models[name])) {
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
            model: versioned_name(name, &models[name]),
        });
    }
    loads
}

fn versioned_name(name: &str, requirements: &ModelRequirements) -> String {
    format!("{name}@{}", requirements.version)
}
