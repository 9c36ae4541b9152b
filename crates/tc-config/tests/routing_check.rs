//! Checks of a routing configuration: each kind of problem is found, and a sound configuration has none.

use std::{sync::Arc, time::Duration};

use tc_config::{Severity, check_routing, compare_routing};
use tc_protocol::routing::{
    BatchSpec, Route, RouteKind, RouteStage, RoutedService, RoutedWorkspace, RoutingConfig,
};

fn route(name: &str, service: &str) -> Route {
    Route {
        name: name.into(),
        host: "h.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(6),
        latency_target: Duration::from_secs(2),
        priority: 0,
        targets: vec![(service.into(), 1)],
        max_attempts: 2,
        stages: vec![RouteStage {
            service: "pieces".into(),
            depends_on: Vec::new(),
            result_bytes: 8_000,
        }],
        public: false,
        max_event_gap: None,
        first_event_timeout: None,
    }
}

fn service(name: &str, batch: Option<BatchSpec>) -> Arc<RoutedService> {
    Arc::new(RoutedService {
        name: name.into(),
        max_connections: 100,
        batch,
        engine: None,
        cold_start: None,
    })
}

fn config(routes: Vec<Route>) -> RoutingConfig {
    let batch = BatchSpec {
        slots: 1,
        queue_capacity: 2,
        max_pieces: 18,
        call_overhead: Duration::from_millis(200),
        piece_time: Duration::from_millis(10),
        result_capacity_bytes: 40_000_000,
        result_ttl: Duration::from_secs(4),
        link_bytes_per_s: 1e9,
    };
    let workspace = RoutedWorkspace {
        name: "one".into(),
        priority: None,
    };
    RoutingConfig {
        version: 7,
        routes: routes.into_iter().map(Arc::new).collect(),
        services: [("web", None), ("pieces", Some(batch))]
            .map(|(name, batch)| (name.into(), service(name, batch)))
            .into(),
        keys: [("k1".into(), Arc::new(workspace))].into(),
        keys_required: true,
        ..RoutingConfig::default()
    }
}

fn codes(config: &RoutingConfig) -> Vec<(Severity, &'static str)> {
    let findings = check_routing(config);
    findings.iter().map(|f| (f.severity, f.code)).collect()
}

/// Guards against findings on a configuration that instances serve as it says.
#[test]
fn sound_configuration_has_no_findings() {
    let sound = config(vec![route("a", "web"), route("b", "web")]);
    assert_eq!(check_routing(&sound), []);
}

/// Guards against a finding on stages that are listed in another order than they run, and against times that leave them out.
#[test]
fn stages_may_be_listed_in_any_order() {
    let stage = |depends_on| RouteStage {
        service: "pieces".into(),
        depends_on,
        result_bytes: 8_000,
    };
    let with_target = |latency_target| {
        config(vec![
            Route {
                stages: vec![stage(vec![1]), stage(vec![])],
                latency_target: Duration::from_millis(latency_target),
                ..route("a", "web")
            },
            route("b", "web"),
        ])
    };
    assert_eq!(check_routing(&with_target(430)), []);
    let beyond = (Severity::Error, "tc::routing::stages_beyond_target");
    assert_eq!(codes(&with_target(410)), [beyond]);
}

/// Guards against problems of one route that the check does not see.
#[test]
fn each_problem_of_a_route_is_found() {
    type Change = fn(&mut Route);
    let cases: [(Change, Severity, &str); 10] = [
        (
            |r| r.targets[0].0 = "wbe".into(),
            Severity::Error,
            "unknown_service",
        ),
        (|r| r.targets[0].1 = 0, Severity::Error, "no_target"),
        (
            |r| r.timeout = Duration::ZERO,
            Severity::Error,
            "zero_timeout",
        ),
        (
            |r| r.timeout = Duration::from_secs(1),
            Severity::Error,
            "target_beyond_timeout",
        ),
        (
            |r| r.stages[0].depends_on = vec![0],
            Severity::Error,
            "stage_order",
        ),
        (
            |r| r.stages[0].service = "web".into(),
            Severity::Error,
            "no_batch_service",
        ),
        (
            |r| r.stages[0].result_bytes = 41_000_000,
            Severity::Error,
            "result_without_room",
        ),
        (
            |r| r.latency_target = Duration::from_millis(200),
            Severity::Error,
            "stages_beyond_target",
        ),
        (
            |r| {
                r.timeout = Duration::from_millis(200);
                r.latency_target = r.timeout;
            },
            Severity::Error,
            "stages_beyond_timeout",
        ),
        (
            |r| r.kind = RouteKind::NonIdempotent,
            Severity::Warning,
            "attempts_without_retry",
        ),
    ];
    for (change, severity, code) in cases {
        let mut changed = route("b", "web");
        change(&mut changed);
        let found = codes(&config(vec![route("a", "web"), changed]));
        let code = format!("tc::routing::{code}");
        assert!(
            found.iter().any(|(s, c)| *s == severity && *c == code),
            "{code}: {found:?}"
        );
    }
}

/// Guards against entries without effect that nobody notices: a route behind another one, services that nothing uses, keys
/// that do not exist.
#[test]
fn entries_that_can_never_match_are_found() {
    let mut shadowed = route("b", "web");
    shadowed.path_prefix = "/a/".into();
    shadowed.host = "H.example".into();
    let found = codes(&config(vec![route("a", "web"), shadowed]));
    assert_eq!(found, [(Severity::Error, "tc::routing::shadowed_route")]);
    let mut unused = config(vec![route("a", "web")]);
    unused.services.insert("old".into(), service("old", None));
    unused.keys.clear();
    let expected = [
        (Severity::Error, "tc::routing::no_keys"),
        (Severity::Warning, "tc::routing::unused_service"),
    ];
    assert_eq!(codes(&unused), expected);
}

/// Guards against a comparison that misses what callers notice.
#[test]
fn differences_name_their_effect() {
    let in_force = config(vec![route("a", "web"), route("b", "web")]);
    assert_eq!(
        compare_routing(
            &in_force,
            &RoutingConfig {
                version: 8,
                ..in_force.clone()
            }
        ),
        []
    );
    let mut changed = route("a", "web");
    changed.priority = 2;
    let mut next = config(vec![changed, route("c", "web")]);
    next.keys.clear();
    let effects: Vec<String> = compare_routing(&in_force, &next)
        .iter()
        .map(ToString::to_string)
        .collect();
    let expected = [
        "version 7: instances ignore it: version 7 is in force",
        "route a: its priority changes from 0 to 2",
        "route b: removed: h.example/b/ is answered 404 unless another route matches",
        "route c: added",
        "workspaces: 1 keys of one are removed: requests with them are answered 401",
    ];
    assert_eq!(effects, expected);
}
