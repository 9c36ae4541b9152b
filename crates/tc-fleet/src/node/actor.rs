//! Messages of the node actor and their handling.

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

/// Number of instances per failure domain that watch the configuration object.
pub(crate) const WATCHERS_PER_DOMAIN: usize = 2;
/// Gap between housekeeping runs above which the process is considered to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Messages to [`NodeActor`].
pub(crate) enum NodeMsg {
    Datagram(Box<Datagram>),
    /// Records received from an introduction.
    MergeRecords(Vec<Record>),
    InstanceList(InstanceList),
    Drained(BTreeSet<UpstreamId>),
    Config(Box<ConfigObject>),
    PlatformUnchanged,
    PlatformFailed,
    ConfigPulled {
        from: InstanceId,
        delta: Option<ConfigDelta>,
    },
    UpstreamLeaving {
        upstream: UpstreamId,
        leaving: bool,
    },
    /// A call to the instance failed: probe it next.
    CallFailed(InstanceId),
    Leave,
    /// Cancels a leave.
    CancelLeave,
    /// Sends the reported suspects to every live instance now.
    AnnounceToAll,
    Records(oneshot::Sender<Vec<Record>>),
    Delta {
        have_revision: u64,
        reply: oneshot::Sender<ConfigDelta>,
    },
    Revisions(oneshot::Sender<Revisions>),
    Tick,
    Housekeeping,
}

/// Configuration revisions in the fleet, as known to this instance.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Revisions {
    pub(crate) active: u64,
    pub(crate) lowest: u64,
    pub(crate) newest: u64,
}

/// Arguments of [`NodeActor`].
pub(crate) struct NodeArgs {
    pub(crate) me: Member,
    pub(crate) membership: MembershipConfig,
    pub(crate) parts: NodeParts,
}

/// The node actor; its state is [`NodeState`].
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
        let config_puller = ConfigPuller::new(rand::random());
        let pause_detector = PauseDetector::new(PAUSE_THRESHOLD);
        let mut state = NodeState::new(
            args.me,
            args.parts,
            membership,
            config_puller,
            pause_detector,
        );
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
        let changed = state.handle_message(now, message, &myself);
        if state.membership.take_changed() || changed {
            state.publish(now);
            state.pull(now, &myself);
        }
        Ok(())
    }
}

impl NodeState {
    /// Handles a message. Returns whether the view has to be published again.
    fn handle_message(
        &mut self,
        now: MonoTime,
        message: NodeMsg,
        myself: &ActorRef<NodeMsg>,
    ) -> bool {
        match message {
            NodeMsg::Datagram(datagram) => self.handle_datagram(now, &datagram, myself),
            NodeMsg::MergeRecords(records) => self.merge_records(now, &records),
            NodeMsg::InstanceList(list) => return self.apply_instance_list(now, list),
            NodeMsg::Drained(drained) => {
                return replace(&mut self.leaving_upstreams.drained, drained);
            }
            NodeMsg::Config(object) => return self.apply_config(*object),
            NodeMsg::PlatformUnchanged => self.config_puller.platform_unchanged(),
            NodeMsg::PlatformFailed => self.config_puller.platform_failed(now),
            NodeMsg::ConfigPulled { from, delta } => return self.handle_pulled(now, &from, delta),
            NodeMsg::UpstreamLeaving { upstream, leaving } => {
                return self.set_upstream_leaving(upstream, leaving);
            }
            NodeMsg::CallFailed(id) => {
                self.membership.report_failed_call(now, &id);
                self.tick(now, None);
            }
            NodeMsg::Leave => {
                let outgoing = self.membership.leave();
                self.send(outgoing);
                return true;
            }
            NodeMsg::CancelLeave => {
                let outgoing = self.membership.cancel_leave();
                self.send(outgoing);
                return true;
            }
            NodeMsg::AnnounceToAll => self.announce_to_all(),
            NodeMsg::Records(reply) => {
                let _ = reply.send(self.membership.records());
            }
            NodeMsg::Delta {
                have_revision,
                reply,
            } => {
                let _ = reply.send(config::delta(&self.config_object, have_revision));
            }
            NodeMsg::Revisions(reply) => {
                let _ = reply.send(self.revisions());
            }
            NodeMsg::Tick => self.tick(now, Some(myself)),
            NodeMsg::Housekeeping => return self.housekeeping(now, myself),
        }
        false
    }

    fn handle_datagram(&mut self, now: MonoTime, datagram: &Datagram, myself: &ActorRef<NodeMsg>) {
        let Some(message) = convert::message_from_wire(datagram) else {
            metrics::counter!("tc_gossip_refused_total").increment(1);
            return;
        };
        self.apply_piggyback(now, datagram);
        let records = std::iter::once(&message.from).chain(&message.changes);
        for record in records {
            self.config_puller
                .record_peer_revision(now, &record.member.id, record.revision);
        }
        let outgoing = self.membership.handle(now, &message);
        self.send(outgoing);
        if self.config_puller.known_revision() > self.config_puller.active_revision() {
            self.pull(now, myself);
        }
    }

