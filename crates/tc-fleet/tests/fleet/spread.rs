//! Configuration and membership across several instances.

use std::time::Duration;

use crate::common::{
    Instance, KEY, put_config, run, start_settled, wait_until, wait_until_settled,
};
use tc_protocol::MemberState;

#[test]
fn a_new_revision_reaches_all_instances() {
    run(async {
        let (platform, instances) = start_settled(4, 1, 1).await;
        put_config(&platform, 2, &["127.0.0.1:9".parse().unwrap()], 3).await;
        wait_until_settled(&instances, 4, 2).await;
        wait_until("the lowest revision is known", || {
            let (_, lowest, newest) = futures::executor::block_on(instances[0].fleet.revisions());
            lowest == 2 && newest == 2
        })
        .await;
    });
}

#[test]
fn an_invalid_revision_is_rejected() {
    // Instances must validate a complete configuration before they activate any of it, otherwise part of an invalid one
    // takes effect. Here an object with an invalid service is written directly to the platform, without the operator's
    // command.
    run(async {
        let (platform, instances) = start_settled(2, 1, 5).await;
        put_config(&platform, 2, &[], 0).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        for instance in &instances {
            let view = instance.fleet.view();
            assert_eq!(view.config.revision, 1);
            assert_eq!(view.config.services["encode"].slots, 5);
        }
        put_config(&platform, 3, &["127.0.0.1:9".parse().unwrap()], 7).await;
        wait_until_settled(&instances, 2, 3).await;
    });
}

#[test]
fn a_fresh_instance_joins_during_a_store_outage() {
    // An instance that starts during a store outage, here with only a seed address, must get members and configuration
    // from its peers. Otherwise it serves nothing until the store is back.
    run(async {
        let (platform, mut instances) = start_settled(2, 1, 1).await;
        platform.faults().set_down(true);
        let seed = instances[0].member.fleet_address;
        instances.push(Instance::start(
            "fresh",
            "kl-b",
            platform.address(),
            vec![seed],
            KEY,
        ));
        wait_until_settled(&instances, 3, 1).await;
    });
}

#[test]
fn an_instance_with_another_key_cannot_join() {
    // Datagrams and calls must be authenticated in both directions. Otherwise an unauthorized process on the network,
    // here an instance with a seed address but a different key, becomes a member and the home of upstreams.
    run(async {
        let (platform, instances) = start_settled(2, 1, 1).await;
        let seed = instances[0].member.fleet_address;
        let unauthorized = Instance::start(
            "stranger",
            "kl-a",
            platform.address(),
            vec![seed],
            "quite another key",
        );
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(instances[0].fleet.view().members.len(), 2);
        assert!(
            !unauthorized
                .fleet
                .view()
                .members
                .iter()
                .any(|m| m.state == MemberState::Alive && m.id != unauthorized.member.id)
        );
    });
}

#[test]
fn a_leaving_instance_gets_no_callers_and_no_homes() {
    run(async {
        let (_platform, instances) = start_settled(3, 3, 1).await;
        let leaving = instances[1].member.id.clone();
        instances[1].fleet.leave();
        wait_until("it gets no callers and no homes", || {
            instances.iter().all(|instance| {
                let answer = instance.fleet.addresses(&"lintas".into());
                let view = instance.fleet.view();
                let homes = &view.upstreams["encode"];
                !answer.instances.is_empty()
                    && answer.instances.iter().all(|address| address.id != leaving)
                    && homes
                        .iter()
                        .all(|u| u.home.as_ref().is_some_and(|home| *home != leaving))
            })
        })
        .await;
    });
}

#[test]
fn invalid_datagrams_are_ignored() {
    // Datagrams that are not authentic must be dropped before they are decoded. Otherwise noise on the network makes
    // instances suspect each other or stops one. Here datagrams of many lengths up to the maximum reach the UDP port.
    run(async {
        let (_platform, instances) = start_settled(2, 1, 1).await;
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for length in (0..1_400).step_by(7) {
            let noise: Vec<u8> = (0..length).map(|i| (i * 31 % 251) as u8).collect();
            socket
                .send_to(&noise, instances[0].member.fleet_address)
                .unwrap();
        }
        tokio::time::sleep(Duration::from_millis(700)).await;
        for instance in &instances {
            let view = instance.fleet.view();
            assert_eq!(view.members.len(), 2);
            assert!(view.members.iter().all(|m| m.state == MemberState::Alive));
        }
    });
}
