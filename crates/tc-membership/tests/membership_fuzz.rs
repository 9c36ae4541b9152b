//! Random faults on random fleets: checks invariants at every step, and agreement once the faults
//! end.

mod support;

use std::{collections::BTreeMap, time::Duration};

use bolero::{TypeGenerator, generator::produce};
use support::{Net, id, list};
use tc_membership::{MembershipConfig, Message, Record};
use tc_protocol::{InstanceId, Member, MemberState, wire::ListedState};

const ITERATIONS: usize = 150;
const MAX_STEPS: usize = 24;
const CONVERGENCE_TIME: Duration = Duration::from_secs(25);

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Step {
    Run(u8),
    Partition(u8),
    Heal,
    Crash(u8),
    Restart(u8),
    Pause(u8, u8),
    Leave(u8),
    Publish(u8),
    BadLinks(u8, u8, u8),
    FailedCall(u8, u8),
    Listed(u8),
}

/// State of one node at the last check.
#[derive(Default)]
struct NodeSnapshot {
    incarnation: u64,
    active_revision: u64,
    records: BTreeMap<InstanceId, Record>,
}

/// Checks the invariants that hold at every step.
struct InvariantChecker {
    snapshots: Vec<NodeSnapshot>,
    max_changes: usize,
}

impl InvariantChecker {
    fn check(&mut self, net: &Net, index: usize, message: &Message) {
        assert!(
            message.changes.len() <= self.max_changes,
            "message is too large"
        );
        let node = &net.nodes[index];
        let snapshot = &mut self.snapshots[index];
        if node.incarnation != snapshot.incarnation {
            *snapshot = NodeSnapshot {
                incarnation: node.incarnation,
                ..NodeSnapshot::default()
            };
        }
        assert!(
            node.puller.active_revision() >= snapshot.active_revision,
            "active revision went back"
        );
        snapshot.active_revision = node.puller.active_revision();
        for record in node.membership.records() {
            let id = record.member.id.clone();
            if let Some(before) = snapshot.records.insert(id, record.clone()) {
                check_succession(&before, &record);
            }
        }
    }
}

fn check_succession(before: &Record, after: &Record) {
    let version = |r: &Record| (r.member.incarnation, r.refutation);
    assert!(
        version(after) >= version(before),
        "incarnation or refutation went back: {before:?} {after:?}"
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
        !revived || version(after) > version(before),
        "dead member revived without a newer record: {before:?} {after:?}"
    );
}

fn apply_step(net: &mut Net, checker: &mut InvariantChecker, step: Step, revision: &mut u64) {
    let count = net.nodes.len();
    let at = |n: u8| usize::from(n) % count;
    let all_listed = |n| list(n, (0..count).map(|i| (i, ListedState::Live)));
    match step {
        Step::Run(time) => {
            net.run(Duration::from_millis(u64::from(time) * 20), |net, i, m| {
                checker.check(net, i, m);
            });
        }
        Step::Partition(groups) => {
            net.links.partition = (0..count).map(|i| groups >> (i % 8) & 1).collect();
        }
        Step::Heal => net.links.partition = vec![0; count],
        Step::Crash(n) => net.crash(at(n)),
        Step::Restart(n) => net.restart(at(n), &all_listed(1)),
        Step::Pause(n, time) => net.pause(at(n), Duration::from_millis(u64::from(time) * 20)),
        Step::Leave(n) => net.leave(at(n)),
        Step::Publish(n) => {
            *revision += 1;
            net.publish(at(n), *revision);
        }
        Step::BadLinks(loss, duplicate, delay) => {
            net.links.loss = f64::from(loss) / 512.0;
            net.links.duplicate = f64::from(duplicate) / 512.0;
            net.links.max_delay = Duration::from_millis(1 + u64::from(delay));
        }
        Step::FailedCall(n, other) => {
            let now = net.now;
            net.nodes[at(n)]
                .membership
                .report_failed_call(now, &id(at(other)));
        }
        Step::Listed(n) => {
            let now = net.now;
            net.nodes[at(n)]
                .membership
                .apply_instance_list(now, &all_listed(1));
        }
    }
}

/// Ends all faults and checks that the running nodes converge on the actual state.
fn check_convergence(net: &mut Net, checker: &mut InvariantChecker) {
    net.links.partition.fill(0);
    net.links.loss = 0.0;
    net.links.duplicate = 0.0;
    net.links.max_delay = Duration::from_millis(2);
    net.run(CONVERGENCE_TIME, |net, i, m| checker.check(net, i, m));
    let expected: Vec<Member> = (0..net.nodes.len())
        .map(|i| expected_member(net, i))
        .collect();
    let running: Vec<_> = net.nodes.iter().filter(|n| n.up).collect();
    let newest = running
        .iter()
        .map(|n| n.puller.active_revision())
        .max()
        .unwrap_or_default();
    for node in running {
        assert_eq!(live(&node.membership.members()), live(&expected));
        assert_eq!(
            node.puller.active_revision(),
            newest,
            "a revision is not active everywhere"
        );
        assert_eq!(node.membership.lowest_revision(), newest);
        assert_eq!(node.membership.newest_revision(), (newest, None));
    }
}

fn expected_member(net: &Net, index: usize) -> Member {
    let node = &net.nodes[index];
    let mut member = support::member(index, node.incarnation);
    member.state = match (node.up, node.left) {
        (false, _) => MemberState::Dead,
        (true, true) => MemberState::Leaving,
        (true, false) => MemberState::Alive,
    };
    member
}

/// Returns the incarnation and state of the members that are not dead.
fn live(members: &[Member]) -> Vec<(InstanceId, u64, MemberState)> {
    let live = members.iter().filter(|m| m.state != MemberState::Dead);
    live.map(|m| (m.id.clone(), m.incarnation.0, m.state))
        .collect()
}

#[test]
fn agrees_once_faults_end() {
    tc_fuzz::check(
        ITERATIONS,
        produce::<(u64, u8, [Step; MAX_STEPS])>(),
        |(seed, size, steps)| {
            let count = 3 + usize::from(size % 6);
            let cfg = MembershipConfig {
                dead_retention: Duration::from_mins(10),
                ..MembershipConfig::default()
            };
            let mut checker = InvariantChecker {
                snapshots: (0..count).map(|_| NodeSnapshot::default()).collect(),
                max_changes: cfg.max_changes,
            };
            let mut net = Net::new(count, cfg, *seed);
            net.list_all(1);
            let mut revision = 0;
            for step in steps {
                apply_step(&mut net, &mut checker, *step, &mut revision);
            }
            check_convergence(&mut net, &mut checker);
        },
    );
}
