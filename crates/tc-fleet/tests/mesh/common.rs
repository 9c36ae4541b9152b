//! Starts instances of a mesh without a gateway.

use std::{net::Ipv4Addr, sync::Arc};

use futures::FutureExt;
use tc_fleet::{FleetKeys, Mesh, MeshHandlers, MeshSettings, SharedFleetShare};
use tc_membership::{FleetShare, MembershipConfig};
use tc_protocol::{Incarnation, Member, MemberState, MonoTime, routing::OriginAnswer};

/// Returns handlers that know nothing and make no pieces.
pub(crate) fn handlers() -> MeshHandlers {
    MeshHandlers {
        make_pieces: Box::new(|_| std::future::pending().boxed()),
        outlook: Box::new(|_| None),
        free_results: Box::new(|_| {}),
        choose_engine: Box::new(|_| None),
        record_runs: Box::new(|_, _| {}),
        record_origins: Box::new(|_| {}),
        find_origin: Box::new(|_| OriginAnswer::default()),
        follow_world: Box::new(|_| None),
    }
}

/// Starts an instance that knows no other one.
pub(crate) async fn start_mesh(id: &str, handlers: MeshHandlers) -> Mesh {
    let address = tc_stand_ins::free_address(Ipv4Addr::LOCALHOST.into()).expect("a free port");
    let me = Member {
        id: id.into(),
        incarnation: Incarnation(1),
        caller_address: address,
        fleet_address: address,
        failure_domain: "kl-a".into(),
        region: "kl".into(),
        state: MemberState::Alive,
        strength: Member::default_strength(),
    };
    let share = FleetShare::new(MonoTime::now(), address, &[]);
    let settings = MeshSettings {
        me,
        listen: address,
        keys: FleetKeys::new(&["a key for these tests only"]).expect("a key"),
        timing: MembershipConfig::default(),
        traffic: tokio::runtime::Handle::current(),
        limits: Arc::default(),
        share: Arc::new(SharedFleetShare::new(share)),
    };
    let mesh = Mesh::start(settings, Arc::new(handlers)).await;
    mesh.expect("the mesh starts")
}
