//! State of the node actor, from which the fleet view is built.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use arc_swap::ArcSwap;
use ractor::ActorRef;
use tc_membership::{ConfigPuller, Membership, Outgoing, PauseDetector};
use tc_platform::Store;
use tc_protocol::{
    FleetConfig, FleetView, Incarnation, InstanceId, Member, MemberState, MonoTime, UpstreamId,
    wire::{ConfigObject, InstanceList},
};

use super::{
    VersionCell,
    table::{self, LeavingUpstreams},
};
use crate::{
    config, convert,
    entry::HeldTable,
    generated::Datagram,
    gossip::GossipSocket,
    homes::{HomesMsg, KnownUpstream},
    limits::WorkspaceLimiter,
    peers::{PeerPool, ToHome},
    summary::SummaryTable,
    suspects::SuspectTable,
};

/// Maximum number of summaries added to a datagram, for upstreams that have their home here.
const SUMMARIES_PER_DATAGRAM: usize = 6;

/// State that the node actor shares with the rest of the process.
#[derive(Clone)]
pub(crate) struct NodeParts {
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) known: Arc<ArcSwap<BTreeMap<UpstreamId, KnownUpstream>>>,
    pub(crate) summaries: Arc<SummaryTable>,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) homes: ActorRef<HomesMsg>,
    pub(crate) held: Arc<HeldTable>,
    pub(crate) limits: Arc<WorkspaceLimiter>,
    pub(crate) suspects: Arc<SuspectTable>,
    /// Upstreams drained by operators, as last read from the store.
    pub(crate) drained: Arc<ArcSwap<BTreeSet<UpstreamId>>>,
    pub(crate) store: Store,
    /// Version of the configuration object last read from the platform; 0 before the first read.
    pub(crate) config_version: VersionCell,
    pub(crate) socket: GossipSocket,
}

pub(crate) struct NodeState {
    pub(crate) me: Member,
    pub(crate) parts: NodeParts,
    pub(crate) membership: Membership,
    pub(crate) config_puller: ConfigPuller,
    pub(crate) pause_detector: PauseDetector,
    pub(crate) config_object: Arc<ConfigObject>,
    pub(crate) config: Arc<FleetConfig>,
    pub(crate) instance_list: InstanceList,
    pub(crate) leaving_upstreams: LeavingUpstreams,
    pub(crate) next_summary: usize,
    pub(crate) superseded_by: Option<Incarnation>,
    member_states: HashMap<InstanceId, MemberState>,
}

impl NodeState {
    pub(crate) fn new(
        me: Member,
        parts: NodeParts,
        membership: Membership,
        config_puller: ConfigPuller,
        pause_detector: PauseDetector,
    ) -> Self {
        Self {
            me,
            parts,
            membership,
            config_puller,
            pause_detector,
            config_object: Arc::default(),
            config: Arc::default(),
            instance_list: InstanceList::default(),
            leaving_upstreams: LeavingUpstreams::default(),
            next_summary: 0,
            superseded_by: None,
            member_states: HashMap::new(),
        }
    }

    /// Sends membership messages with summaries and suspects piggybacked.
    pub(crate) fn send(&mut self, outgoing: Vec<Outgoing>) {
        for out in outgoing {
            let mut datagram = convert::message_to_wire(&out.message);
            self.add_piggyback(&mut datagram);
            self.parts.socket.send(out.to, &datagram);
        }
    }

    fn add_piggyback(&mut self, datagram: &mut Datagram) {
        let now = MonoTime::now();
        let known = self.parts.known.load();
        let own_upstreams: Vec<&UpstreamId> = known
            .iter()
            .filter(|(_, k)| k.homed_here)
            .map(|(id, _)| id)
            .collect();
        for _ in 0..own_upstreams.len().min(SUMMARIES_PER_DATAGRAM) {
            self.next_summary = self.next_summary.wrapping_add(1);
            let id = own_upstreams[self.next_summary % own_upstreams.len()];
            let Some(cell) = self.parts.summaries.cell(id) else {
                continue;
            };
            if let Some((summary, leaving, _)) = cell.load(now) {
                let incarnation = cell.incarnation();
                let summary = convert::summary_to_wire(id, &summary, leaving, incarnation);
                datagram.summaries.push(summary);
            }
        }
        self.parts.suspects.add_evidence(now, datagram);
    }

