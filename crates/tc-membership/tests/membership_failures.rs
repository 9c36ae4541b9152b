//! Single failures of the fleet, each with what instances must then hold.

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
        .map(|i| state_at(&net.nodes[at].machine, i))
        .collect()
}

/// Two instances that know each other and have just probed each other.
fn pair() -> Net {
    let mut net = Net::joined(2, MembershipConfig::default(), 1);
    net.run(SECOND, |_, _, _| {});
    net
}

#[test]
fn crash_is_known_by_all_within_two_seconds() {
    // Symptom: callers are sent to an instance that is gone.
    // Sequence: one of eight instances crashes, under each of twenty seeds.
    // Cause: no probe happens to reach it soon, or the news takes too long.
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
fn joined_again_after_a_cut_without_losing_own_side() {
    // Symptom: when the network between two failure domains is mended, instances lose sight of their own side too.
    // Sequence: cut for long, each half calls the other dead; the cut ends.
    // Cause: the other half's claims that this half's members are dead are believed without a probe.
    let mut net = Net::joined(8, MembershipConfig::default(), 7);
    net.run(SECOND * 3, |_, _, _| {});
    net.links.side = vec![0, 0, 0, 0, 1, 1, 1, 1];
    net.run(SECOND * 20, |_, _, _| {});
    assert_eq!(states_at(&net, 0)[4..], [Some(Dead); 4]);
    net.links.side.fill(0);
    net.run(SECOND * 15, |net, _, _| {
        assert_eq!(states_at(net, 0)[..4], [Some(Alive); 4]);
        assert_eq!(states_at(net, 5)[4..], [Some(Alive); 4]);
    });
    for at in 0..8 {
        assert_eq!(states_at(&net, at), [Some(Alive); 8]);
    }
}

#[test]
fn cut_longer_than_retention_heals_while_listed() {
    // Symptom: after a long cut, the fleet stays in two halves for good.
    // Sequence: cut for longer than dead members are remembered, with the platform's list known.
    // Cause: a dead member is forgotten and never probed again.
    let cfg = MembershipConfig {
        dead_retention: SECOND,
        ..MembershipConfig::default()
    };
    let mut net = Net::joined(4, cfg, 9);
    net.list_all(1);
    net.run(SECOND * 3, |_, _, _| {});
    net.links.side = vec![0, 0, 1, 1];
    net.run(SECOND * 30, |_, _, _| {});
    assert_eq!(
        states_at(&net, 0)[2..],
        [None; 2],
        "dead ones are left out after retention"
    );
    net.links.side.fill(0);
    net.run(SECOND * 20, |_, _, _| {});
    assert_eq!(states_at(&net, 0), [Some(Alive); 4]);
}

#[test]
fn pause_calls_nobody_dead() {
    // Symptom: one instance stalls for seconds and, waking up, sees no other instance alive.
    // Sequence: paused with a probe under way and a suspicion held; woken; timers run.
    // Cause: timers that ran out during the pause are acted on, though answers could not be read.
    let paused = MonoTime::from_millis(1);
    let mut machine = Membership::new(MembershipConfig::default(), member(0, 1), 1);
    machine.merge_records(paused, &[record(3, Alive, 0)]);
    assert_eq!(machine.tick(paused)[0].to, member(3, 1).fleet_address);
    machine.merge_records(paused, &[record(1, Suspect, 0)]);
    let awake = paused.after(SECOND * 30);
    machine.resumed(awake);
    let probes = machine.tick(awake);
    assert_eq!(state_at(&machine, 1), Some(Suspect));
    assert_eq!(state_at(&machine, 3), Some(Alive));
    assert!(
        probes.iter().any(|o| o.to == member(1, 1).fleet_address),
        "the suspect is probed afresh"
    );
    let still_waiting = awake.after(SECOND / 10);
    machine.tick(still_waiting);
    assert_eq!(state_at(&machine, 1), Some(Suspect));
}

#[test]
fn claims_about_a_member_hold_by_precedence() {
    // Symptom: an instance that lives stays dead in the views of others, or a dead one comes back.
    // Sequence: claims about one member arrive in any order, repeated.
    // Cause: an older claim is allowed to replace a newer one.
    let life = |incarnation, state, refutation| {
        let mut record = record(1, state, refutation);
        record.member.incarnation = Incarnation(incarnation);
        record
    };
    let cases = [
        (
            "suspicion beats alive",
            vec![life(1, Alive, 0), life(1, Suspect, 0)],
            Suspect,
        ),
        (
            "alive does not beat suspicion",
            vec![life(1, Suspect, 0), life(1, Alive, 0)],
            Suspect,
        ),
        (
            "a refutation does",
            vec![life(1, Suspect, 0), life(1, Alive, 1)],
            Alive,
        ),
        (
            "death ends a suspicion",
            vec![life(1, Suspect, 0), life(1, Dead, 0)],
            Dead,
        ),
        (
            "alive does not revive",
            vec![life(1, Dead, 0), life(1, Alive, 0)],
            Dead,
        ),
        (
            "a refutation revives",
            vec![life(1, Dead, 0), life(1, Alive, 1)],
            Alive,
        ),
        (
            "a restart revives",
            vec![life(1, Dead, 9), life(2, Alive, 0)],
            Alive,
        ),
        (
            "an old life is over",
            vec![life(2, Alive, 0), life(1, Dead, 9)],
            Alive,
        ),
        (
            "death of a live one needs a probe",
            vec![life(1, Alive, 0), life(1, Dead, 0)],
            Alive,
        ),
        (
            "leaving beats alive",
            vec![life(1, Alive, 0), life(1, Leaving, 1)],
            Leaving,
        ),
        (
            "a leaving suspect still leaves",
            vec![life(1, Leaving, 1), life(1, Suspect, 1)],
            Leaving,
        ),
        (
            "a leaving one is not back",
            vec![life(1, Leaving, 1), life(1, Alive, 0)],
            Leaving,
        ),
        (
            "its next life is not leaving",
            vec![life(1, Leaving, 1), life(2, Alive, 0)],
            Alive,
        ),
    ];
    for (name, claims, expected) in cases {
        let mut machine = Membership::new(MembershipConfig::default(), member(0, 1), 1);
        for claim in claims.iter().flat_map(|claim| [claim, claim]) {
            machine.handle(MonoTime(1), &announcement(2, vec![claim.clone()]));
        }
        assert_eq!(state_at(&machine, 1), Some(expected), "{name}");
    }
}

#[test]
fn accused_refutes_at_once() {
    // Symptom: an instance that lives is taken for dead though it hears the accusation.
    // Sequence: it is told that it is suspected, or dead, under a number as high as its own or higher.
    // Cause: it does not raise its number above the accusation's, or keeps it to itself.
    for (state, number) in [(Suspect, 0), (Dead, 0), (Dead, 7)] {
        let mut machine = pair().nodes.remove(0).machine;
        let out = machine.handle(
            MonoTime(1),
            &announcement(1, vec![record(0, state, number)]),
        );
        let told = out
            .iter()
            .find(|o| o.to == member(1, 1).fleet_address)
            .unwrap();
        assert!(told.message.from.refutation > number);
        assert_eq!(told.message.from.member.state, Alive);
    }
}

#[test]
fn accused_is_told_by_whoever_hears_from_it() {
    // Symptom: two instances talk to each other for minutes while one holds the other dead.
    // Sequence: one holds the other suspect or dead; the other, not knowing, sends it any message.
    // Cause: the accusation is never sent to the accused.
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
fn list_says_who_may_exist_and_who_leaves() {
    // Symptom: a live instance is dropped, or a restarted one gets no work, because the platform's list lags.
    // Sequence: lists arrive that miss a live member, call one leaving, lag behind its restart, or are out of order.
    // Cause: the list is taken for the truth of the moment.
    let mut net = pair();
    let now = net.now;
    let machine = &mut net.nodes[0].machine;
    machine.apply_instance_list(now, &list(5, [(2, ListedState::Live)].into_iter()));
    assert_eq!(state_at(machine, 1), Some(Alive), "absence kills nobody");
    let probed = machine.tick(now);
    assert!(
        probed.iter().any(|o| o.to == member(2, 1).fleet_address),
        "a listed stranger is probed"
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
    let mut next_life = record(1, Alive, 0);
    next_life.member.incarnation = Incarnation(2);
    machine.merge_records(now, &[next_life]);
    machine.apply_instance_list(now, &leaving);
    assert_eq!(
        state_at(machine, 1),
        Some(Alive),
        "the word was about its predecessor"
    );
}

#[test]
fn second_process_under_one_identifier_is_told() {
    // Symptom: an instance serves, but nobody sends it anything.
    // Sequence: a later life of its identifier exists; it probes an instance that knows that.
    // Cause: its clock went back before it started, or it was replaced while it was paused.
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
