//! Finds the route of a request.

use std::{cmp::Reverse, collections::HashMap, sync::Arc};

use tc_protocol::{
    ServiceName,
    routing::{ConfigFault, FaultEffect, Route, RoutingConfig, stage_order},
};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Routes by host, longest path prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Entry>>,
    faults: Vec<ConfigFault>,
}

/// A path prefix of a host, and the route that serves its requests.
#[derive(Clone, Debug)]
struct Entry {
    path_prefix: Arc<str>,
    /// `None` if the route cannot be used.
    route: Option<Arc<Route>>,
}

/// Reason why no route serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NoRoute {
    /// No route has this host and a prefix of this path.
    #[error("no route takes this host and path")]
    Unknown,
    /// The route cannot be used as it is configured.
    #[error("the route cannot be used as it is configured")]
    Unusable,
}

/// Reason why a route cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
enum RouteProblem {
    /// No service has a weight above zero.
    #[error("it names no service")]
    NoTarget,
    /// The route or one of its stages names a service that does not exist or cannot be used.
    #[error("it names unknown service {0}")]
    UnknownService(ServiceName),
    /// Stages depend on each other in a circle, or on a stage that does not exist.
    #[error("its stages depend on each other in a circle, or on a stage that does not exist")]
    StageOrder,
    /// The service of a stage is not a batch service.
    #[error("stage {0} names service {1}, which is not a batch service")]
    NotBatchService(usize, ServiceName),
}

impl RouteTable {
    /// Builds the table of the routes of a configuration. The requests of a route that cannot be used are not served, by
    /// another route with a shorter prefix neither. Of several routes with the same prefix the first one is used.
    ///
    /// ```
    /// use tc_gateway::{NoRoute, RouteTable};
    /// use tc_protocol::routing::RoutingConfig;
    /// let table = RouteTable::new(&RoutingConfig::default());
    /// assert_eq!(table.find("example.org", "/").err(), Some(NoRoute::Unknown));
    /// ```
    #[must_use]
    pub fn new(config: &RoutingConfig) -> Self {
        let mut table = Self::default();
        for route in &config.routes {
            match check(route, config) {
                Ok(()) => table.add_route(route),
                Err(problem) => {
                    let effect = FaultEffect::Unserved {
                        host: Arc::clone(&route.host),
                        path_prefix: Arc::clone(&route.path_prefix),
                    };
                    table.add_fault(route, problem.to_string(), effect);
                }
            }
        }
        let faults = config.faults.iter().chain(&table.faults);
        let effects: Vec<FaultEffect> = faults.map(|fault| fault.effect.clone()).collect();
        for effect in effects {
            if let FaultEffect::Unserved { host, path_prefix } = effect {
                table.add_unserved(&host, path_prefix);
            }
        }
        for entries in table.by_host.values_mut() {
            entries.sort_by_key(|entry| Reverse(entry.path_prefix.len()));
        }
        table
    }

    /// Returns the route of a host (its port is ignored) with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Result<&Arc<Route>, NoRoute> {
        let entries = self.by_host.get(&host_name(host).to_ascii_lowercase());
        let mut entries = entries.ok_or(NoRoute::Unknown)?.iter();
        let entry = entries.find(|entry| path.starts_with(&*entry.path_prefix));
        let entry = entry.ok_or(NoRoute::Unknown)?;
        entry.route.as_ref().ok_or(NoRoute::Unusable)
    }

    /// Returns the routes that cannot be used, beside those that could not be decoded.
    #[must_use]
    pub fn faults(&self) -> &[ConfigFault] {
        &self.faults
    }

    fn add_route(&mut self, route: &Arc<Route>) {
        let entries = self.entries(&route.host);
        let is_same = |entry: &Entry| entry.path_prefix == route.path_prefix;
        if entries.iter().any(is_same) {
            let problem = "another route has the same host and prefix".to_owned();
            self.add_fault(route, problem, FaultEffect::Ignored);
            return;
        }
        entries.push(Entry {
            path_prefix: Arc::clone(&route.path_prefix),
            route: Some(Arc::clone(route)),
        });
    }

    fn add_unserved(&mut self, host: &str, path_prefix: Arc<str>) {
        let entries = self.entries(host);
        if !entries.iter().any(|entry| entry.path_prefix == path_prefix) {
            entries.push(Entry {
                path_prefix,
                route: None,
            });
        }
    }

    fn entries(&mut self, host: &str) -> &mut Vec<Entry> {
        self.by_host.entry(host.to_ascii_lowercase()).or_default()
    }

    fn add_fault(&mut self, route: &Route, problem: String, effect: FaultEffect) {
        self.faults.push(ConfigFault {
            subject: format!("route {}", route.name),
            problem,
            effect,
        });
    }
}

fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

fn check(route: &Route, config: &RoutingConfig) -> Result<(), RouteProblem> {
    if route.targets.iter().all(|(_, weight)| *weight == 0) {
        return Err(RouteProblem::NoTarget);
    }
    for (service, _) in &route.targets {
        if !config.services.contains_key(service) {
            return Err(RouteProblem::UnknownService(service.clone()));
        }
    }
    for (index, stage) in route.stages.iter().enumerate() {
        let name = &stage.service;
        let service = config.services.get(name);
        let service = service.ok_or_else(|| RouteProblem::UnknownService(name.clone()))?;
        if service.batch.is_none() {
            return Err(RouteProblem::NotBatchService(index, name.clone()));
        }
    }
    if stage_order(&route.stages).is_none() {
        return Err(RouteProblem::StageOrder);
    }
    Ok(())
}

/// Chooses the service for a request by the weights of the route; the same request always gets the same service.
pub(crate) fn target_service<'a>(route: &'a Route, request: &str) -> Option<&'a ServiceName> {
    let total: u64 = route.targets.iter().map(|(_, w)| u64::from(*w)).sum();
    let mut point = xxh3_64(request.as_bytes()) % total.max(1);
    for (service, weight) in &route.targets {
        let weight = u64::from(*weight);
        if point < weight {
            return Some(service);
        }
        point -= weight;
    }
    None
}
