//! Problems of a routing configuration: errors, entries that can never match, and limits that contradict each other.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde::Serialize;
use tc_protocol::{
    ServiceName,
    routing::{BatchSpec, Route, RouteKind, RoutedService, RoutingConfig, stage_order},
};

/// Whether a finding keeps the configuration from being used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Requests that the configuration allows cannot be served, or a default replaces an entry.
    Error,
    /// An entry has no effect, or not the one that it seems to have.
    Warning,
}

/// A problem of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Severity.
    pub severity: Severity,
    /// Identifies the kind of problem, such as `tc::routing::unknown_service`.
    pub code: &'static str,
    /// Entry that has the problem, such as `route summary`.
    pub subject: String,
    /// Description of the problem.
    pub problem: String,
}

struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, severity: Severity, code: &'static str, subject: &str, problem: String) {
        self.0.push(Finding {
            severity,
            code,
            subject: subject.to_owned(),
            problem,
        });
    }

    fn error(&mut self, code: &'static str, subject: &str, problem: String) {
        self.add(Severity::Error, code, subject, problem);
    }

    fn warning(&mut self, code: &'static str, subject: &str, problem: String) {
        self.add(Severity::Warning, code, subject, problem);
    }
}

/// Returns the problems of a configuration, errors first.
///
/// ```
/// use tc_config::check_routing;
/// use tc_protocol::routing::RoutingConfig;
/// let findings = check_routing(&RoutingConfig::default());
/// assert_eq!(findings[0].code, "tc::routing::no_routes");
/// ```
#[must_use]
pub fn check_routing(config: &RoutingConfig) -> Vec<Finding> {
    let mut findings = Findings(Vec::new());
    if config.routes.is_empty() {
        let problem = "every request is answered 404".to_owned();
        findings.warning("tc::routing::no_routes", "configuration", problem);
    }
    for fault in &config.faults {
        let problem = fault.problem.clone();
        findings.error("tc::routing::unusable_entry", &fault.subject, problem);
    }
    check_prefixes(config, &mut findings);
    for route in &config.routes {
        check_route(config, route, &mut findings);
    }
    check_services(config, &mut findings);
    check_keys(config, &mut findings);
    findings.0.sort_by_key(|finding| finding.severity);
    findings.0
}

fn subject(route: &Route) -> String {
    format!("route {}", route.name)
}

/// Finds routes that no request reaches, as another one has the same host and prefix.
fn check_prefixes(config: &RoutingConfig, findings: &mut Findings) {
    let mut first: BTreeMap<(String, &str), &Route> = BTreeMap::new();
    for route in &config.routes {
        let place = (route.host.to_ascii_lowercase(), &*route.path_prefix);
        if let Some(other) = first.get(&place) {
            let problem = format!(
                "no request reaches it: {} has the same host and prefix {}",
                subject(other),
                route.path_prefix
            );
            findings.error("tc::routing::shadowed_route", &subject(route), problem);
        } else {
            first.insert(place, route);
        }
    }
}

fn check_route(config: &RoutingConfig, route: &Route, findings: &mut Findings) {
    let name = subject(route);
    check_targets(config, route, &name, findings);
    check_stages(config, route, &name, findings);
    if route.timeout.is_zero() {
        let problem = "every request times out: its timeout is zero".to_owned();
        findings.error("tc::routing::zero_timeout", &name, problem);
    } else if route.latency_target > route.timeout {
        let problem = format!(
            "its latency target of {:?} is beyond its timeout of {:?}",
            route.latency_target, route.timeout
        );
        findings.error("tc::routing::target_beyond_timeout", &name, problem);
    }
    if route.kind == RouteKind::NonIdempotent && route.max_attempts > 1 {
        let problem = format!(
            "its {} attempts are used only if an upstream has not run the request: it is not idempotent",
            route.max_attempts
        );
        findings.warning("tc::routing::attempts_without_retry", &name, problem);
    }
}

fn check_targets(config: &RoutingConfig, route: &Route, name: &str, findings: &mut Findings) {
    if route.targets.iter().all(|(_, weight)| *weight == 0) {
        let problem = "it names no service with a weight above zero".to_owned();
        findings.error("tc::routing::no_target", name, problem);
    }
    for (service, weight) in &route.targets {
        if !config.services.contains_key(service) {
            let problem = format!("service {service} does not exist");
            findings.error("tc::routing::unknown_service", name, problem);
        } else if *weight == 0 {
            let problem = format!("no request goes to service {service}: its weight is zero");
            findings.warning("tc::routing::zero_weight", name, problem);
        }
    }
}

