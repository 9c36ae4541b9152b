//! Single failures, and the member states that must result.

mod support;

use std::time::Duration;

use support::{Net, id, list, member};
use tc_membership::{Membership, MembershipConfig, Message, MessageKind, Record};
use tc_protocol::{
    Incarnation,
    MemberState::{self, Alive, Dead, Leaving, Suspect},
    MonoTime,
    wire::ListedState,
};

const SECOND: Duration = Duration::from_secs(1);

fn record(index: usize, state: MemberState, refutation: u32) -> Record {
    let mut member = member(index, 1);
    member.state = state;
    Record {
        member,
        refutation,
        revision: 0,
    }
}

fn announcement(from: usize, changes: Vec<Record>) -> Message {
    Message {
        from: record(from, Alive, 0),
        kind: MessageKind::Announcement,
        changes,
    }
}

fn state_at(machine: &Membership, index: usize) -> Option<MemberState> {
    let members = machine.members();
    members.iter().find(|m| m.id == id(index)).map(|m| m.state)
}

fn states_at(net: &Net, at: usize) -> Vec<Option<MemberState>> {
    (0..net.nodes.len())
        .map(|i| state_at(&net.nodes[at].membership, i))
        .collect()
}

/// Returns two instances that know each other and have just probed each other.
fn pair() -> Net {
    let mut net = Net::joined(2, MembershipConfig::default(), 1);
    net.run(SECOND, |_, _, _| {});
    net
}

#[test]
fn crash_is_known_to_all_within_two_seconds() {
    // Guards against callers being sent to a crashed instance, because no probe reaches it soon or
    // the update spreads too slowly. One of eight instances crashes, with twenty seeds.
    for seed in 0..20 {
        let mut net = Net::joined(8, MembershipConfig::default(), seed);
        net.run(SECOND * 5, |_, _, _| {});
        net.crash(3);
        let known = |net: &Net| (0..8).all(|i| i == 3 || states_at(net, i)[3] == Some(Dead));
        let time = net.run_until(SECOND * 10, known).unwrap();
        assert!(time < SECOND * 2, "seed {seed}: {time:?}");
    }
}

#[test]
fn healed_partition_keeps_members_of_own_side_alive() {
    // Guards against instances losing sight of their own side when a partition between two failure
    // domains heals. After a long partition each half considers the other dead, and must not accept
    // the other half's death records about its own members without a probe.
    let mut net = Net::joined(8, MembershipConfig::default(), 7);
    net.run(SECOND * 3, |_, _, _| {});
    net.links.partition = vec![0, 0, 0, 0, 1, 1, 1, 1];
    net.run(SECOND * 20, |_, _, _| {});
    assert_eq!(states_at(&net, 0)[4..], [Some(Dead); 4]);
    net.links.partition.fill(0);
    net.run(SECOND * 15, |net, _, _| {
        assert_eq!(states_at(net, 0)[..4], [Some(Alive); 4]);
        assert_eq!(states_at(net, 5)[4..], [Some(Alive); 4]);
    });
    for at in 0..8 {
        assert_eq!(states_at(&net, at), [Some(Alive); 8]);
    }
}

#[test]
fn partition_longer_than_retention_heals_while_listed() {
    // Guards against a fleet staying split after a partition longer than the retention of dead
    // members, because a dead member is removed and never probed again. The platform's list is
    // known.
    let cfg = MembershipConfig {
        dead_retention: SECOND,
        ..MembershipConfig::default()
    };
    let mut net = Net::joined(4, cfg, 9);
    net.list_all(1);
    net.run(SECOND * 3, |_, _, _| {});
    net.links.partition = vec![0, 0, 1, 1];
    net.run(SECOND * 30, |_, _, _| {});
    assert_eq!(
        states_at(&net, 0)[2..],
        [None; 2],
        "dead members are hidden after the retention"
    );
    net.links.partition.fill(0);
    net.run(SECOND * 20, |_, _, _| {});
    assert_eq!(states_at(&net, 0), [Some(Alive); 4]);
}

