//! Finds the route of a request.

use std::{collections::HashMap, sync::Arc};

use tc_protocol::{
    ServiceName,
    routing::{Route, RoutingConfig, stage_order},
};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Routes by host, longest path prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

/// Reason why the routes of a configuration are invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RouteTableError {
    /// Two routes have the same host and path prefix.
    #[error("routes {0} and {1} have the same host and prefix")]
    DuplicatePrefix(Arc<str>, Arc<str>),
    /// A route has no service with a weight above zero.
    #[error("route {0} names no service")]
    NoTarget(Arc<str>),
    /// A route or one of its stages names a service that does not exist.
    #[error("route {0} names unknown service {1}")]
    UnknownService(Arc<str>, ServiceName),
    /// Stages depend on each other in a circle, or on a stage that does not exist.
    #[error(
        "the stages of route {0} depend on each other in a circle, or on a stage that does not exist"
    )]
    StageOrder(Arc<str>),
    /// The service of a stage is not a batch service.
    #[error("stage {1} of route {0} names service {2}, which is not a batch service")]
    NotBatchService(Arc<str>, usize, ServiceName),
}

impl RouteTable {
    /// Builds the table of the routes of a configuration.
    ///
    /// ```
    /// use tc_gateway::RouteTable;
    /// use tc_protocol::routing::RoutingConfig;
    /// let table = RouteTable::new(&RoutingConfig::default()).unwrap();
    /// assert!(table.find("example.org", "/").is_none());
    /// ```
    pub fn new(config: &RoutingConfig) -> Result<Self, RouteTableError> {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            check(route, config)?;
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(Arc::clone(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by(|a, b| {
                let longest_first = b.path_prefix.len().cmp(&a.path_prefix.len());
                longest_first.then_with(|| a.path_prefix.cmp(&b.path_prefix))
            });
            for pair in routes.windows(2) {
                if pair[0].path_prefix == pair[1].path_prefix {
                    let (a, b) = (pair[0].name.clone(), pair[1].name.clone());
                    return Err(RouteTableError::DuplicatePrefix(a, b));
                }
            }
        }
        Ok(Self { by_host })
    }

    /// Returns the route of a host (its port is ignored) with the longest prefix of the path.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(&host_name(host).to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }
}

fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

fn check(route: &Route, config: &RoutingConfig) -> Result<(), RouteTableError> {
    let name = || route.name.clone();
    if route.targets.iter().all(|(_, weight)| *weight == 0) {
        return Err(RouteTableError::NoTarget(name()));
    }
    for (service, _) in &route.targets {
        if !config.services.contains_key(service) {
            return Err(RouteTableError::UnknownService(name(), service.clone()));
        }
    }
    for (index, stage) in route.stages.iter().enumerate() {
        let Some(service) = config.services.get(&stage.service) else {
            return Err(RouteTableError::UnknownService(
                name(),
                stage.service.clone(),
            ));
        };
        if service.batch.is_none() {
            return Err(RouteTableError::NotBatchService(
                name(),
                index,
                stage.service.clone(),
            ));
        }
    }
    if stage_order(&route.stages).is_none() {
        return Err(RouteTableError::StageOrder(name()));
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
