//! The membership actor of the mesh. It runs on the control thread, handles datagrams and timers, and publishes the
//! member list.

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

use super::{
    gossiped_world::{add_world, world_from_wire},
    home_table::HomeTable,
    limits::UpstreamLimits,
    peers::Peers,
    store_update::WorldHave,
};
use crate::{convert, generated::Datagram, gossip::GossipSocket, suspects::SuspectTable};

/// Minimum interval between two ticks, so that a timer that is always due does not keep the thread busy.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum size of a datagram, in bytes, that rate limits are added to. Larger ones have no room left for them.
const MAX_BYTES_BEFORE_LIMITS: usize = 1_000;

/// Introduction of another instance, which compares its member list with this one's.
pub(crate) struct Introduced {
    pub(super) other: Record,
    /// Digest of its member list, or 0 to request all members.
    pub(super) view_digest: u64,
    pub(super) known: HashSet<u32>,
    /// Whether it only announces itself and requests no records.
    pub(super) only_announces: bool,
}

/// Messages to [`MeshActor`].
pub(crate) enum MeshMsg {
    Datagram(Box<Datagram>),
    /// Records received in reply to an introduction. The reply tells whether they changed the member list.
    MergeRecords(Vec<Record>, oneshot::Sender<bool>),
    /// An introduction by another instance. The reply has the records that it is missing, or `None` if both instances
    /// have the same members or it only announces itself.
    Introduced(Box<Introduced>, oneshot::Sender<Option<Vec<Record>>>),
    /// Requests the short hashes of the known members.
    MemberHashes(oneshot::Sender<Vec<u32>>),
    /// A call to the instance failed: reconnect and probe it next.
    CallFailed(InstanceId),
    /// A call to the instance timed out: probe it next.
    CallTimedOut(InstanceId),
    /// Sends the reported suspects to every instance now.
    AnnounceToAll,
    /// This process was paused and has resumed.
    Resumed,
    Leave,
    /// Whether this instance reaches no upstream of some service.
    Isolated(bool),
    Tick,
}

/// A state of the store that another instance gossiped and that is newer than this one's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewerWorld {
    /// The state.
    pub have: WorldHave,
    /// The instance that has it.
    pub holder: InstanceId,
}

/// State published to other threads.
pub(super) struct Published {
    pub(super) members: ArcSwap<Vec<Member>>,
    pub(super) homes: HomeTable,
    /// Digest of the members that are not dead.
    pub(super) view_digest: AtomicU64,
    /// Counter of changes of the member list and of the services.
    pub(super) changes: watch::Sender<u64>,
    /// State of the store that this instance has.
    pub(super) world: watch::Sender<WorldHave>,
    pub(super) newer_world: watch::Sender<Option<NewerWorld>>,
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

/// The membership actor; its state is [`MeshState`].
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
        myself.send_after(MIN_TICK_INTERVAL, || MeshMsg::Tick);
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
        state.handle_message(now, message, &myself);
        state.publish();
        Ok(())
    }
}

impl MeshState {
    fn handle_message(&mut self, now: MonoTime, message: MeshMsg, myself: &ActorRef<MeshMsg>) {
        match message {
            MeshMsg::Datagram(datagram) => self.handle_datagram(now, &datagram),
            MeshMsg::MergeRecords(records, reply) => {
                let changed = self.membership.merge_records(now, &records);
                self.tick(now);
                // Fails only if the requester has stopped waiting.
                let _ = reply.send(changed);
            }
            MeshMsg::Introduced(introduced, reply) => {
                let Introduced {
                    other,
                    view_digest,
                    known,
                    only_announces,
                } = *introduced;
                self.membership.merge_records(now, &[other]);
                let is_different = !only_announces && self.membership.view_digest() != view_digest;
                let missing = is_different.then(|| self.membership.missing_records(&known));
                // Fails only if the other instance has cancelled its call.
                let _ = reply.send(missing);
            }
            MeshMsg::MemberHashes(reply) => {
                // Fails only if the requester has stopped waiting.
                let _ = reply.send(self.membership.member_hashes());
            }
            MeshMsg::CallFailed(id) => {
                self.args.peers.remove(&id);
                self.membership.report_failed_call(now, &id);
                self.tick(now);
            }
            MeshMsg::CallTimedOut(id) => {
                self.membership.report_failed_call(now, &id);
                self.tick(now);
            }
            MeshMsg::AnnounceToAll => {
                let outgoing = self.membership.announce_to_all();
                self.send(outgoing);
            }
            MeshMsg::Resumed => {
                // State from before the pause may be outdated: others may have declared this instance dead.
                self.membership.resumed(now);
                self.tick(now);
            }
            MeshMsg::Leave => {
                let outgoing = self.membership.leave();
                self.send(outgoing);
            }
            MeshMsg::Isolated(is_isolated) => {
                let outgoing = self.membership.set_isolated(is_isolated);
                self.send(outgoing);
            }
            MeshMsg::Tick => {
                self.tick(now);
                let wait = self.membership.next_wake().since(MonoTime::now());
                myself.send_after(wait.max(MIN_TICK_INTERVAL), || MeshMsg::Tick);
            }
        }
    }

    fn handle_datagram(&mut self, now: MonoTime, datagram: &Datagram) {
        let Some(message) = convert::message_from_wire(datagram) else {
            metrics::counter!("tc_gossip_refused_total").increment(1);
            return;
        };
        self.args.suspects.receive_evidence(now, &datagram.evidence);
        self.args.limits.receive(&datagram.limits);
        let published = &self.args.published;
        let gossiped = world_from_wire(datagram);
        if gossiped.is_newer_than(&published.world.borrow()) {
            published.newer_world.send_replace(Some(NewerWorld {
                have: gossiped,
                holder: message.from.member.id.clone(),
            }));
        }
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
            add_world(&mut datagram, &self.args.published.world.borrow());
            let now = MonoTime::now();
            self.args.suspects.add_evidence(now, &mut datagram);
            if datagram.encoded_len() <= MAX_BYTES_BEFORE_LIMITS {
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
        log_state_changes(&published.members.load(), &members);
        published.members.store(Arc::new(members));
        let view_digest = self.membership.view_digest();
        published.view_digest.store(view_digest, Ordering::Release);
        published.changes.send_modify(|count| *count += 1);
    }
}

/// Logs each member whose state has changed.
///
/// Both lists are ordered by identifier and are merged in one pass. Individual lookups took half a millisecond per
/// change in a fleet of hundreds, and the loss of a failure domain causes hundreds of changes.
fn log_state_changes(before: &[Member], after: &[Member]) {
    let mut before = before.iter().peekable();
    for member in after {
        while before.next_if(|known| known.id < member.id).is_some() {}
        let known = before.next_if(|known| known.id == member.id);
        if known.map(|known| known.state) != Some(member.state) {
            log::info!(
                instance = member.id.as_str(),
                state = format!("{:?}", member.state).as_str(),
                incarnation = member.incarnation.0;
                "instance state changed"
            );
        }
    }
}

/// Returns the fleet addresses of the members other than `me` that are not dead.
pub(super) fn other_addresses(members: &[Member], me: &InstanceId) -> Vec<SocketAddr> {
    members
        .iter()
        .filter(|m| m.id != *me && m.state != MemberState::Dead)
        .map(|m| m.fleet_address)
        .collect()
}
