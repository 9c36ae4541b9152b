//! Membership on the control thread: datagrams and timers go through one actor, which publishes the list of members.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tc_membership::{Membership, MembershipConfig, Outgoing, Record};
use tc_protocol::{InstanceId, Member, MemberState, MonoTime};
use tokio::sync::{oneshot, watch};

use super::peers::Peers;
use crate::{
    convert, generated::Datagram, gossip::GossipSocket, suspects::SUSPECTS_PER_DATAGRAM,
    suspects::SuspectTable,
};

/// Shortest wait between two ticks, so that a timer that is always due cannot keep the thread busy.
const LEAST_TICK: Duration = Duration::from_millis(10);

/// What can be told to the actor.
pub(crate) enum MeshMsg {
    Datagram(Box<Datagram>),
    /// Records of an introduction.
    Learn(Vec<Record>),
    /// A newcomer introduced itself and wants to know who there is.
    Introduced(Box<Record>, oneshot::Sender<Vec<Record>>),
    /// A call to it failed: probe it next.
    Doubt(InstanceId),
    /// Tell every instance of suspects now.
    SpreadSuspects,
    /// This process was absent for a while.
    Woke,
    /// The revision of the store that this instance has seen.
    Revision(u64),
    Leave,
    Tick,
}

/// What other threads read.
pub(super) struct Published {
    pub(super) members: ArcSwap<Vec<Member>>,
    /// The newest revision heard of, and who has it when this instance does not.
    pub(super) newest: ArcSwap<(u64, Option<InstanceId>)>,
    /// Counts changes of the two above.
    pub(super) changes: watch::Sender<u64>,
}

pub(super) struct MeshArgs {
    pub(super) me: Member,
    pub(super) timing: MembershipConfig,
    pub(super) socket: GossipSocket,
    pub(super) peers: Arc<Peers>,
    pub(super) published: Arc<Published>,
    pub(super) suspects: Arc<SuspectTable>,
}

pub(super) struct MeshState {
    membership: Membership,
    args: MeshArgs,
}

/// The actor; its state is [`MeshState`].
pub(super) struct MeshActor;

impl Actor for MeshActor {
    type Msg = MeshMsg;
    type State = MeshState;
    type Arguments = MeshArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<MeshMsg>,
        args: MeshArgs,
    ) -> Result<MeshState, ActorProcessingErr> {
        myself.send_after(LEAST_TICK, || MeshMsg::Tick);
        let membership = Membership::new(args.timing.clone(), args.me.clone(), rand::random());
        let mut state = MeshState { membership, args };
        state.publish();
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<MeshMsg>,
        message: MeshMsg,
        state: &mut MeshState,
    ) -> Result<(), ActorProcessingErr> {
        let now = MonoTime::now();
        state.take(now, message, &myself);
        state.publish();
        Ok(())
    }
}

impl MeshState {
    fn take(&mut self, now: MonoTime, message: MeshMsg, myself: &ActorRef<MeshMsg>) {
        match message {
            MeshMsg::Datagram(datagram) => self.datagram(now, &datagram),
            MeshMsg::Learn(records) => self.learn(now, &records),
            MeshMsg::Introduced(newcomer, reply) => {
                self.membership.learn(now, &[*newcomer]);
                // Fails only when the newcomer has given up.
                let _ = reply.send(self.membership.records());
            }
            MeshMsg::Doubt(id) => {
                self.args.peers.forget(&id);
                self.membership.suspect(now, &id);
                self.tick(now);
            }
            MeshMsg::SpreadSuspects => {
                let outgoing = self.membership.announce_to_all();
                self.send(outgoing);
            }
            MeshMsg::Woke => {
                // What it knew before may be wrong by now: others may have taken it for dead.
                self.membership.woke(now);
                self.tick(now);
            }
            MeshMsg::Revision(revision) => self.membership.set_revision(revision),
            MeshMsg::Leave => {
                let outgoing = self.membership.leave();
                self.send(outgoing);
            }
            MeshMsg::Tick => {
                self.tick(now);
                let wait = self.membership.next_wake().since(MonoTime::now());
                myself.send_after(wait.max(LEAST_TICK), || MeshMsg::Tick);
            }
        }
    }

    fn datagram(&mut self, now: MonoTime, datagram: &Datagram) {
        let Some(message) = convert::message_from_wire(datagram) else {
            metrics::counter!("tc_gossip_refused_total").increment(1);
            return;
        };
        self.args.suspects.heard(now, &datagram.suspects);
        let outgoing = self.membership.handle(now, &message);
        self.send(outgoing);
    }

    fn learn(&mut self, now: MonoTime, records: &[Record]) {
        self.membership.learn(now, records);
        self.tick(now);
    }

    fn tick(&mut self, now: MonoTime) {
        let outgoing = self.membership.tick(now);
        self.send(outgoing);
    }

    fn send(&self, outgoing: Vec<Outgoing>) {
        for out in outgoing {
            let mut datagram = convert::message_to_wire(&out.message);
            datagram.suspects = self
                .args
                .suspects
                .to_gossip(MonoTime::now(), SUSPECTS_PER_DATAGRAM);
            self.args.socket.send(out.to, &datagram);
        }
    }

    fn publish(&mut self) {
        let newest = self.membership.newest_revision();
        let published = &self.args.published;
        let news = **published.newest.load() != newest;
        if news {
            published.newest.store(Arc::new(newest));
        }
        let members_changed = self.membership.take_changed();
        if members_changed {
            let members = self.membership.members();
            note_changes(&published.members.load(), &members);
            published.members.store(Arc::new(members));
        }
        if news || members_changed {
            published.changes.send_modify(|count| *count += 1);
        }
    }
}

/// One log line for each member whose state is another than before.
fn note_changes(before: &[Member], after: &[Member]) {
    let state_in = |members: &[Member], id: &InstanceId| -> Option<MemberState> {
        members.iter().find(|m| m.id == *id).map(|m| m.state)
    };
    for member in after {
        if state_in(before, &member.id) != Some(member.state) {
            log::info!(
                instance = member.id.as_str(),
                state = format!("{:?}", member.state).as_str(),
                incarnation = member.incarnation.0;
                "state of an instance changed"
            );
        }
    }
}

/// Addresses of members other than `me` that may answer.
pub(super) fn others(members: &[Member], me: &InstanceId) -> Vec<SocketAddr> {
    members
        .iter()
        .filter(|m| m.id != *me && m.state != MemberState::Dead)
        .map(|m| m.fleet_address)
        .collect()
}
