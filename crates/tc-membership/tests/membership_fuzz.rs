//! Random faults on random fleets: what must hold at every step, and what all must agree on once the faults end.

mod support;

use std::{collections::BTreeMap, time::Duration};

use bolero::{TypeGenerator, generator::produce};
use support::{Net, id, list};
use tc_membership::{MembershipConfig, Message, Record};
use tc_protocol::{InstanceId, Member, MemberState, wire::ListedState};

const ITERATIONS: usize = 150;
const MOST_STEPS: usize = 24;
const QUIET: Duration = Duration::from_secs(25);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Run(u8),
    Cut(u8),
    Join,
    Crash(u8),
    Restart(u8),
    Pause(u8, u8),
    Leave(u8),
    Publish(u8),
    BadLinks(u8, u8, u8),
    FailedCall(u8, u8),
    Listed(u8),
}

/// What one node held when last looked at.
#[derive(Default)]
struct Seen {
    incarnation: u64,
    in_force: u64,
    records: BTreeMap<InstanceId, Record>,
}

/// Checks what must hold at every step.
struct Watch {
    seen: Vec<Seen>,
    max_changes: usize,
}

impl Watch {
    fn look(&mut self, net: &Net, index: usize, message: &Message) {
        assert!(
            message.changes.len() <= self.max_changes,
            "message is too large"
        );
        let node = &net.nodes[index];
        let seen = &mut self.seen[index];
        if node.incarnation != seen.incarnation {
            *seen = Seen {
                incarnation: node.incarnation,
                ..Seen::default()
            };
        }
        assert!(
            node.spread.active_revision() >= seen.in_force,
            "revision went back"
        );
        seen.in_force = node.spread.active_revision();
        for record in node.machine.records() {
            let id = record.member.id.clone();
            if let Some(before) = seen.records.insert(id, record.clone()) {
                check_succession(&before, &record);
            }
        }
    }
}

fn check_succession(before: &Record, after: &Record) {
    let life = |r: &Record| (r.member.incarnation, r.refutation);
    assert!(
        life(after) >= life(before),
        "old life or refutation came back: {before:?} {after:?}"
    );
    if before.member.incarnation == after.member.incarnation {
        assert!(
            after.revision >= before.revision,
            "known revision went back"
        );
    }
    let revived =
        before.member.state == MemberState::Dead && after.member.state != MemberState::Dead;
    assert!(
        !revived || life(after) > life(before),
        "revived without reason: {before:?} {after:?}"
    );
}

fn take(net: &mut Net, watch: &mut Watch, step: Step, revision: &mut u64) {
    let count = net.nodes.len();
    let at = |n: u8| usize::from(n) % count;
    let all_listed = |n| list(n, (0..count).map(|i| (i, ListedState::Live)));
    match step {
        Step::Run(time) => {
            net.run(Duration::from_millis(u64::from(time) * 20), |net, i, m| {
                watch.look(net, i, m);
            });
        }
        Step::Cut(sides) => net.links.side = (0..count).map(|i| sides >> (i % 8) & 1).collect(),
        Step::Join => net.links.side = vec![0; count],
        Step::Crash(n) => net.crash(at(n)),
        Step::Restart(n) => net.restart(at(n), &all_listed(1)),
        Step::Pause(n, time) => net.pause(at(n), Duration::from_millis(u64::from(time) * 20)),
        Step::Leave(n) => net.leave(at(n)),
        Step::Publish(n) => {
            *revision += 1;
            net.publish(at(n), *revision);
        }
        Step::BadLinks(loss, repeat, delay) => {
            net.links.loss = f64::from(loss) / 512.0;
            net.links.repeat = f64::from(repeat) / 512.0;
            net.links.longest_delay = Duration::from_millis(1 + u64::from(delay));
        }
        Step::FailedCall(n, other) => {
            let now = net.now;
            net.nodes[at(n)]
                .machine
                .report_failed_call(now, &id(at(other)));
        }
        Step::Listed(n) => {
            let now = net.now;
            net.nodes[at(n)]
                .machine
                .apply_instance_list(now, &all_listed(1));
        }
    }
}

/// Faults end; all that run must come to hold the truth.
fn settle(net: &mut Net, watch: &mut Watch) {
    net.links.side.fill(0);
    net.links.loss = 0.0;
    net.links.repeat = 0.0;
    net.links.longest_delay = Duration::from_millis(2);
    net.run(QUIET, |net, i, m| watch.look(net, i, m));
    let truth: Vec<Member> = (0..net.nodes.len()).map(|i| true_member(net, i)).collect();
    let running: Vec<_> = net.nodes.iter().filter(|n| n.up).collect();
    let newest = running
        .iter()
        .map(|n| n.spread.active_revision())
        .max()
        .unwrap_or_default();
    for node in running {
        assert_eq!(live(&node.machine.members()), live(&truth));
        assert_eq!(
            node.spread.active_revision(),
            newest,
            "a revision is not in force everywhere"
        );
        assert_eq!(node.machine.lowest_revision(), newest);
        assert_eq!(node.machine.newest_revision(), (newest, None));
    }
}

fn true_member(net: &Net, index: usize) -> Member {
    let node = &net.nodes[index];
    let mut member = support::member(index, node.incarnation);
    member.state = match (node.up, node.left) {
        (false, _) => MemberState::Dead,
        (true, true) => MemberState::Leaving,
        (true, false) => MemberState::Alive,
    };
    member
}

/// Incarnation and state of the members that are not dead.
fn live(members: &[Member]) -> Vec<(InstanceId, u64, MemberState)> {
    let live = members.iter().filter(|m| m.state != MemberState::Dead);
    live.map(|m| (m.id.clone(), m.incarnation.0, m.state))
        .collect()
}

#[test]
fn agrees_once_faults_end() {
    tc_fuzz::check(
        ITERATIONS,
        produce::<(u64, u8, [Step; MOST_STEPS])>(),
        |(seed, size, steps)| {
            let count = 3 + usize::from(size % 6);
            let cfg = MembershipConfig {
                dead_retention: Duration::from_mins(10),
                ..MembershipConfig::default()
            };
            let mut watch = Watch {
                seen: (0..count).map(|_| Seen::default()).collect(),
                max_changes: cfg.max_changes,
            };
            let mut net = Net::new(count, cfg, *seed);
            net.list_all(1);
            let mut revision = 0;
            for step in steps {
                take(&mut net, &mut watch, *step, &mut revision);
            }
            settle(&mut net, &mut watch);
        },
    );
}
