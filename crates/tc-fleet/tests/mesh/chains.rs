//! Chains of stages as one instance sends them to another.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::FutureExt;
use tc_fleet::{Mesh, MeshHandlers, PiecesAnswer};
use tc_protocol::{
    Fingerprint,
    routing::{PieceInput, RouteStage, StageChain, StageRefusal, StageRequest},
};

use crate::common::{handlers, start_mesh};

type Received = Arc<Mutex<Vec<StageRequest>>>;

/// Starts an instance that keeps the stage requests that it receives.
async fn start_home(id: &str, received: Received) -> Mesh {
    let make_pieces = move |request| {
        received.lock().expect("the lock").push(request);
        let answer = PiecesAnswer {
            reply: Err(StageRefusal::Late),
            home: None,
            is_late_return: false,
        };
        std::future::ready(answer).boxed()
    };
    let handlers = MeshHandlers {
        make_pieces: Box::new(make_pieces),
        ..handlers()
    };
    start_mesh(id, handlers).await
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
    let caller = start_mesh("i0", handlers()).await;
    let home = start_home("i1", Arc::clone(&received)).await;
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
