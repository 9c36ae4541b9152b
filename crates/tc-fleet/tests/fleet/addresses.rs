//! Where an instance listens for others, where its own calls come from, and what others are told.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

use crate::common::{Instance, KEY, PATIENCE, run, until};
use tc_stand_ins::Platform;

/// An address whose port was free a moment ago.
async fn free_at(ip: [u8; 4]) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).await.unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn calls_to_instances_leave_from_the_listening_ip() {
    // Symptom: on a machine of several addresses, probes pass a packet filter and permits do not.
    // Sequence: an instance listens on one of them and calls a seed that is nearer to another.
    // Cause: without a fixed source the system picks the address for a connection, not the listening one.
    run(async {
        let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .unwrap();
        let seed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let seeds = vec![seed.local_addr().unwrap()];
        let listen = free_at([127, 0, 7, 1]).await;
        let told = free_at([127, 0, 0, 1]).await;
        let _instance =
            Instance::start_at([listen, told], "a", "kl-a", platform.address(), seeds, KEY);
        let (_, from) = tokio::time::timeout(PATIENCE, seed.accept())
            .await
            .unwrap()
            .unwrap();
        assert_eq!(from.ip(), listen.ip());
    });
}

#[test]
fn others_are_told_the_advertised_address() {
    // Symptom: instances behind a translated address see each other as dead.
    // Sequence: an instance listens where only its own side reaches it, and advertises another address.
    // Cause: what it is told to bind must not be what it tells others.
    run(async {
        let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .unwrap();
        let listen = free_at([127, 0, 7, 1]).await;
        let told = free_at([127, 0, 0, 1]).await;
        let start = |addresses, id, seeds| {
            Instance::start_at(addresses, id, "kl-a", platform.address(), seeds, KEY)
        };
        let first = start([listen, told], "a", Vec::new());
        TcpStream::connect(listen).await.unwrap();
        let plain = free_at([127, 0, 0, 1]).await;
        // Its seed is where the first one listens: nobody listens where the first one says it is.
        let second = start([plain; 2], "b", vec![listen]);
        until("the second knows the first by the address it tells", || {
            let view = second.fleet.view();
            view.member(&first.member.id)
                .is_some_and(|m| m.fleet_address == told)
        })
        .await;
    });
}
