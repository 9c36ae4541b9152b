//! Initial configuration and view of the tests.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use sha2::{Digest, Sha256};
use tc_protocol::{
    FleetConfig, FleetView, Incarnation, Limits, Member, MemberState, Pipeline, Service,
    ServiceKind, Stage, StoreHealth, Upstream, UpstreamState, Workspace,
};

use super::Upstreams;

pub(crate) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
pub(crate) const ME: &str = "kl-a-1";
pub(crate) const INCARNATION: Incarnation = Incarnation(7);
pub(crate) const LINTAS: &str = "lintas-token";
pub(crate) const TRINACRIA: &str = "trinacria-token";

pub(crate) fn config(upstreams: &Upstreams) -> FleetConfig {
    let mut services = BTreeMap::new();
    for service in ["encode", "rerank", "bill"] {
        let members = upstreams
            .pools
            .iter()
            .map(|p| (p.id().clone(), p.address()));
        let idempotent = service != "bill";
        let selected = service_upstreams(service, members);
        services.insert(
            service.into(),
            service_of(ServiceKind::Pool, idempotent, selected),
        );
    }
    let members = upstreams
        .engines
        .iter()
        .map(|e| (e.id().clone(), e.address()));
    let mut generate = service_of(ServiceKind::Engine, true, service_upstreams("gen", members));
    generate.model = Some("drafter".into());
    services.insert("generate".into(), generate);
    for service in ["lots", "notify"] {
        let members = upstreams
            .plains
            .iter()
            .map(|p| (p.id().clone(), p.address()));
        let selected = service_upstreams(service, members);
        services.insert(
            service.into(),
            service_of(ServiceKind::Plain, service == "lots", selected),
        );
    }
    let pipelines = [
        ("summary", vec!["encode", "rerank", "generate"], vec![]),
        ("scores", vec!["encode", "rerank"], vec![]),
        ("appraise", vec!["encode", "bill"], vec![]),
        ("private", vec!["encode"], vec!["trinacria".into()]),
    ];
    FleetConfig {
        revision: 1,
        pipelines: pipelines
            .into_iter()
            .map(|(name, stages, workspaces)| (name.into(), pipeline(&stages, workspaces)))
            .collect(),
        services,
        workspaces: BTreeMap::from([
            ("lintas".into(), workspace(LINTAS, 2)),
            ("trinacria".into(), workspace(TRINACRIA, 0)),
        ]),
        ..FleetConfig::default()
    }
}

fn service_upstreams(
    prefix: &str,
    members: impl Iterator<Item = (tc_protocol::UpstreamId, SocketAddr)>,
) -> Vec<Upstream> {
    members
        .filter(|(id, _)| id.as_str().starts_with(prefix))
        .map(|(id, address)| Upstream {
            id,
            address,
            failure_domain: "a".into(),
            region: "kl".into(),
        })
        .collect()
}

fn service_of(kind: ServiceKind, idempotent: bool, upstreams: Vec<Upstream>) -> Service {
    Service {
        kind,
        idempotent,
        checks_orders: false,
        model: None,
        slots: 8,
        upstreams,
    }
}

fn pipeline(stages: &[&str], workspaces: Vec<tc_protocol::WorkspaceName>) -> Pipeline {
    let stage = |name: &&str| Stage {
        name: (*name).into(),
        service: (*name).into(),
        max_tokens: 16,
    };
    Pipeline {
        deadline_ms: 10_000,
        priority: 3,
        workspaces,
        stages: stages.iter().map(stage).collect(),
    }
}

fn workspace(token: &str, highest_priority: u8) -> Workspace {
    let digest = Sha256::digest(token.as_bytes());
    let hex = digest
        .iter()
        .fold(String::new(), |hex, b| hex + &format!("{b:02x}"));
    Workspace {
        token_sha256: hex.into(),
        weight: 1,
        highest_priority,
        limits: Limits::default(),
    }
}

pub(crate) fn member(id: &str, incarnation: Incarnation, caller_address: SocketAddr) -> Member {
    Member {
        id: id.into(),
        incarnation,
        caller_address,
        fleet_address: ANY_PORT,
        failure_domain: "a".into(),
        region: "kl".into(),
        state: MemberState::Alive,
        strength: Member::default_strength(),
    }
}

pub(crate) fn view(me: Member, others: &[Member], config: FleetConfig) -> FleetView {
    let state = |upstream: &Upstream| UpstreamState {
        upstream: upstream.clone(),
        leaving: false,
        home: Some(me.id.clone()),
        summary: None,
    };
    let upstreams = config
        .services
        .iter()
        .map(|(name, service)| (name.clone(), service.upstreams.iter().map(state).collect()))
        .collect();
    let mut members = vec![me.clone()];
    members.extend_from_slice(others);
    FleetView {
        me,
        members: members.into(),
        config: Arc::new(config),
        upstreams: Arc::new(upstreams),
        store: StoreHealth::default(),
    }
}