    /// Applies the summaries and suspects piggybacked on a datagram.
    pub(crate) fn apply_piggyback(&mut self, now: MonoTime, datagram: &Datagram) {
        for summary in &datagram.summaries {
            let load = convert::summary_from_wire(summary);
            let summaries = &self.parts.summaries;
            summaries.store(now, &summary.upstream, &load, summary.leaving);
            summaries.record_incarnation(&summary.upstream, Incarnation(summary.incarnation));
        }
        self.parts
            .suspects
            .receive_evidence(now, &datagram.evidence);
    }

    /// Activates a configuration if it is valid and newer than the active one. Returns whether it was activated.
    pub(crate) fn apply_config(&mut self, object: ConfigObject) -> bool {
        if object.revision <= self.config_puller.active_revision() {
            self.config_puller.activate(object.revision);
            return false;
        }
        match config::parse(&object) {
            Ok(config) => {
                if !self.config_puller.activate(object.revision) {
                    return false;
                }
                log::info!(revision = object.revision; "configuration in force");
                metrics::gauge!("tc_config_revision").set(object.revision as f64);
                self.config = Arc::new(config);
                self.membership.set_revision(object.revision);
                self.config_object = Arc::new(object);
                true
            }
            Err(error) => {
                log::error!(revision = object.revision; "configuration rejected; the last valid one stays in force: {error}");
                metrics::counter!("tc_config_rejected_total").increment(1);
                self.config_puller.reject(object.revision);
                false
            }
        }
    }

    /// Publishes a new view and updates the limits, suspects and homes that depend on it.
    pub(crate) fn publish(&mut self, now: MonoTime) {
        let members: Arc<[Member]> = self.membership.members().into();
        self.handle_state_changes(&members);
        let table = table::build(
            &self.config,
            &self.instance_list,
            &self.leaving_upstreams,
            &members,
        );
        let known = Arc::new(table::for_homes(&table, &self.config, &self.me.id));
        self.parts.summaries.set_upstreams(known.keys());
        self.parts.known.store(Arc::clone(&known));
        let me = members
            .iter()
            .find(|m| m.id == self.me.id)
            .cloned()
            .unwrap_or_else(|| self.me.clone());
        let view = Arc::new(FleetView {
            me,
            members,
            config: Arc::clone(&self.config),
            upstreams: Arc::new(table),
            store: self.parts.store.health(),
        });
        // Permits are requested according to the view, so the homes must know its upstreams first.
        let _ = self.parts.homes.cast(HomesMsg::SetUpstreams(known));
        self.parts.view.store(Arc::clone(&view));
        self.parts.limits.update(&view);
        let crashes = self.config.policy.crashes_to_quarantine;
        self.parts.suspects.set_crashes_to_quarantine(now, crashes);
        self.announce_moved_permits(now, &view);
    }

    /// Handles members whose state has changed since the last call. Members missing from the list count as dead.
    fn handle_state_changes(&mut self, members: &[Member]) {
        let mut states = HashMap::with_capacity(members.len());
        for member in members {
            if member.id == self.me.id {
                continue;
            }
            let before = self.member_states.get(&member.id).copied();
            if before != Some(member.state) {
                self.handle_state_change(&member.id, member.state);
            }
            states.insert(member.id.clone(), member.state);
        }
        let gone: Vec<InstanceId> = self
            .member_states
            .keys()
            .filter(|id| !states.contains_key(*id))
            .cloned()
            .collect();
        for id in gone {
            self.handle_state_change(&id, MemberState::Dead);
        }
        self.member_states = states;
    }

    fn handle_state_change(&mut self, id: &InstanceId, state: MemberState) {
        log::info!(instance = id.as_str(); "instance is {state:?}");
        match state {
            MemberState::Dead => {
                self.parts.peers.fail_pending_requests(id);
                self.parts.peers.remove(id);
                self.config_puller.remove_peer(id);
                let _ = self.parts.homes.cast(HomesMsg::RemoveEntry(id.clone()));
            }
            MemberState::Suspect => self.parts.peers.fail_pending_requests(id),
            MemberState::Alive | MemberState::Isolated | MemberState::Leaving => {}
        }
    }

    fn announce_moved_permits(&self, now: MonoTime, view: &FleetView) {
        for moved in self.parts.held.rehome(now, view) {
            let upstream = moved.upstream;
            let held = moved.permit;
            if moved.home == self.me.id {
                let _ = self
                    .parts
                    .homes
                    .cast(HomesMsg::AdoptPermit { upstream, held });
            } else if let Some(member) = view.member(&moved.home) {
                self.parts
                    .peers
                    .get(member)
                    .send(ToHome::Held { upstream, held });
            }
        }
    }
}
