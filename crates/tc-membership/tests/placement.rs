//! Placement of roles and shuffle shards: which instances are chosen, and how little changes when
//! one is lost.

mod support;

use std::collections::BTreeSet;

use support::{DOMAINS, id, member};
use tc_membership::{config_watchers, home_of, shuffle_shard};
use tc_protocol::{
    FailureDomain, InstanceId, Member,
    MemberState::{self, Alive, Dead, Leaving, Suspect},
    WorkspaceName,
};

const KEYS: usize = 200;

fn fleet(states: &[MemberState]) -> Vec<Member> {
    let with_state = |(index, state): (usize, &MemberState)| Member {
        state: *state,
        ..member(index, 1)
    };
    states.iter().enumerate().map(with_state).collect()
}

fn ids(members: &[&Member]) -> BTreeSet<InstanceId> {
    members.iter().map(|m| m.id.clone()).collect()
}

#[test]
fn home_is_chosen_by_state_then_distance() {
    let near: FailureDomain = "kl-0".into();
    let cases = [
        (
            "alive in the failure domain",
            vec![Alive, Alive, Alive, Alive],
            Some(0),
        ),
        (
            "alive in the region",
            vec![Dead, Alive, Dead, Leaving],
            Some(1),
        ),
        (
            "alive elsewhere before suspect in the failure domain",
            vec![Suspect, Dead, Alive, Dead],
            Some(2),
        ),
        (
            "suspect if none is alive",
            vec![Suspect, Leaving, Dead, Suspect],
            Some(0),
        ),
        (
            "never leaving or dead",
            vec![Leaving, Dead, Leaving, Dead],
            None,
        ),
    ];
    for (name, states, expected) in cases {
        let members = fleet(&states);
        let home = home_of("upstream/e1", &members, Some(&near), Some(&"kl".into()));
        assert_eq!(home.map(|m| m.id.clone()), expected.map(id), "{name}");
    }
}

#[test]
fn only_roles_of_the_lost_instance_move() {
    let before = fleet(&[Alive; 12]);
    let mut after = before.clone();
    after[5].state = Dead;
    let mut homes = BTreeSet::new();
    for key in (0..KEYS).map(|k| format!("upstream/{k}")) {
        let old = home_of(&key, &before, None, None).unwrap();
        let new = home_of(&key, &after, None, None).unwrap();
        homes.insert(&old.id);
        assert_eq!(old.id == new.id, old.id != id(5));
    }
    assert_eq!(homes.len(), 12, "roles are spread over all instances");
}

#[test]
fn watchers_are_of_the_domain_and_replaced_one_by_one() {
    let mut members = fleet(&[Alive; 16]);
    let domain: FailureDomain = "kl-1".into();
    let before = ids(&config_watchers(&members, &domain, 2));
    assert_eq!(before.len(), 2);
    let lost = before.first().unwrap();
    members.iter_mut().find(|m| m.id == *lost).unwrap().state = Leaving;
    let after = config_watchers(&members, &domain, 2);
    assert!(after.iter().all(|m| m.failure_domain == domain));
    assert_eq!(ids(&after).intersection(&before).count(), 1);
}

#[test]
fn address_sets_by_state_weight_and_domain() {
    let near: FailureDomain = "kl-2".into();
    let cases = [
        ("size by weight", [Alive; 8].to_vec(), 2, 3, 6),
        ("at least two", [Alive; 8].to_vec(), 1, 1, 2),
        (
            "limited by the number of members",
            vec![Alive, Alive, Dead],
            4,
            4,
            2,
        ),
        (
            "no leaving, suspect or dead",
            vec![Leaving, Suspect, Dead, Alive, Alive],
            1,
            4,
            2,
        ),
        (
            "suspect if none is alive",
            vec![Leaving, Suspect, Dead, Suspect],
            1,
            4,
            2,
        ),
        ("no usable members", vec![Leaving, Dead], 1, 4, 0),
    ];
    for (name, states, weight, size, expected) in cases {
        let members = fleet(&states);
        let shard = shuffle_shard(&"lintas".into(), weight, size, &members, &near);
        assert_eq!(ids(&shard).len(), expected, "{name}");
        let first_far = shard.iter().position(|m| m.failure_domain != near);
        let last_near = shard.iter().rposition(|m| m.failure_domain == near);
        assert!(
            first_far.is_none_or(|far| last_near.is_none_or(|near| near < far)),
            "{name}"
        );
    }
}

#[test]
fn a_lost_address_is_replaced_by_one_other() {
    let before = fleet(&[Alive; 24]);
    let near: FailureDomain = "kl-0".into();
    let mut shards = BTreeSet::new();
    for workspace in (0..KEYS).map(|k| WorkspaceName::from(format!("w{k}"))) {
        let shard = ids(&shuffle_shard(&workspace, 1, 4, &before, &near));
        let domains: BTreeSet<_> = before
            .iter()
            .filter(|m| shard.contains(&m.id))
            .map(|m| &m.failure_domain)
            .collect();
        assert_eq!(domains.len(), DOMAINS, "spread over the failure domains");
        assert_eq!(
            shard,
            ids(&shuffle_shard(&workspace, 1, 4, &before, &"kl-3".into())),
            "same for every failure domain"
        );
        for lost in 0..24 {
            let mut after = before.clone();
            after[lost].state = Suspect;
            let kept = ids(&shuffle_shard(&workspace, 1, 4, &after, &near))
                .intersection(&shard)
                .count();
            assert_eq!(kept, 4 - usize::from(shard.contains(&id(lost))));
        }
        shards.insert(shard);
    }
    assert!(shards.len() > KEYS / 2, "workspaces share few whole shards");
}