#[test]
fn pause_declares_no_instance_dead() {
    // Guards against an instance that resumes after seconds of pause declaring all others dead,
    // because it acts on timers that expired while it could not read replies. It is paused with a
    // pending probe and a pending suspicion.
    let paused = MonoTime::from_millis(1);
    let mut machine = Membership::new(MembershipConfig::default(), member(0, 1), 1);
    machine.merge_records(paused, &[record(3, Alive, 0)]);
    assert_eq!(machine.tick(paused)[0].to, member(3, 1).fleet_address);
    machine.merge_records(paused, &[record(1, Suspect, 0)]);
    let resumed = paused.after(SECOND * 30);
    machine.resumed(resumed);
    let probes = machine.tick(resumed);
    assert_eq!(state_at(&machine, 1), Some(Suspect));
    assert_eq!(state_at(&machine, 3), Some(Alive));
    assert!(
        probes.iter().any(|o| o.to == member(1, 1).fleet_address),
        "the suspect is probed again"
    );
    let still_waiting = resumed.after(SECOND / 10);
    machine.tick(still_waiting);
    assert_eq!(state_at(&machine, 1), Some(Suspect));
}

#[test]
fn record_with_highest_precedence_wins() {
    // Guards against a live instance staying dead in the views of others, or a dead one coming
    // back, because an older record replaces a newer one. Records about one member arrive in any
    // order, repeated.
    let record_of = |incarnation, state, refutation| {
        let mut record = record(1, state, refutation);
        record.member.incarnation = Incarnation(incarnation);
        record
    };
    let cases = [
        (
            "suspicion replaces alive",
            vec![record_of(1, Alive, 0), record_of(1, Suspect, 0)],
            Suspect,
        ),
        (
            "alive does not replace suspicion",
            vec![record_of(1, Suspect, 0), record_of(1, Alive, 0)],
            Suspect,
        ),
        (
            "refutation replaces suspicion",
            vec![record_of(1, Suspect, 0), record_of(1, Alive, 1)],
            Alive,
        ),
        (
            "death replaces suspicion",
            vec![record_of(1, Suspect, 0), record_of(1, Dead, 0)],
            Dead,
        ),
        (
            "alive does not replace death",
            vec![record_of(1, Dead, 0), record_of(1, Alive, 0)],
            Dead,
        ),
        (
            "refutation replaces death",
            vec![record_of(1, Dead, 0), record_of(1, Alive, 1)],
            Alive,
        ),
        (
            "new incarnation replaces death",
            vec![record_of(1, Dead, 9), record_of(2, Alive, 0)],
            Alive,
        ),
        (
            "record of an old incarnation is ignored",
            vec![record_of(2, Alive, 0), record_of(1, Dead, 9)],
            Alive,
        ),
        (
            "death of a live member requires a probe",
            vec![record_of(1, Alive, 0), record_of(1, Dead, 0)],
            Alive,
        ),
        (
            "leaving replaces alive",
            vec![record_of(1, Alive, 0), record_of(1, Leaving, 1)],
            Leaving,
        ),
        (
            "suspected member is still leaving",
            vec![record_of(1, Leaving, 1), record_of(1, Suspect, 1)],
            Leaving,
        ),
        (
            "outdated alive does not replace leaving",
            vec![record_of(1, Leaving, 1), record_of(1, Alive, 0)],
            Leaving,
        ),
        (
            "new incarnation is not leaving",
            vec![record_of(1, Leaving, 1), record_of(2, Alive, 0)],
            Alive,
        ),
    ];
    for (name, records, expected) in cases {
        let mut machine = Membership::new(MembershipConfig::default(), member(0, 1), 1);
        for record in records.iter().flat_map(|record| [record, record]) {
            machine.handle(MonoTime(1), &announcement(2, vec![record.clone()]));
        }
        assert_eq!(state_at(&machine, 1), Some(expected), "{name}");
    }
}

