//! Chains of stages as one instance sends them to another.

use std::{
    net::Ipv4Addr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::FutureExt;
use tc_fleet::{FleetKeys, Mesh, MeshHandlers, MeshSettings, PiecesAnswer, SharedFleetShare};
use tc_membership::{FleetShare, MembershipConfig};
use tc_protocol::{
    Fingerprint, Incarnation, Member, MemberState, MonoTime,
    routing::{OriginAnswer, PieceInput, RouteStage, StageChain, StageRefusal, StageRequest},
};

type Received = Arc<Mutex<Vec<StageRequest>>>;

/// Starts an instance that keeps the stage requests that it receives.
async fn start_mesh(id: &str, received: Received) -> Mesh {
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
    let handlers = MeshHandlers {
        make_pieces: Box::new(move |request| {
            received.lock().expect("the lock").push(request);
            let answer = PiecesAnswer {
                reply: Err(StageRefusal::Late),
                home: None,
                is_late_return: false,
            };
            std::future::ready(answer).boxed()
        }),
        outlook: Box::new(|_| None),
        free_results: Box::new(|_| {}),
        choose_engine: Box::new(|_| None),
        record_runs: Box::new(|_, _| {}),
        record_origins: Box::new(|_| {}),
        find_origin: Box::new(|_| OriginAnswer::default()),
        follow_world: Box::new(|_| None),
    };
    let mesh = Mesh::start(settings, Arc::new(handlers)).await;
    mesh.expect("the mesh starts")
}

fn stage_request(depends_on: [&[usize]; 2]) -> StageRequest {
    let stage = |depends_on: &[usize]| RouteStage {
        service: "scan".into(),
        depends_on: depends_on.to_vec(),
        result_bytes: 8_000,
    };
    StageRequest {
        request: "r1".into(),
        workspace: "one".into(),
        service: "scan".into(),
        stage: 1,
        pieces: 2,
        input: PieceInput::Request("k7".into()),
        result_bytes: 8_000,
        priority: 0,
        in_time_for: Duration::from_secs(1),
        remaining: Duration::from_secs(2),
        preferred_domain: None,
        held_bytes: 0,
        is_last_reader: true,
        dependent_pieces: Vec::new(),
        later_pieces: Vec::new(),
        is_repeat: false,
        chain: Some(StageChain {
            fingerprint: Fingerprint(0x1a7e),
            workspace: "one".into(),
            stages: depends_on.map(stage).into(),
            pieces: vec![3, 2],
            until_latency_target: Duration::from_secs(1),
            remaining: Duration::from_secs(2),
        }),
    }
}

async fn chain_received(depends_on: [&[usize]; 2]) -> Option<StageChain> {
    let received = Received::default();
    let caller = start_mesh("i0", Received::default()).await;
    let home = start_mesh("i1", Arc::clone(&received)).await;
    let answer = caller
        .make_pieces(home.me(), &stage_request(depends_on))
        .await;
    answer.expect("the home answers");
    let received = received.lock().expect("the lock");
    received[0].chain.clone()
}

/// Guards against a home that admits requests without a look at their later stages, because the route lists its stages in
/// another order than they run.
#[tokio::test]
async fn chain_in_any_order_reaches_the_home() {
    for depends_on in [[&[][..], &[0]], [&[1], &[]]] {
        let chain = chain_received(depends_on).await;
        assert_eq!(chain, stage_request(depends_on).chain);
    }
}

/// Guards against a home that follows a chain without an end.
#[tokio::test]
async fn circular_chain_is_dropped() {
    for depends_on in [[&[1][..], &[0]], [&[0], &[]], [&[2], &[]]] {
        assert_eq!(chain_received(depends_on).await, None);
    }
}
