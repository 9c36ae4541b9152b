//! Membership on the control thread: datagrams and timers go through one actor, which publishes the list of members.

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use prost::Message as _;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tc_membership::{Membership, MembershipConfig, Outgoing, Record};
use tc_protocol::{InstanceId, Member, MemberState, MonoTime};
use tokio::sync::{oneshot, watch};

use super::{limits::UpstreamLimits, peers::Peers};
use crate::{
    convert, generated::Datagram, gossip::GossipSocket, suspects::SUSPECTS_PER_DATAGRAM,
    suspects::SuspectTable,
};

/// Shortest wait between two ticks, so that a timer that is always due cannot keep the thread busy.
const LEAST_TICK: Duration = Duration::from_millis(10);

/// A datagram up to this many bytes has room for limits beside its news of members.
const ROOMY_DATAGRAM: usize = 1_000;

/// What another instance says when it compares its list of members with this one's.
pub(crate) struct Introduced {
    pub(super) other: Record,
    /// Digest of its list; 0 when it wants all.
    pub(super) view: u64,
    pub(super) known: HashSet<u32>,
    /// It wants to be known, and no list.
    pub(super) only_announces: bool,
}

/// What can be told to the actor.
pub(crate) enum MeshMsg {
    Datagram(Box<Datagram>),
    /// Records of an introduction; answered with whether anything of them was news.
    Learn(Vec<Record>, oneshot::Sender<bool>),
    /// Another instance tells of itself and of its view, and wants to know what it lacks; answered with nothing when both
    /// views are the same.
    Introduced(Box<Introduced>, oneshot::Sender<Option<Vec<Record>>>),
    /// Short hashes of the members that are known here.
    Known(oneshot::Sender<Vec<u32>>),
    /// A call to it failed: connect to it anew, and probe it next.
    Doubt(InstanceId),
    /// It did not answer a call in time: probe it next.
    Probe(InstanceId),
    /// Tell every instance of suspects now.
    SpreadSuspects,
    /// This process was absent for a while.
    Woke,
    Leave,
    Tick,
}

/// What other threads read.
pub(super) struct Published {
    pub(super) members: ArcSwap<Vec<Member>>,
    /// Digest of the members that are not dead.
    pub(super) view: AtomicU64,
    /// Counts changes of the members.
    pub(super) changes: watch::Sender<u64>,
}

pub(super) struct MeshArgs {
    pub(super) me: Member,
    pub(super) timing: MembershipConfig,
    pub(super) socket: GossipSocket,
    pub(super) peers: Arc<Peers>,
    pub(super) published: Arc<Published>,
    pub(super) suspects: Arc<SuspectTable>,
    pub(super) limits: Arc<UpstreamLimits>,
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
            MeshMsg::Learn(records, reply) => {
                let news = self.membership.merge_records(now, &records);
                self.tick(now);
                // Fails only when nobody waits for it any more.
                let _ = reply.send(news);
            }
            MeshMsg::Introduced(introduced, reply) => {
                let Introduced {
                    other,
                    view,
                    known,
                    only_announces,
                } = *introduced;
                self.membership.merge_records(now, &[other]);
                let differs = !only_announces && self.membership.view_digest() != view;
                let lacking = differs.then(|| self.membership.missing_records(&known));
                // Fails only when the other has given up.
                let _ = reply.send(lacking);
            }
            MeshMsg::Known(reply) => {
                // Fails only when nobody waits for it any more.
                let _ = reply.send(self.membership.member_hashes());
            }
            MeshMsg::Doubt(id) => {
                self.args.peers.forget(&id);
                self.membership.report_failed_call(now, &id);
                self.tick(now);
            }
            MeshMsg::Probe(id) => {
                self.membership.report_failed_call(now, &id);
                self.tick(now);
            }
            MeshMsg::SpreadSuspects => {
                let outgoing = self.membership.announce_to_all();
                self.send(outgoing);
            }
            MeshMsg::Woke => {
                // What it knew before may be wrong by now: others may have taken it for dead.
                self.membership.resumed(now);
                self.tick(now);
            }
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
        self.args.suspects.note_gossiped(now, &datagram.suspects);
        self.args.limits.receive(&datagram.limits);
        let outgoing = self.membership.handle(now, &message);
        self.send(outgoing);
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
            if datagram.encoded_len() <= ROOMY_DATAGRAM {
                datagram.limits = self.args.limits.to_gossip();
            }
            self.args.socket.send(out.to, &datagram);
        }
    }

    fn publish(&mut self) {
        if !self.membership.take_changed() {
            return;
        }
        let published = &self.args.published;
        let members = self.membership.members();
        note_changes(&published.members.load(), &members);
        published.members.store(Arc::new(members));
        let view = self.membership.view_digest();
        published.view.store(view, Ordering::Release);
        published.changes.send_modify(|count| *count += 1);
    }
}

/// One log line for each member whose state is another than before.
///
/// Both lists are in order of identifier and are walked once together: looked up one by one, the members of a fleet of
/// hundreds cost half a millisecond a change, and a failure domain that is lost brings hundreds of changes.
fn note_changes(before: &[Member], after: &[Member]) {
    let mut before = before.iter().peekable();
    for member in after {
        while before.next_if(|known| known.id < member.id).is_some() {}
        let known = before.next_if(|known| known.id == member.id);
        if known.map(|known| known.state) != Some(member.state) {
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
