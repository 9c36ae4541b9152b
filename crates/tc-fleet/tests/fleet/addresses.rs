//! Listening, source and advertised addresses of an instance.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};

use crate::common::{Instance, KEY, TIMEOUT, run, wait_until};
use tc_stand_ins::Platform;

/// Returns an address with a port that was free at the time of the call.
async fn free_at(ip: [u8; 4]) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).await.unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn calls_to_instances_use_the_listening_ip_as_source() {
    // On a host with several IP addresses, an instance listens on one of them and calls a seed that is routed over
    // another one. Unless the source address is set, the operating system chooses it for TCP connections, and a packet
    // filter may pass probes but block permit requests.
    run(async {
        let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .unwrap();
        let seed = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let seeds = vec![seed.local_addr().unwrap()];
        let listen = free_at([127, 0, 7, 1]).await;
        let advertised = free_at([127, 0, 0, 1]).await;
        let _instance = Instance::start_at(
            [listen, advertised],
            "a",
            "kl-a",
            platform.address(),
            seeds,
            KEY,
        );
        let (_, from) = tokio::time::timeout(TIMEOUT, seed.accept())
            .await
            .unwrap()
            .unwrap();
        assert_eq!(from.ip(), listen.ip());
    });
}

#[test]
fn the_advertised_address_is_announced() {
    // Behind address translation, an instance listens on an address that only its own network can reach and advertises
    // another one. If it announced the listening address, instances would declare each other dead.
    run(async {
        let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .unwrap();
        let listen = free_at([127, 0, 7, 1]).await;
        let advertised = free_at([127, 0, 0, 1]).await;
        let start = |addresses, id, seeds| {
            Instance::start_at(addresses, id, "kl-a", platform.address(), seeds, KEY)
        };
        let first = start([listen, advertised], "a", Vec::new());
        TcpStream::connect(listen).await.unwrap();
        let plain = free_at([127, 0, 0, 1]).await;
        // The seed is the listening address of the first instance, because nothing listens on the advertised one.
        let second = start([plain; 2], "b", vec![listen]);
        wait_until(
            "the second instance knows the advertised address of the first",
            || {
                let view = second.fleet.view();
                view.member(&first.member.id)
                    .is_some_and(|m| m.fleet_address == advertised)
            },
        )
        .await;
    });
}