#[test]
fn suspected_instance_refutes_immediately() {
    // Guards against a live instance being declared dead although it receives the suspicion,
    // because it does not raise its refutation number above the record's or does not announce it.
    // The record's number is as high as its own or higher.
    for (state, number) in [(Suspect, 0), (Dead, 0), (Dead, 7)] {
        let mut machine = pair().nodes.remove(0).membership;
        let out = machine.handle(
            MonoTime(1),
            &announcement(1, vec![record(0, state, number)]),
        );
        let refutation = out
            .iter()
            .find(|o| o.to == member(1, 1).fleet_address)
            .unwrap();
        assert!(refutation.message.from.refutation > number);
        assert_eq!(refutation.message.from.member.state, Alive);
    }
}

#[test]
fn suspicion_is_sent_to_its_subject() {
    // Guards against two instances communicating for minutes while one considers the other suspect
    // or dead, because the record is never sent to its subject.
    for state in [Suspect, Dead] {
        for kind in [
            MessageKind::Probe {
                nonce: 1,
                relayed_for: None,
            },
            MessageKind::Announcement,
        ] {
            let mut machine = Membership::new(MembershipConfig::default(), member(0, 1), 1);
            machine.merge_records(MonoTime(1), &[record(1, state, 0)]);
            let message = Message {
                kind,
                ..announcement(1, vec![])
            };
            let out = machine.handle(MonoTime(1), &message);
            assert!(out[0].message.changes.contains(&record(1, state, 0)));
        }
    }
}

#[test]
fn instance_list_adds_candidates_and_marks_leaving() {
    // Guards against dropping a live instance, or giving no work to a restarted one, because the
    // lagging platform list is taken as current. Lists omit a live member, report one as leaving,
    // lag behind its restart, and arrive out of order.
    let mut net = pair();
    let now = net.now;
    let machine = &mut net.nodes[0].membership;
    machine.apply_instance_list(now, &list(5, [(2, ListedState::Live)].into_iter()));
    assert_eq!(
        state_at(machine, 1),
        Some(Alive),
        "a member missing from the list stays alive"
    );
    let probed = machine.tick(now);
    assert!(
        probed.iter().any(|o| o.to == member(2, 1).fleet_address),
        "a listed unknown instance is probed"
    );
    let leaving = list(6, [(1, ListedState::Leaving)].into_iter());
    machine.apply_instance_list(now, &leaving);
    assert_eq!(state_at(machine, 1), Some(Leaving));
    machine.apply_instance_list(now, &list(5, [(1, ListedState::Live)].into_iter()));
    assert_eq!(
        state_at(machine, 1),
        Some(Leaving),
        "an older list is ignored"
    );
    let mut next_incarnation = record(1, Alive, 0);
    next_incarnation.member.incarnation = Incarnation(2);
    machine.merge_records(now, &[next_incarnation]);
    machine.apply_instance_list(now, &leaving);
    assert_eq!(
        state_at(machine, 1),
        Some(Alive),
        "the list refers to the previous incarnation"
    );
}

#[test]
fn superseded_process_learns_of_its_replacement() {
    // Guards against an instance that keeps running although all others ignore it, because a newer
    // incarnation of its identifier exists: its clock was set back before it started, or it was
    // replaced while paused. It learns this by probing an instance that knows the newer one.
    let mut old = Membership::new(MembershipConfig::default(), member(0, 1), 1);
    let mut other = Membership::new(MembershipConfig::default(), member(1, 1), 2);
    let mut replacement = record(0, Alive, 0);
    replacement.member.incarnation = Incarnation(2);
    other.merge_records(MonoTime(1), &[replacement]);
    old.merge_records(MonoTime(1), &other.records()[1..]);
    let probe = old.tick(MonoTime(1));
    let answer = other.handle(MonoTime(1), &probe[0].message);
    old.handle(MonoTime(1), &answer[0].message);
    assert_eq!(old.superseded_by(), Some(Incarnation(2)));
}
