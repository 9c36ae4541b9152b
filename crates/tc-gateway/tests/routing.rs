//! Tests route lookup by host and longest path prefix.

use std::{sync::Arc, time::Duration};

use tc_gateway::{RouteTable, RouteTableError};
use tc_protocol::routing::{Route, RouteKind, RouteStage, RoutedService, RoutingConfig};

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        priority: 0,
        targets: vec![("s".into(), 1)],
        max_attempts: 1,
        stages: Vec::new(),
        public: false,
        max_event_gap: None,
        first_event_timeout: None,
    }
}

fn config(routes: Vec<Route>) -> RoutingConfig {
    let service = RoutedService {
        name: "s".into(),
        max_connections: 1,
        batch: None,
        engine: None,
        cold_start: None,
    };
    RoutingConfig {
        routes: routes.into_iter().map(Arc::new).collect(),
        services: [("s".into(), Arc::new(service))].into(),
        ..RoutingConfig::default()
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = vec![
        route("short", "H.example", "/a/"),
        route("long", "h.example", "/a/b/"),
        route("other", "o.example", "/"),
    ];
    let table = RouteTable::new(&config(routes)).expect("the configuration is valid");
    let find = |host, path| table.find(host, path).map(|r| r.name.to_string());
    let cases = [
        ("h.example", "/a/b/c", Some("long")),
        ("h.example:8080", "/a/x", Some("short")),
        ("H.EXAMPLE", "/a/b", Some("short")),
        ("h.example", "/b/", None),
        ("nobody.example", "/a/", None),
        ("o.example", "/any", Some("other")),
    ];
    for (host, path, name) in cases {
        assert_eq!(find(host, path).as_deref(), name, "{host} {path}");
    }
}

#[test]
fn invalid_routes_are_rejected() {
    let duplicate = config(vec![route("a", "h", "/x/"), route("b", "h", "/x/")]);
    assert!(matches!(
        RouteTable::new(&duplicate),
        Err(RouteTableError::DuplicatePrefix(..))
    ));
    let no_target = config(vec![Route {
        targets: Vec::new(),
        ..route("a", "h", "/")
    }]);
    assert!(matches!(
        RouteTable::new(&no_target),
        Err(RouteTableError::NoTarget(_))
    ));
    let unknown = config(vec![Route {
        targets: vec![("t".into(), 1)],
        ..route("a", "h", "/")
    }]);
    assert!(matches!(
        RouteTable::new(&unknown),
        Err(RouteTableError::UnknownService(..))
    ));
    let stage = RouteStage {
        service: "s".into(),
        depends_on: vec![],
        result_bytes: 1,
    };
    let not_batch = config(vec![Route {
        stages: vec![stage],
        ..route("a", "h", "/")
    }]);
    assert!(matches!(
        RouteTable::new(&not_batch),
        Err(RouteTableError::NotBatchService(..))
    ));
}
