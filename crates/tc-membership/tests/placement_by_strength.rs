//! Roles go to instances in proportion to their strength.

use tc_membership::home_of;
use tc_protocol::{Incarnation, Member, MemberState};

fn member(number: u16, strength: u32) -> Member {
    Member {
        id: format!("m{number}").into(),
        incarnation: Incarnation(1),
        caller_address: ([127, 0, 0, 1], 7_000 + number).into(),
        fleet_address: ([127, 0, 0, 1], 8_000 + number).into(),
        failure_domain: "a".into(),
        region: "r".into(),
        state: MemberState::Alive,
        strength,
    }
}

/// Symptom: every call of a service takes half a second longer. Sequence: its home is placed on an instance with an
/// eighth of a core behind a narrow link. Cause: all instances count alike.
///
/// The pattern is 60 weak instances beside 20 strong ones, 50 times as strong: all roles belong on the strong.
#[test]
fn weak_instances_get_no_roles_and_strong_ones_share_them() {
    let mut members: Vec<Member> = (0..60).map(|n| member(n, 1)).collect();
    members.extend((60..80).map(|n| member(n, 50)));
    let mut on_strong = [0_u32; 20];
    for key in 0..2_000 {
        let home = home_of(&format!("service-{key}"), &members, None, None).expect("a home");
        let number: usize = home.id.as_str()[1..].parse().expect("a number");
        if let Some(count) = number.checked_sub(60) {
            on_strong[count] += 1;
        }
    }
    let strong: u32 = on_strong.iter().sum();
    assert_eq!(strong, 2_000, "on strong ones");
    assert!(
        on_strong.iter().all(|n| (60..=130).contains(n)),
        "{on_strong:?}"
    );
}

#[test]
fn only_the_roles_of_an_instance_that_goes_are_moved() {
    let all: Vec<Member> = (0..10)
        .map(|n| member(n, 10 * (1 + u32::from(n))))
        .collect();
    let rest = &all[..9];
    for key in 0..300 {
        let key = format!("service-{key}");
        let before = home_of(&key, &all, None, None).expect("a home");
        let after = home_of(&key, rest, None, None).expect("a home");
        assert!(before.id == after.id || before.id == all[9].id, "{key}");
    }
}

/// Symptom: after a power loss of all 295 instances, answers in time stay at four in ten until the next restart. Sequence: the
/// home of the busiest service falls to one of the 277 weak ones. Cause: each of them has a small chance, all together one in thirty.
#[test]
fn no_weak_member_is_home_while_there_are_strong_ones() {
    let mut members: Vec<Member> = (0..295).map(|n| member(n, 5)).collect();
    for member in members.iter_mut().step_by(17) {
        member.strength = 2_000;
    }
    for key in 0..1_000 {
        let home = home_of(&format!("service-{key}"), &members, None, None);
        assert_eq!(home.map(|home| home.strength), Some(2_000), "{key}");
    }
    members.retain(|member| member.strength == 5);
    let home = home_of("service-0", &members, None, None);
    assert!(home.is_some(), "weak ones are better than none");
}

/// Instances that differ by less than a factor of four share roles in proportion.
#[test]
fn members_of_similar_strength_all_hold_roles() {
    let members: Vec<Member> = (0..6)
        .map(|n| member(n, if n < 3 { 10 } else { 30 }))
        .collect();
    let homes = (0..600).filter_map(|key| home_of(&format!("service-{key}"), &members, None, None));
    let on_lesser = homes.filter(|home| home.strength == 10).count();
    assert!(
        (110..=190).contains(&on_lesser),
        "{on_lesser} of 600, a quarter expected"
    );
}