fn check_stages(config: &RoutingConfig, route: &Route, name: &str, findings: &mut Findings) {
    let Some(order) = stage_order(&route.stages) else {
        let problem =
            "its stages depend on each other in a circle, or on a stage that does not exist";
        findings.error("tc::routing::stage_order", name, problem.to_owned());
        return;
    };
    // Earliest end of each stage if nothing waits.
    let mut ends = vec![Duration::ZERO; route.stages.len()];
    for index in order {
        let stage = &route.stages[index];
        let before = stage.depends_on.iter().map(|before| ends[*before]);
        let start = before.max().unwrap_or_default();
        let Some(batch) = batch_of(config, &stage.service) else {
            let problem = format!(
                "stage {index} names {}, which is no batch service",
                stage.service
            );
            findings.error("tc::routing::no_batch_service", name, problem);
            return;
        };
        if stage.result_bytes > batch.result_capacity_bytes {
            let problem = format!(
                "a result of stage {index} has {} bytes, and an upstream of {} can hold {}",
                stage.result_bytes, stage.service, batch.result_capacity_bytes
            );
            findings.error("tc::routing::result_without_room", name, problem);
        }
        ends[index] = start + batch.call_overhead + batch.piece_time;
    }
    let Some(shortest) = ends.into_iter().max() else {
        return;
    };
    let (code, limit, limit_name) = if shortest > route.timeout {
        (
            "tc::routing::stages_beyond_timeout",
            route.timeout,
            "timeout",
        )
    } else if shortest > route.latency_target {
        let target = route.latency_target;
        (
            "tc::routing::stages_beyond_target",
            target,
            "latency target",
        )
    } else {
        return;
    };
    let problem =
        format!("its stages take {shortest:?} without any wait, and its {limit_name} is {limit:?}");
    findings.error(code, name, problem);
}

fn batch_of(config: &RoutingConfig, service: &ServiceName) -> Option<BatchSpec> {
    config.services.get(service)?.batch
}

fn check_services(config: &RoutingConfig, findings: &mut Findings) {
    let used: BTreeSet<&ServiceName> = config
        .routes
        .iter()
        .flat_map(|route| {
            let targets = route.targets.iter().map(|(service, _)| service);
            targets.chain(route.stages.iter().map(|stage| &stage.service))
        })
        .collect();
    for (name, service) in &config.services {
        let subject = format!("service {name}");
        if !used.contains(name) {
            let problem = "no route and no stage uses it".to_owned();
            findings.warning("tc::routing::unused_service", &subject, problem);
        }
        check_service(service, &subject, findings);
    }
}

fn check_service(service: &RoutedService, subject: &str, findings: &mut Findings) {
    if service.max_connections == 0 {
        let problem = "its upstreams accept no connection".to_owned();
        findings.error("tc::routing::no_connections", subject, problem);
    }
    if let Some(batch) = service.batch {
        let full_call = batch.call_overhead + batch.piece_time * batch.max_pieces as u32;
        if batch.result_ttl < full_call {
            let problem = format!(
                "results are dropped after {:?}, before a full call of {full_call:?} can read them",
                batch.result_ttl
            );
            findings.warning("tc::routing::short_result_ttl", subject, problem);
        }
    }
    if let Some(cold) = service.cold_start
        && cold.max_requests_per_s < 1.0
    {
        let problem = format!(
            "a cold upstream gets {} requests a second, less than one",
            cold.max_requests_per_s
        );
        findings.warning("tc::routing::cold_rate_below_one", subject, problem);
    }
}

fn check_keys(config: &RoutingConfig, findings: &mut Findings) {
    let needs_key = config.routes.iter().any(|route| !route.public);
    if config.keys_required && config.keys.is_empty() && needs_key {
        let problem = "requests need a key, and there is none: every request is answered 401";
        findings.error("tc::routing::no_keys", "workspaces", problem.to_owned());
    }
    if config.limits.header_bytes == 0 {
        let problem = "no request fits into headers of zero bytes".to_owned();
        findings.error("tc::routing::zero_limit", "limits", problem);
    }
    if config.limits.idle_timeout < config.limits.header_timeout {
        let problem = format!(
            "idle connections are closed after {:?}, before the {:?} that a caller has for its headers",
            config.limits.idle_timeout, config.limits.header_timeout
        );
        findings.warning("tc::routing::idle_before_headers", "limits", problem);
    }
}
