//! Configuration and membership over several instances.

use std::time::Duration;

use crate::common::{Instance, KEY, put_config, run, settled, until, until_settled};
use tc_protocol::MemberState;

#[test]
fn a_new_revision_reaches_everyone() {
    run(async {
        let (platform, instances) = settled(4, 1, 1).await;
        put_config(&platform, 2, &["127.0.0.1:9".parse().unwrap()], 3).await;
        until_settled(&instances, 4, 2).await;
        until("the lowest revision is known", || {
            let (_, lowest, newest) = futures::executor::block_on(instances[0].fleet.revisions());
            lowest == 2 && newest == 2
        })
        .await;
    });
}

#[test]
fn an_invalid_revision_changes_nothing() {
    // Symptom: half of a broken configuration is in force.
    // Sequence: an object with a service of an unknown kind is written past the operators' command.
    // Cause: instances must validate the whole before they take up any of it.
    run(async {
        let (platform, instances) = settled(2, 1, 5).await;
        put_config(&platform, 2, &[], 0).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        for instance in &instances {
            let view = instance.fleet.view();
            assert_eq!(view.config.revision, 1);
            assert_eq!(view.config.services["encode"].slots, 5);
        }
        put_config(&platform, 3, &["127.0.0.1:9".parse().unwrap()], 7).await;
        until_settled(&instances, 2, 3).await;
    });
}

#[test]
fn a_fresh_instance_joins_during_a_store_outage() {
    // Symptom: an instance replaced during an outage serves nothing until the store is back.
    // Sequence: the store goes down; a new instance starts with a seed address only.
    // Cause: members and configuration must come from peers.
    run(async {
        let (platform, mut instances) = settled(2, 1, 1).await;
        platform.faults().set_down(true);
        let seed = instances[0].member.fleet_address;
        instances.push(Instance::start(
            "fresh",
            "kl-b",
            platform.address(),
            vec![seed],
            KEY,
        ));
        until_settled(&instances, 3, 1).await;
    });
}

#[test]
fn an_instance_with_another_key_is_not_let_in() {
    // Symptom: a stranger on the network becomes a member and homes upstreams.
    // Sequence: it starts with a seed address but not the fleet's key.
    // Cause: datagrams and calls must be authenticated, both ways.
    run(async {
        let (platform, instances) = settled(2, 1, 1).await;
        let seed = instances[0].member.fleet_address;
        let stranger = Instance::start(
            "stranger",
            "kl-a",
            platform.address(),
            vec![seed],
            "quite another key",
        );
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(instances[0].fleet.view().members.len(), 2);
        assert!(
            !stranger
                .fleet
                .view()
                .members
                .iter()
                .any(|m| m.state == MemberState::Alive && m.id != stranger.member.id)
        );
    });
}

#[test]
fn a_leaving_instance_gets_no_callers_and_no_homes() {
    run(async {
        let (_platform, instances) = settled(3, 3, 1).await;
        let leaving = instances[1].member.id.clone();
        instances[1].fleet.leave();
        until("nobody is sent to it", || {
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
fn datagrams_that_are_no_messages_change_nothing() {
    // Symptom: noise on the network makes instances suspect each other, or stops one.
    // Sequence: bytes of every length up to the largest datagram, then a sealed-looking one, reach the UDP port.
    // Cause: whatever is not authentic must be dropped before it is decoded.
    run(async {
        let (_platform, instances) = settled(2, 1, 1).await;
        let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        for length in (0..1_400).step_by(7) {
            let noise: Vec<u8> = (0..length).map(|at| (at * 31 % 251) as u8).collect();
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
