//! Differences between two routing configurations, with what they do to callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use serde::Serialize;
use tc_protocol::{
    ServiceName,
    routing::{Route, RoutingConfig},
};

/// A difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RoutingChange {
    /// Entry that differs, such as `route summary`.
    pub subject: String,
    /// Difference, and its effect on callers.
    pub effect: String,
}

impl fmt::Display for RoutingChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.effect)
    }
}

/// Returns what `next` changes against the configuration in force.
///
/// ```
/// use tc_config::compare_routing;
/// use tc_protocol::routing::RoutingConfig;
/// let config = RoutingConfig { version: 3, ..RoutingConfig::default() };
/// let older = compare_routing(&config, &RoutingConfig::default());
/// assert!(older[0].effect.starts_with("instances ignore it"));
/// ```
#[must_use]
pub fn compare_routing(in_force: &RoutingConfig, next: &RoutingConfig) -> Vec<RoutingChange> {
    let mut changes = Vec::new();
    if next.version <= in_force.version {
        changes.push(RoutingChange {
            subject: format!("version {}", next.version),
            effect: format!(
                "instances ignore it: version {} is in force",
                in_force.version
            ),
        });
    }
    changes.extend(compare_routes(in_force, next));
    changes.extend(compare_services(in_force, next));
    changes.extend(key_effects(in_force, next).map(|effect| RoutingChange {
        subject: "workspaces".to_owned(),
        effect,
    }));
    if in_force.limits != next.limits {
        changes.push(RoutingChange {
            subject: "limits".to_owned(),
            effect: format!("{:?} becomes {:?}", in_force.limits, next.limits),
        });
    }
    changes
}

fn compare_routes(in_force: &RoutingConfig, next: &RoutingConfig) -> Vec<RoutingChange> {
    let (old, new) = (routes(in_force), routes(next));
    let changed = old.iter().flat_map(|(name, route)| {
        let effects = match new.get(name) {
            Some(next_route) => route_effects(route, next_route),
            None => vec![format!(
                "removed: {}{} is answered 404 unless another route matches",
                route.host, route.path_prefix
            )],
        };
        effects.into_iter().map(move |effect| (name, effect))
    });
    let added = new.keys().filter(|name| !old.contains_key(*name));
    let added = added.map(|name| (name, "added".to_owned()));
    let named = changed.chain(added).map(|(name, effect)| RoutingChange {
        subject: format!("route {name}"),
        effect,
    });
    named.collect()
}

fn compare_services(in_force: &RoutingConfig, next: &RoutingConfig) -> Vec<RoutingChange> {
    let (old, new) = (&in_force.services, &next.services);
    let names: BTreeSet<&ServiceName> = old.keys().chain(new.keys()).collect();
    let compared = names.into_iter().filter_map(|name| {
        let effect = match (old.get(name), new.get(name)) {
            (None, _) => "added",
            (_, None) => "removed",
            (old_service, next_service) if old_service != next_service => "its parameters change",
            _ => return None,
        };
        Some(RoutingChange {
            subject: format!("service {name}"),
            effect: effect.to_owned(),
        })
    });
    compared.collect()
}

fn routes(config: &RoutingConfig) -> BTreeMap<Arc<str>, &Route> {
    let routes = config.routes.iter();
    routes.map(|route| (route.name.clone(), &**route)).collect()
}

fn route_effects(old: &Route, new: &Route) -> Vec<String> {
    let mut effects = Vec::new();
    let mut differs = |what: &str, old: String, new: String| {
        if old != new {
            effects.push(format!("{what} changes from {old} to {new}"));
        }
    };
    let place = |route: &Route| format!("{}{}", route.host, route.path_prefix);
    differs("its host and prefix", place(old), place(new));
    differs(
        "its kind",
        format!("{:?}", old.kind),
        format!("{:?}", new.kind),
    );
    differs(
        "its timeout",
        format!("{:?}", old.timeout),
        format!("{:?}", new.timeout),
    );
    let target = |route: &Route| format!("{:?}", route.latency_target);
    differs("its latency target", target(old), target(new));
    differs(
        "its priority",
        old.priority.to_string(),
        new.priority.to_string(),
    );
    differs(
        "its number of attempts",
        old.max_attempts.to_string(),
        new.max_attempts.to_string(),
    );
    differs("its services", targets(old), targets(new));
    if old.stages != new.stages {
        effects.push("its stages change".to_owned());
    }
    if old.public != new.public {
        let effect = if new.public {
            "requests need no key"
        } else {
            "requests need a key"
        };
        effects.push(effect.to_owned());
    }
    effects
}

fn targets(route: &Route) -> String {
    let total: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    let shares = route.targets.iter().map(|(service, weight)| {
        let share = 100.0 * f64::from(*weight) / f64::from(total.max(1));
        format!("{service} {share:.0}%")
    });
    shares.collect::<Vec<_>>().join(", ")
}

/// Describes removed and added keys by workspace; the keys themselves are secrets.
fn key_effects(old: &RoutingConfig, new: &RoutingConfig) -> impl Iterator<Item = String> {
    let missing = |from: &RoutingConfig, other: &RoutingConfig| {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for (key, workspace) in &from.keys {
            let is_same = other
                .keys
                .get(key)
                .is_some_and(|w| w.name == workspace.name);
            if !is_same {
                *counts.entry(workspace.name.to_string()).or_default() += 1;
            }
        }
        counts
    };
    let removed = missing(old, new);
    let removed = removed.into_iter().map(|(workspace, count)| {
        format!("{count} keys of {workspace} are removed: requests with them are answered 401")
    });
    let added = missing(new, old);
    let added = added
        .into_iter()
        .map(|(workspace, count)| format!("{count} keys of {workspace} are added"));
    removed.chain(added)
}
