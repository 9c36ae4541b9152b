//! The actor that owns all homes on this instance. It runs on the control thread.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use ractor::{Actor, ActorProcessingErr, ActorRef};
use tc_policy::HeldPermit;
use tc_protocol::{InstanceId, MonoTime, Release, ServiceName, UpstreamId, wire::LoadReport};

use super::{
    HomeAnswer,
    local_home::{HomeRequest, HomeVerdict, KnownUpstream, LocalHome, OnQueued, ReplyTo},
};
use crate::{settings::HOUSEKEEPING_INTERVAL, summary::SummaryTable};

/// Permit ids of a home count up from a random multiple of this number, so that two homes of one upstream, whether
/// successive or briefly concurrent, do not give the same id to different calls.
const PERMIT_ID_RANGE: u64 = 1 << 32;

/// Maximum fraction of a service's upstreams that may be ejected at the same time.
const MAX_EJECTED_FRACTION: f64 = 0.34;

/// Minimum number of upstreams with a known service time for outlier detection. With fewer, it is impossible to tell
/// which one is the outlier.
const MIN_UPSTREAMS_FOR_OUTLIERS: usize = 3;

/// Age from which the wait in another home's summary is ignored.
const SUMMARY_MAX_AGE: Duration = Duration::from_secs(2);

/// Retry hint for a permit request for an upstream that is not known here.
const UNKNOWN_UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A message to [`HomesActor`].
pub(crate) enum HomesMsg {
    RequestPermit {
        upstream: UpstreamId,
        request: HomeRequest,
        on_queued: OnQueued,
        reply: ReplyTo,
    },
    Cancel {
        upstream: Option<UpstreamId>,
        entry: InstanceId,
        number: u64,
    },
    Release {
        upstream: UpstreamId,
        release: Release,
    },
    AdoptPermit {
        upstream: UpstreamId,
        held: HeldPermit,
    },
    RemoveEntry(InstanceId),
    SetUpstreams(Arc<BTreeMap<UpstreamId, KnownUpstream>>),
    Load {
        upstream: UpstreamId,
        report: LoadReport,
    },
    /// Requests the number of homes here and of their permits in flight.
    Count(tokio::sync::oneshot::Sender<(usize, usize)>),
    Wake,
    Housekeeping,
}

/// Startup arguments of [`HomesActor`].
pub(crate) struct HomesArgs {
    pub(crate) summaries: Arc<SummaryTable>,
}

/// Owns the homes on this instance; its state is [`HomesState`].
pub(crate) struct HomesActor;

pub(crate) struct HomesState {
    homes: HashMap<UpstreamId, LocalHome>,
    known: Arc<BTreeMap<UpstreamId, KnownUpstream>>,
    summaries: Arc<SummaryTable>,
    wake_at: Option<MonoTime>,
}

impl Actor for HomesActor {
    type Msg = HomesMsg;
    type State = HomesState;
    type Arguments = HomesArgs;

