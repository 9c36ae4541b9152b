//! The actor that owns all homes of this instance, on the control thread.

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
    slot::{HomeAsk, HomeVerdict, KnownUpstream, OnQueued, ReplyTo, Slot},
};
use crate::{settings::HOUSEKEEPING_INTERVAL, summary::SummaryTable};

/// Permit ids of one home count up from a random multiple of this, so that two homes of the same upstream, for a
/// moment or one after the other, do not give the same id to different calls.
const PERMIT_ID_RANGE: u64 = 1 << 32;

/// Largest share of a service's upstreams that may be ejected at once.
const EJECTED_SHARE: f64 = 0.34;

/// Upstreams of a service with a known service time from which outliers are looked for.
const LEAST_FOR_OUTLIERS: usize = 3;

/// Age at which another home's summary no longer says that its wait is short.
const SUMMARY_COUNTS_FOR: Duration = Duration::from_secs(2);

/// Answer to an ask for an upstream this instance has never heard of.
const UNKNOWN_RETRY: Duration = Duration::from_millis(100);

/// What can be told to the homes.
pub(crate) enum HomesMsg {
    Ask {
        upstream: UpstreamId,
        ask: HomeAsk,
        on_queued: OnQueued,
        reply: ReplyTo,
    },
    Cancel {
        upstream: Option<UpstreamId>,
        entry: InstanceId,
        ask: u64,
    },
    Release {
        upstream: UpstreamId,
        release: Release,
    },
    Held {
        upstream: UpstreamId,
        held: HeldPermit,
    },
    EntryGone(InstanceId),
    Assign(Arc<BTreeMap<UpstreamId, KnownUpstream>>),
    Load {
        upstream: UpstreamId,
        report: LoadReport,
    },
    /// Asks for (upstreams homed here, permits in flight).
    Count(tokio::sync::oneshot::Sender<(usize, usize)>),
    Wake,
    Housekeeping,
}

/// What the actor starts with.
pub(crate) struct HomesArgs {
    pub(crate) summaries: Arc<SummaryTable>,
}

/// The actor; its state is [`HomesState`].
pub(crate) struct HomesActor;