    fn merge_records(&mut self, now: MonoTime, records: &[Record]) {
        for record in records {
            self.config_puller
                .record_peer_revision(now, &record.member.id, record.revision);
        }
        self.membership.merge_records(now, records);
        self.tick(now, None);
    }

    fn apply_instance_list(&mut self, now: MonoTime, list: InstanceList) -> bool {
        self.membership.apply_instance_list(now, &list);
        replace(&mut self.instance_list, list)
    }

    fn set_upstream_leaving(&mut self, upstream: UpstreamId, leaving: bool) -> bool {
        if leaving {
            self.leaving_upstreams.announced.insert(upstream)
        } else {
            self.leaving_upstreams.announced.remove(&upstream)
        }
    }

    fn handle_pulled(
        &mut self,
        now: MonoTime,
        from: &InstanceId,
        delta: Option<ConfigDelta>,
    ) -> bool {
        let object = delta.and_then(|delta| config::apply_delta(&self.config_object, delta));
        let Some(object) =
            object.filter(|object| object.revision > self.config_puller.active_revision())
        else {
            self.config_puller.pull_failed(now, from);
            return false;
        };
        self.apply_config(object)
    }

    fn announce_to_all(&mut self) {
        let outgoing = self.membership.announce_to_all();
        self.send(outgoing);
    }

    fn revisions(&self) -> Revisions {
        Revisions {
            active: self.config_puller.active_revision(),
            lowest: self.membership.lowest_revision(),
            newest: self
                .config_puller
                .known_revision()
                .max(self.membership.newest_revision().0),
        }
    }

    /// Performs the due membership actions. If `reschedule` is set, schedules the next tick.
    fn tick(&mut self, now: MonoTime, reschedule: Option<&ActorRef<NodeMsg>>) {
        let outgoing = self.membership.tick(now);
        self.send(outgoing);
        if let Some(myself) = reschedule {
            let wait = self.membership.next_wake().since(MonoTime::now());
            myself.send_after(wait.max(Duration::from_millis(5)), || NodeMsg::Tick);
        }
    }

    fn housekeeping(&mut self, now: MonoTime, myself: &ActorRef<NodeMsg>) -> bool {
        let paused = self.pause_detector.heartbeat(now);
        if let Some(gap) = paused {
            // State from before the pause may be outdated: others may have declared this instance dead.
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

    /// Logs an error when a higher incarnation of this instance's identifier is known: another process has replaced
    /// this one, which must stop.
    fn check_superseded(&mut self) {
        if let Some(incarnation) = self.membership.superseded_by()
            && self.superseded_by != Some(incarnation)
        {
            self.superseded_by = Some(incarnation);
            log::error!(incarnation = incarnation.0; "another process with this instance's identifier was started later; stop one of them");
            metrics::counter!("tc_superseded_total").increment(1);
        }
    }

    /// Starts the next configuration pull if one is due.
    fn pull(&mut self, now: MonoTime, myself: &ActorRef<NodeMsg>) {
        let members = self.membership.members();
        let is_watcher = config_watchers(&members, &self.me.failure_domain, WATCHERS_PER_DOMAIN)
            .iter()
            .any(|member| member.id == self.me.id);
        // The platform is always assumed reachable: a failed pull shows that it is not, and the puller's backoff limits
        // the rate of attempts.
        match self.config_puller.next_pull(now, is_watcher, true) {
            Pull::Peer(id) => match members.iter().find(|member| member.id == id) {
                Some(member) => self.pull_from(member, myself),
                None => self.config_puller.pull_failed(now, &id),
            },
            Pull::Platform => {
                let last_version = self.parts.config_version();
                crate::store_watch::watch_config(
                    &self.parts,
                    last_version,
                    self.config_puller.active_revision() == 0,
                    myself,
                );
            }
            Pull::Nothing => {}
        }
    }

    fn pull_from(&self, member: &Member, myself: &ActorRef<NodeMsg>) {
        let peer = self.parts.peers.get(member);
        let from = member.id.clone();
        let have_revision = self.config_puller.active_revision();
        let myself = myself.clone();
        tokio::spawn(async move {
            let pull = timed(ConfigPull { have_revision });
            let delta = peer
                .client()
                .pull_config(pull)
                .await
                .ok()
                .map(tonic::Response::into_inner);
            let _ = myself.cast(NodeMsg::ConfigPulled { from, delta });
        });
    }
}

fn replace<T: PartialEq>(target: &mut T, value: T) -> bool {
    let changed = *target != value;
    *target = value;
    changed
}

impl NodeParts {
    /// Returns the version of the configuration object last read from the platform.
    pub(crate) fn config_version(&self) -> u64 {
        self.config_version
            .load(std::sync::atomic::Ordering::Relaxed)
    }
}

/// Shared version of the configuration object.
pub(crate) type VersionCell = Arc<std::sync::atomic::AtomicU64>;
