//! The node's messages and how they change its state.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tc_membership::{
    ConfigPuller, Membership, MembershipConfig, PauseDetector, Pull, Record, config_watchers,
};
use tc_protocol::{
    InstanceId, Member, MonoTime, UpstreamId,
    wire::{ConfigObject, InstanceList},
};
use tokio::sync::oneshot;

use super::state::{NodeParts, NodeState};
use crate::{
    config, convert,
    generated::{ConfigDelta, ConfigPull, Datagram},
    peers::timed,
    settings::HOUSEKEEPING_INTERVAL,
};

/// Watchers of the configuration object per failure domain.
pub(crate) const WATCHERS_PER_DOMAIN: usize = 2;
/// A gap in the housekeeping beat above this means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// What can be told to the node.
pub(crate) enum NodeMsg {
    Datagram(Box<Datagram>),
    /// Records of an introduction by a seed.
    Learn(Vec<Record>),
    Listed(InstanceList),
    Drained(BTreeSet<UpstreamId>),
    Config(Box<ConfigObject>),
    PlatformUnchanged,
    PlatformFailed,
    Pulled {
        from: InstanceId,
        delta: Option<ConfigDelta>,
    },
    SaysLeaving {
        upstream: UpstreamId,
        leaving: bool,
    },
    /// A call to it failed: probe it next.
    Doubt(InstanceId),
    Leave,
    /// Undoes a leave.
    Stay,
    /// Tell every live instance of suspects now.
    SpreadSuspects,
    Records(oneshot::Sender<Vec<Record>>),
    Delta {
        have_revision: u64,
        reply: oneshot::Sender<ConfigDelta>,
    },
    Revisions(oneshot::Sender<Revisions>),
    Tick,
    Housekeeping,
}

/// Configuration revisions over the fleet as this instance knows them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Revisions {
    pub(crate) in_force: u64,
    pub(crate) lowest: u64,
    pub(crate) newest: u64,
}

/// What the node starts with.
pub(crate) struct NodeArgs {
    pub(crate) me: Member,
    pub(crate) membership: MembershipConfig,
    pub(crate) parts: NodeParts,
}

/// The actor; its state is [`NodeState`].
pub(crate) struct NodeActor;

impl Actor for NodeActor {
    type Msg = NodeMsg;
    type State = NodeState;
    type Arguments = NodeArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<NodeMsg>,
        args: NodeArgs,
    ) -> Result<NodeState, ActorProcessingErr> {
        myself.send_interval(HOUSEKEEPING_INTERVAL, || NodeMsg::Housekeeping);
        myself.send_after(Duration::from_millis(1), || NodeMsg::Tick);
        let membership = Membership::new(args.membership, args.me.clone(), rand::random());
        let spread = ConfigPuller::new(rand::random());
        let pause = PauseDetector::new(PAUSE_THRESHOLD);
        let mut state = NodeState::new(args.me, args.parts, membership, spread, pause);
        state.publish(MonoTime::now());
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<NodeMsg>,
        message: NodeMsg,
        state: &mut NodeState,
    ) -> Result<(), ActorProcessingErr> {
        let now = MonoTime::now();
        let changed = state.take(now, message, &myself);
        if state.membership.take_changed() || changed {
            state.publish(now);
            state.pull(now, &myself);
        }
        Ok(())
    }
}

impl NodeState {
    /// Handles one message; returns whether the view has to be published anew.
    fn take(&mut self, now: MonoTime, message: NodeMsg, myself: &ActorRef<NodeMsg>) -> bool {
        match message {
            NodeMsg::Datagram(datagram) => self.datagram(now, &datagram, myself),
            NodeMsg::Learn(records) => self.learn(now, &records),
            NodeMsg::Listed(list) => return self.listed(now, list),
            NodeMsg::Drained(drained) => return replace(&mut self.marks.drained, drained),
            NodeMsg::Config(object) => return self.apply(*object),
            NodeMsg::PlatformUnchanged => self.spread.platform_unchanged(),
            NodeMsg::PlatformFailed => self.spread.platform_failed(now),
            NodeMsg::Pulled { from, delta } => return self.pulled(now, &from, delta),
            NodeMsg::SaysLeaving { upstream, leaving } => {
                return self.says_leaving(upstream, leaving);
            }
            NodeMsg::Doubt(id) => {
                self.membership.report_failed_call(now, &id);
                self.tick(now, None);
            }
            NodeMsg::Leave => {
                let outgoing = self.membership.leave();
                self.send(outgoing);
                return true;
            }
            NodeMsg::Stay => {
                let outgoing = self.membership.cancel_leave();
                self.send(outgoing);
                return true;
            }
            NodeMsg::SpreadSuspects => self.spread_suspects(),
            NodeMsg::Records(reply) => {
                let _ = reply.send(self.membership.records());
            }
            NodeMsg::Delta {
                have_revision,
                reply,
            } => {
                let _ = reply.send(config::delta(&self.object, have_revision));
            }
            NodeMsg::Revisions(reply) => {
                let _ = reply.send(self.revisions());
            }
            NodeMsg::Tick => self.tick(now, Some(myself)),
            NodeMsg::Housekeeping => return self.housekeeping(now, myself),
        }
        false
    }