pub(crate) struct HomesState {
    slots: HashMap<UpstreamId, Slot>,
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
            slots: HashMap::new(),
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
            HomesMsg::Ask {
                upstream,
                ask,
                on_queued,
                reply,
            } => self.ask(now, &upstream, ask, on_queued, reply),
            HomesMsg::Cancel {
                upstream,
                entry,
                ask,
            } => self.cancel(now, upstream, &entry, ask),
            HomesMsg::Release { upstream, release } => self.release(now, &upstream, &release),
            HomesMsg::Held { upstream, held } => self.adopt(now, &upstream, held),
            HomesMsg::EntryGone(entry) => self.each(now, |slot| slot.entry_gone(now, &entry)),
            HomesMsg::Assign(known) => self.assign(now, known),
            HomesMsg::Load { upstream, report } => self.load(now, &upstream, &report),
            HomesMsg::Count(reply) => {
                let in_flight = self.slots.values().map(Slot::in_flight).sum();
                let _ = reply.send((self.slots.len(), in_flight));
            }
            HomesMsg::Wake => self.wake(now),
            HomesMsg::Housekeeping => self.housekeeping(now),
        }
    }

    fn ask(
        &mut self,
        now: MonoTime,
        upstream: &UpstreamId,
        ask: HomeAsk,
        on_queued: OnQueued,
        reply: ReplyTo,
    ) {
        if !self.ensure(now, upstream) {
            reply(unknown_upstream());
            return;
        }
        let Some(slot) = self.slots.get_mut(upstream) else {
            return;
        };
        let better = || best_alternative(now, &self.known, &self.summaries, upstream);
        slot.ask(now, ask, better, on_queued, reply);
        self.settle(now, upstream);
    }

    fn cancel(
        &mut self,
        now: MonoTime,
        upstream: Option<UpstreamId>,
        entry: &InstanceId,
        ask: u64,
    ) {
        match upstream {
            Some(upstream) => {
                if let Some(slot) = self.slots.get_mut(&upstream) {
                    slot.cancel(now, entry, ask);
                }
                self.settle(now, &upstream);
            }
            None => self.each(now, |slot| slot.cancel(now, entry, ask)),
        }
    }

    fn release(&mut self, now: MonoTime, upstream: &UpstreamId, release: &Release) {
        let Some(slot) = self.slots.get_mut(upstream) else {
            return;
        };
        if slot.release(now, release).is_none() {
            metrics::counter!("tc_unknown_releases_total").increment(1);
        }
        self.settle(now, upstream);
    }

    fn adopt(&mut self, now: MonoTime, upstream: &UpstreamId, held: HeldPermit) {
        if !self.ensure(now, upstream) {
            return;
        }
        if let Some(slot) = self.slots.get_mut(upstream) {
            slot.adopt(now, held);
        }
        self.settle(now, upstream);
    }

    fn load(&mut self, now: MonoTime, upstream: &UpstreamId, report: &LoadReport) {
        if let Some(slot) = self.slots.get_mut(upstream) {
            slot.home_mut().record_load_report(now, report);
        }
        self.settle(now, upstream);
    }

    /// Makes sure there is a slot for a known upstream.
    ///
    /// An entry may know of a move of the home before this instance does. Refusing its ask then would fail requests
    /// during every change of membership; granting it over-commits the upstream for a moment at worst.
    fn ensure(&mut self, now: MonoTime, upstream: &UpstreamId) -> bool {
        if self.slots.contains_key(upstream) {
            return true;
        }
        let Some(known) = self.known.get(upstream) else {
            return false;
        };
        let first_permit = rand::random::<u64>() / PERMIT_ID_RANGE * PERMIT_ID_RANGE;
        self.slots.insert(
            upstream.clone(),
            Slot::new(now, known.clone(), first_permit),
        );
        true
    }

    fn assign(&mut self, now: MonoTime, known: Arc<BTreeMap<UpstreamId, KnownUpstream>>) {
        self.known = known;
        let mine: Vec<UpstreamId> = self
            .known
            .iter()
            .filter(|(_, k)| k.mine)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &mine {
            self.ensure(now, id);
        }
        let known = Arc::clone(&self.known);
        self.slots.retain(|id, _| known.contains_key(id));
        for (id, slot) in &mut self.slots {
            if slot.known != known[id] {
                slot.update(now, known[id].clone());
            }
        }
        self.wake(now);
    }

    fn housekeeping(&mut self, now: MonoTime) {
        self.slots
            .retain(|_, slot| slot.known.mine || !slot.is_idle());
        let pictures = pictures(now, &self.known, &self.summaries);
        for (id, slot) in &mut self.slots {
            let Some(picture) = pictures.get(&slot.known.service) else {
                continue;
            };
            let may_eject = picture.may_eject(slot.summary(now).ejected);
            let home = slot.home_mut();
            home.set_service_median(now, picture.median_ms(), may_eject);
            home.set_shortest_wait_elsewhere(now, picture.elsewhere(id));
        }
        self.wake(now);
    }

    fn each(&mut self, now: MonoTime, mut act: impl FnMut(&mut Slot)) {
        self.slots.values_mut().for_each(&mut act);
        self.wake(now);
    }

    fn wake(&mut self, now: MonoTime) {
        self.wake_at = None;
        let ids: Vec<UpstreamId> = self.slots.keys().cloned().collect();
        for id in ids {
            self.settle(now, &id);
        }
    }

    /// Carries out what the home decided and publishes its load.
    fn settle(&mut self, now: MonoTime, upstream: &UpstreamId) {
        let Some(slot) = self.slots.get_mut(upstream) else {
            return;
        };
        let expired = slot.poll(now);
        if !expired.is_empty() {
            metrics::counter!("tc_expired_permits_total").increment(expired.len() as u64);
        }
        if slot.known.mine {
            let summary = slot.summary(now);
            self.summaries
                .store(now, upstream.as_str(), &summary, slot.is_leaving());
        }
    }

    /// Sets a timer for the earliest moment at which a home has something to do.
    fn schedule(&mut self, myself: &ActorRef<HomesMsg>) {
        let Some(next) = self.slots.values().filter_map(Slot::next_wake).min() else {
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

fn unknown_upstream() -> HomeAnswer {
    HomeAnswer {
        verdict: HomeVerdict::Refused {
            reason: tc_protocol::RefusalReason::NoUpstream,
            retry_after: UNKNOWN_RETRY,
        },
        summary: tc_protocol::UpstreamSummary::default(),
        leaving: false,
    }
}

/// What the upstreams of one service look like from here, by their homes' summaries.
#[derive(Default)]
struct ServicePicture {
    service_ms: Vec<f64>,
    waits: Vec<(f64, UpstreamId)>,
    ejected: usize,
    upstreams: usize,
}

impl ServicePicture {
    fn median_ms(&self) -> Option<f64> {
        // With fewer than three there is no telling which one is the outlier.
        let times = &self.service_ms;
        (times.len() >= LEAST_FOR_OUTLIERS).then(|| times[times.len() / 2])
    }

    /// Whether an upstream may be ejected, or stay so: only a part of a service may be.
    fn may_eject(&self, is_ejected: bool) -> bool {
        let ejected = self.ejected + usize::from(!is_ejected);
        ejected as f64 <= (self.upstreams as f64 * EJECTED_SHARE).max(1.0)
    }

    /// Shortest wait at another upstream.
    fn elsewhere(&self, not_this: &UpstreamId) -> Option<Duration> {
        let others = self.waits.iter().filter(|(_, id)| id != not_this);
        let shortest = others.map(|(wait_ms, _)| *wait_ms).min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(shortest.max(0.0) / 1e3))
    }
}

fn pictures(
    now: MonoTime,
    known: &BTreeMap<UpstreamId, KnownUpstream>,
    summaries: &SummaryTable,
) -> HashMap<ServiceName, ServicePicture> {
    let mut by_service: HashMap<ServiceName, ServicePicture> = HashMap::new();
    for (id, upstream) in known.iter().filter(|(_, upstream)| !upstream.leaving) {
        let picture = by_service.entry(upstream.service.clone()).or_default();
        picture.upstreams += 1;
        let loaded = summaries.cell(id).and_then(|cell| cell.load(now));
        let Some((summary, leaving, age)) = loaded else {
            continue;
        };
        if summary.service_ms > 0.0 {
            picture.service_ms.push(summary.service_ms);
        }
        picture.ejected += usize::from(summary.ejected);
        if !leaving && !summary.ejected && age < SUMMARY_COUNTS_FOR {
            picture.waits.push((summary.wait_ms, id.clone()));
        }
    }
    for picture in by_service.values_mut() {
        picture.service_ms.sort_by(f64::total_cmp);
    }
    by_service
}

/// The upstream of the same service that an ask would wait for least, other than `not_this`.
fn best_alternative(
    now: MonoTime,
    known: &BTreeMap<UpstreamId, KnownUpstream>,
    summaries: &SummaryTable,
    not_this: &UpstreamId,
) -> Option<UpstreamId> {
    let service = &known.get(not_this)?.service;
    known
        .iter()
        .filter(|(id, k)| k.service == *service && *id != not_this && !k.leaving)
        .filter_map(|(id, _)| {
            let (summary, leaving, _) = summaries.cell(id)?.load(now)?;
            (!leaving && !summary.ejected).then_some((summary.wait_ms, id))
        })
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, id)| id.clone())
}
