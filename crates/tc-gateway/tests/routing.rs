//! Tests route lookup by host and longest path prefix.

use std::{sync::Arc, time::Duration};

use tc_gateway::{NoRoute, RouteTable};
use tc_protocol::routing::{
    BatchSpec, ConfigFault, FaultEffect, Route, RouteKind, RouteStage, RoutedService, RoutingConfig,
};

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
    let service = |name: &str, batch| RoutedService {
        name: name.into(),
        max_connections: 1,
        batch,
        engine: None,
        cold_start: None,
    };
    let batch = BatchSpec {
        slots: 1,
        queue_capacity: 1,
        max_pieces: 1,
        call_overhead: Duration::from_millis(200),
        piece_time: Duration::from_millis(10),
        result_capacity_bytes: 1_000,
        result_ttl: Duration::from_secs(4),
        link_bytes_per_s: 1e9,
    };
    let services = [service("s", None), service("batch", Some(batch))];
    RoutingConfig {
        routes: routes.into_iter().map(Arc::new).collect(),
        services: services.map(|s| (s.name.clone(), Arc::new(s))).into(),
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
    let table = RouteTable::new(&config(routes));
    let find = |host, path| table.find(host, path).ok().map(|r| r.name.to_string());
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

/// Guards against a route that is served although it cannot be, or whose requests another route takes, and against one that
/// keeps the others from being served.
#[test]
fn unusable_route_is_not_served_and_the_others_are() {
    let stage = |service: &str, depends_on: &[usize]| RouteStage {
        service: service.into(),
        depends_on: depends_on.to_vec(),
        result_bytes: 1,
    };
    let bad = || route("bad", "h", "/x/");
    let unusable = [
        Route {
            targets: Vec::new(),
            ..bad()
        },
        Route {
            targets: vec![("s".into(), 0)],
            ..bad()
        },
        Route {
            targets: vec![("t".into(), 1)],
            ..bad()
        },
        Route {
            stages: vec![stage("t", &[])],
            ..bad()
        },
        Route {
            stages: vec![stage("s", &[])],
            ..bad()
        },
        Route {
            stages: vec![stage("batch", &[1]), stage("batch", &[0])],
            ..bad()
        },
        Route {
            stages: vec![stage("batch", &[1])],
            ..bad()
        },
    ];
    for unusable in unusable {
        let config = config(vec![unusable, route("all", "h", "/")]);
        let table = RouteTable::new(&config);
        assert_eq!(table.find("h", "/x/1").err(), Some(NoRoute::Unusable));
        let other = table.find("h", "/y").expect("the other route is served");
        assert_eq!(&*other.name, "all");
        let [fault] = table.faults() else {
            panic!("{:?}", table.faults());
        };
        assert_eq!(fault.subject, "route bad");
    }
}

/// Guards against two routes with one prefix of which neither is served, or against one that is chosen by chance.
#[test]
fn first_of_two_routes_with_the_same_prefix_is_served() {
    let config = config(vec![route("a", "h", "/x/"), route("b", "H", "/x/")]);
    let table = RouteTable::new(&config);
    let found = table.find("h", "/x/1").expect("a route");
    assert_eq!(&*found.name, "a");
    assert_eq!(table.faults()[0].subject, "route b");
}

/// Guards against requests of a route that could not be decoded being served by one with a shorter prefix.
#[test]
fn route_that_was_not_decoded_is_not_served() {
    let mut config = config(vec![route("all", "h", "/")]);
    config.faults.push(ConfigFault {
        subject: "route bad".to_owned(),
        problem: "unknown kind".to_owned(),
        effect: FaultEffect::Unserved {
            host: "H".into(),
            path_prefix: "/x/".into(),
        },
    });
    let table = RouteTable::new(&config);
    assert_eq!(table.find("h", "/x/1").err(), Some(NoRoute::Unusable));
    assert!(table.find("h", "/y").is_ok());
}