    fn datagram(&mut self, now: MonoTime, datagram: &Datagram, myself: &ActorRef<NodeMsg>) {
        let Some(message) = convert::message_from_wire(datagram) else {
            metrics::counter!("tc_gossip_refused_total").increment(1);
            return;
        };
        self.take_piggyback(now, datagram);
        let revisions = std::iter::once(&message.from).chain(&message.changes);
        for record in revisions {
            self.spread
                .record_peer_revision(now, &record.member.id, record.revision);
        }
        let outgoing = self.membership.handle(now, &message);
        self.send(outgoing);
        if self.spread.known_revision() > self.spread.active_revision() {
            self.pull(now, myself);
        }
    }

    fn learn(&mut self, now: MonoTime, records: &[Record]) {
        for record in records {
            self.spread
                .record_peer_revision(now, &record.member.id, record.revision);
        }
        self.membership.merge_records(now, records);
        self.tick(now, None);
    }

    fn listed(&mut self, now: MonoTime, list: InstanceList) -> bool {
        self.membership.apply_instance_list(now, &list);
        replace(&mut self.list, list)
    }

    fn says_leaving(&mut self, upstream: UpstreamId, leaving: bool) -> bool {
        if leaving {
            self.marks.says_leaving.insert(upstream)
        } else {
            self.marks.says_leaving.remove(&upstream)
        }
    }

    fn pulled(&mut self, now: MonoTime, from: &InstanceId, delta: Option<ConfigDelta>) -> bool {
        let object = delta.and_then(|delta| config::apply_delta(&self.object, delta));
        let Some(object) = object.filter(|object| object.revision > self.spread.active_revision())
        else {
            self.spread.pull_failed(now, from);
            return false;
        };
        self.apply(object)
    }

    fn spread_suspects(&mut self) {
        let outgoing = self.membership.announce_to_all();
        self.send(outgoing);
    }

    fn revisions(&self) -> Revisions {
        Revisions {
            in_force: self.spread.active_revision(),
            lowest: self.membership.lowest_revision(),
            newest: self
                .spread
                .known_revision()
                .max(self.membership.newest_revision().0),
        }
    }

    /// Lets membership act; with `again`, sets the timer for its next moment.
    fn tick(&mut self, now: MonoTime, again: Option<&ActorRef<NodeMsg>>) {
        let outgoing = self.membership.tick(now);
        self.send(outgoing);
        if let Some(myself) = again {
            let wait = self.membership.next_wake().since(MonoTime::now());
            myself.send_after(wait.max(Duration::from_millis(5)), || NodeMsg::Tick);
        }
    }

    fn housekeeping(&mut self, now: MonoTime, myself: &ActorRef<NodeMsg>) -> bool {
        let paused = self.pause.heartbeat(now);
        if let Some(gap) = paused {
            // What this instance knew before the pause may be wrong by now: others may have taken it for dead.
            log::warn!(gap_ms = gap.as_millis() as u64; "this process was paused");
            metrics::counter!("tc_pauses_total").increment(1);
            self.membership.resumed(now);
            self.tick(now, None);
        }
        self.check_superseded();
        self.pull(now, myself);
        let store = self.parts.store.health();
        paused.is_some() || store.reachable != self.parts.view.load().store.reachable
    }

    /// A later life of this instance's identifier is about: this process was replaced and must not act for it.
    fn check_superseded(&mut self) {
        if let Some(incarnation) = self.membership.superseded_by()
            && self.superseded_by != Some(incarnation)
        {
            self.superseded_by = Some(incarnation);
            log::error!(incarnation = incarnation.0; "another process runs with this instance's name and started later; stop one of them");
            metrics::counter!("tc_superseded_total").increment(1);
        }
    }

    /// Starts the next pull of the configuration, if one is due.
    fn pull(&mut self, now: MonoTime, myself: &ActorRef<NodeMsg>) {
        let members = self.membership.members();
        let watching = config_watchers(&members, &self.me.failure_domain, WATCHERS_PER_DOMAIN)
            .iter()
            .any(|member| member.id == self.me.id);
        // Reachability is found out by asking; the state machine's backoff paces it.
        match self.spread.next_pull(now, watching, true) {
            Pull::Peer(id) => match members.iter().find(|member| member.id == id) {
                Some(member) => self.pull_from(member, myself),
                None => self.spread.pull_failed(now, &id),
            },
            Pull::Platform => {
                let after = self.parts.config_version();
                crate::store_watch::watch_config(
                    &self.parts,
                    after,
                    self.spread.active_revision() == 0,
                    myself,
                );
            }
            Pull::Nothing => {}
        }
    }

    fn pull_from(&self, member: &Member, myself: &ActorRef<NodeMsg>) {
        let peer = self.parts.peers.get(member);
        let from = member.id.clone();
        let have_revision = self.spread.active_revision();
        let myself = myself.clone();
        tokio::spawn(async move {
            let pull = timed(ConfigPull { have_revision });
            let delta = peer
                .client()
                .pull_config(pull)
                .await
                .ok()
                .map(tonic::Response::into_inner);
            let _ = myself.cast(NodeMsg::Pulled { from, delta });
        });
    }
}

fn replace<T: PartialEq>(place: &mut T, value: T) -> bool {
    let changed = *place != value;
    *place = value;
    changed
}

impl NodeParts {
    /// Version of the configuration object last seen at the platform.
    pub(crate) fn config_version(&self) -> u64 {
        self.config_version
            .load(std::sync::atomic::Ordering::Relaxed)
    }
}

/// Shared counter of the configuration object's version.
pub(crate) type VersionCell = Arc<std::sync::atomic::AtomicU64>;