    async fn pre_start(
        &self,
        myself: ActorRef<HomesMsg>,
        args: HomesArgs,
    ) -> Result<HomesState, ActorProcessingErr> {
        myself.send_interval(HOUSEKEEPING_INTERVAL, || HomesMsg::Housekeeping);
        Ok(HomesState {
            homes: HashMap::new(),
            known: Arc::default(),
            summaries: args.summaries,
            wake_at: None,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<HomesMsg>,
        message: HomesMsg,
        state: &mut HomesState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(MonoTime::now(), message);
        state.schedule(&myself);
        Ok(())
    }
}

impl HomesState {
    fn handle(&mut self, now: MonoTime, message: HomesMsg) {
        match message {
            HomesMsg::RequestPermit {
                upstream,
                request,
                on_queued,
                reply,
            } => self.request_permit(now, &upstream, request, on_queued, reply),
            HomesMsg::Cancel {
                upstream,
                entry,
                number,
            } => self.cancel(now, upstream, &entry, number),
            HomesMsg::Release { upstream, release } => self.release(now, &upstream, &release),
            HomesMsg::AdoptPermit { upstream, held } => self.adopt(now, &upstream, held),
            HomesMsg::RemoveEntry(entry) => {
                self.for_each_home(now, |home| home.remove_entry(now, &entry));
            }
            HomesMsg::SetUpstreams(known) => self.set_upstreams(now, known),
            HomesMsg::Load { upstream, report } => self.record_load(now, &upstream, &report),
            HomesMsg::Count(reply) => {
                let in_flight = self.homes.values().map(LocalHome::in_flight).sum();
                let _ = reply.send((self.homes.len(), in_flight));
            }
            HomesMsg::Wake => self.wake(now),
            HomesMsg::Housekeeping => self.housekeeping(now),
        }
    }

    fn request_permit(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamId,
        request: HomeRequest,
        on_queued: OnQueued,
        reply: ReplyTo,
    ) {
        if !self.ensure_home(now, upstream) {
            reply(unknown_upstream_answer());
            return;
        }
        let Some(home) = self.homes.get_mut(upstream) else {
            return;
        };
        let better = || best_alternative(now, &self.known, &self.summaries, upstream);
        home.request_permit(now, request, better, on_queued, reply);
        self.apply_decisions(now, upstream);
    }

    fn cancel(
        &mut self,
        now: MonoTime,
        upstream: Option<UpstreamId>,
        entry: &InstanceId,
        number: u64,
    ) {
        match upstream {
            Some(upstream) => {
                if let Some(home) = self.homes.get_mut(&upstream) {
                    home.cancel(now, entry, number);
                }
                self.apply_decisions(now, &upstream);
            }
            None => self.for_each_home(now, |home| home.cancel(now, entry, number)),
        }
    }

    fn release(&mut self, now: MonoTime, upstream: &UpstreamId, release: &Release) {
        let Some(home) = self.homes.get_mut(upstream) else {
            return;
        };
        if home.release(now, release).is_none() {
            metrics::counter!("tc_unknown_releases_total").increment(1);
        }
        self.apply_decisions(now, upstream);
    }

    fn adopt(&mut self, now: MonoTime, upstream: &UpstreamId, held: HeldPermit) {
        if !self.ensure_home(now, upstream) {
            return;
        }
        if let Some(home) = self.homes.get_mut(upstream) {
            home.adopt(now, held);
        }
        self.apply_decisions(now, upstream);
    }

    fn record_load(&mut self, now: MonoTime, upstream: &UpstreamId, report: &LoadReport) {
        if let Some(home) = self.homes.get_mut(upstream) {
            home.home_mut().record_load_report(now, report);
        }
        self.apply_decisions(now, upstream);
    }

    /// Creates the home of a known upstream if there is none. Returns false if the upstream is not known.
    ///
    /// The upstream need not be assigned to this instance, because an entry may learn of a reassignment before this
    /// instance does. Refusing its permit requests would fail requests during every membership change; granting them
    /// over-commits the upstream at most briefly.
    fn ensure_home(&mut self, now: MonoTime, upstream: &UpstreamId) -> bool {
        if self.homes.contains_key(upstream) {
            return true;
        }
        let Some(known) = self.known.get(upstream) else {
            return false;
        };
        let first_permit = rand::random::<u64>() / PERMIT_ID_RANGE * PERMIT_ID_RANGE;
        self.homes.insert(
            upstream.clone(),
            LocalHome::new(now, known.clone(), first_permit),
        );
        true
    }

    fn set_upstreams(&mut self, now: MonoTime, known: Arc<BTreeMap<UpstreamId, KnownUpstream>>) {
        self.known = known;
        let assigned: Vec<UpstreamId> = self
            .known
            .iter()
            .filter(|(_, k)| k.homed_here)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &assigned {
            self.ensure_home(now, id);
        }
        let known = Arc::clone(&self.known);
        self.homes.retain(|id, _| known.contains_key(id));
        for (id, home) in &mut self.homes {
            if home.known != known[id] {
                home.update(now, known[id].clone());
            }
        }
        self.wake(now);
    }

    fn housekeeping(&mut self, now: MonoTime) {
        self.homes
            .retain(|_, home| home.known.homed_here || !home.is_idle());
        let by_service = service_stats(now, &self.known, &self.summaries);
        for (id, local_home) in &mut self.homes {
            let Some(stats) = by_service.get(&local_home.known.service) else {
                continue;
            };
            let may_eject = stats.may_eject(local_home.summary(now).ejected);
            let home = local_home.home_mut();
            home.set_service_median(now, stats.median_ms(), may_eject);
            home.set_shortest_wait_elsewhere(now, stats.shortest_wait_elsewhere(id));
        }
        self.wake(now);
    }

    fn for_each_home(&mut self, now: MonoTime, mut act: impl FnMut(&mut LocalHome)) {
        self.homes.values_mut().for_each(&mut act);
        self.wake(now);
    }

    fn wake(&mut self, now: MonoTime) {
        self.wake_at = None;
        let ids: Vec<UpstreamId> = self.homes.keys().cloned().collect();
        for id in ids {
            self.apply_decisions(now, &id);
        }
    }

    /// Delivers the decisions of the home and publishes its load summary.
    fn apply_decisions(&mut self, now: MonoTime, upstream: &UpstreamId) {
        let Some(home) = self.homes.get_mut(upstream) else {
            return;
        };
        let expired = home.poll(now);
        if !expired.is_empty() {
            metrics::counter!("tc_expired_permits_total").increment(expired.len() as u64);
        }
        if home.known.homed_here {
            let summary = home.summary(now);
            self.summaries
                .store(now, upstream.as_str(), &summary, home.is_leaving());
        }
    }

    /// Sets a timer for the earliest time at which a home has something to do.
    fn schedule(&mut self, myself: &ActorRef<HomesMsg>) {
        let Some(next) = self.homes.values().filter_map(LocalHome::next_wake).min() else {
            return;
        };
        if self.wake_at.is_some_and(|at| at <= next) {
            return;
        }
        self.wake_at = Some(next);
        let wait = next.since(MonoTime::now()).max(Duration::from_millis(1));
        myself.send_after(wait, || HomesMsg::Wake);
    }
}

fn unknown_upstream_answer() -> HomeAnswer {
    HomeAnswer {
        verdict: HomeVerdict::Refused {
            reason: tc_protocol::RefusalReason::NoUpstream,
            retry_after: UNKNOWN_UPSTREAM_RETRY_AFTER,
        },
        summary: tc_protocol::UpstreamSummary::default(),
        leaving: false,
    }
}

/// Statistics of one service's upstreams, from the summaries of their homes.
#[derive(Default)]
struct ServiceStats {
    service_ms: Vec<f64>,
    waits: Vec<(f64, UpstreamId)>,
    ejected: usize,
    upstreams: usize,
}

impl ServiceStats {
    fn median_ms(&self) -> Option<f64> {
        let times = &self.service_ms;
        (times.len() >= MIN_UPSTREAMS_FOR_OUTLIERS).then(|| times[times.len() / 2])
    }

    /// Returns whether an upstream may be ejected or stay ejected. One always may, more only up to
    /// [`MAX_EJECTED_FRACTION`].
    fn may_eject(&self, is_ejected: bool) -> bool {
        let ejected = self.ejected + usize::from(!is_ejected);
        ejected as f64 <= (self.upstreams as f64 * MAX_EJECTED_FRACTION).max(1.0)
    }

    /// Returns the shortest wait at any other upstream.
    fn shortest_wait_elsewhere(&self, excluded: &UpstreamId) -> Option<Duration> {
        let others = self.waits.iter().filter(|(_, id)| id != excluded);
        let shortest = others.map(|(wait_ms, _)| *wait_ms).min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(shortest.max(0.0) / 1e3))
    }
}

fn service_stats(
    now: MonoTime,
    known: &BTreeMap<UpstreamId, KnownUpstream>,
    summaries: &SummaryTable,
) -> HashMap<ServiceName, ServiceStats> {
    let mut by_service: HashMap<ServiceName, ServiceStats> = HashMap::new();
    for (id, upstream) in known.iter().filter(|(_, upstream)| !upstream.leaving) {
        let stats = by_service.entry(upstream.service.clone()).or_default();
        stats.upstreams += 1;
        let loaded = summaries.cell(id).and_then(|cell| cell.load(now));
        let Some((summary, leaving, age)) = loaded else {
            continue;
        };
        if summary.service_ms > 0.0 {
            stats.service_ms.push(summary.service_ms);
        }
        stats.ejected += usize::from(summary.ejected);
        if !leaving && !summary.ejected && age < SUMMARY_MAX_AGE {
            stats.waits.push((summary.wait_ms, id.clone()));
        }
    }
    for stats in by_service.values_mut() {
        stats.service_ms.sort_by(f64::total_cmp);
    }
    by_service
}

/// Returns the upstream of the same service with the shortest wait, other than `excluded`.
fn best_alternative(
    now: MonoTime,
    known: &BTreeMap<UpstreamId, KnownUpstream>,
    summaries: &SummaryTable,
    excluded: &UpstreamId,
) -> Option<UpstreamId> {
    let service = &known.get(excluded)?.service;
    known
        .iter()
        .filter(|(id, k)| k.service == *service && *id != excluded && !k.leaving)
        .filter_map(|(id, _)| {
            let (summary, leaving, _) = summaries.cell(id)?.load(now)?;
            (!leaving && !summary.ejected).then_some((summary.wait_ms, id))
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, id)| id.clone())
}
