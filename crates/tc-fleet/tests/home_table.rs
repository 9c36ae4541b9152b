//! Homes of services as a gateway looks them up.

use std::{collections::BTreeSet, sync::Arc};

use tc_fleet::HomeTable;
use tc_membership::home_of;
use tc_protocol::{Incarnation, InstanceId, Member, MemberState, ServiceName};

const SERVICES: [&str; 4] = ["audio", "embed", "generate", "render"];

fn members(count: u16) -> Arc<Vec<Member>> {
    let member = |number: u16| Member {
        id: format!("m{number}").into(),
        incarnation: Incarnation(1),
        caller_address: ([127, 0, 0, 1], 7_000 + number).into(),
        fleet_address: ([127, 0, 0, 1], 8_000 + number).into(),
        failure_domain: "a".into(),
        region: "r".into(),
        state: MemberState::Alive,
        strength: 500,
    };
    Arc::new((0..count).map(member).collect())
}

fn table() -> HomeTable {
    let homes = HomeTable::default();
    assert!(homes.set_services(SERVICES.map(ServiceName::from).to_vec()));
    homes
}

fn homes_of(homes: &HomeTable, members: &Arc<Vec<Member>>) -> Vec<InstanceId> {
    let home = |service: &&str| homes.home(service, members).expect("a home").id;
    SERVICES.iter().map(home).collect()
}

/// Guards against services that are placed one by one: their homes meet on one instance by chance.
#[test]
fn known_services_have_homes_on_different_instances() {
    let homes = homes_of(&table(), &members(8));
    let distinct: BTreeSet<&InstanceId> = homes.iter().collect();
    assert_eq!(distinct.len(), SERVICES.len(), "{homes:?}");
}

/// Guards against an answer from before a change of the members or services.
#[test]
fn homes_follow_members_and_services() {
    let homes = table();
    let (eight, three) = (members(8), members(3));
    let before = homes_of(&homes, &eight);
    for home in homes_of(&homes, &three) {
        assert!(
            three.iter().any(|member| member.id == home),
            "{home} is gone"
        );
    }
    assert_eq!(homes_of(&homes, &eight), before);
    assert!(!homes.set_services(SERVICES.map(ServiceName::from).to_vec()));
    assert!(homes.set_services(Vec::new()));
    let alone = home_of("embed", &eight, None, None).map(|home| home.id.clone());
    assert_eq!(homes.home("embed", &eight).map(|home| home.id), alone);
}

/// Guards against two homes of a service after a failure: an instance that gets no answer from a home uses the one that all
/// instances use once they know that the first is gone.
#[test]
fn next_home_is_the_home_after_the_loss() {
    let all = members(8);
    let homes = table();
    for lost in all.iter() {
        let rest: Vec<Member> = all.iter().filter(|m| m.id != lost.id).cloned().collect();
        let next = homes.home_among("render", &rest);
        assert_eq!(next, table().home("render", &Arc::new(rest)));
    }
}
