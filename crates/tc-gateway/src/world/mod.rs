//! What the store says, as this instance knows it: the configuration in force and the registered upstreams.
//!
//! A few instances watch the store and tell the others of each change ([`tell`]); the others follow one of them ([`follow`])
//! and watch by themselves only when nobody tells them anything.

mod config;
mod evacuated;
mod follow;
mod kind_watch;
mod reading;
mod removals;
mod tell;
mod upstreams;
mod watch;

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use serde_json::Value;
use tc_fleet::{EvacuatedDomains, WorldHave, WorldNews, WorldObject};
use tc_platform::ObjectEvent;
use tc_protocol::{FailureDomain, MonoTime, ServiceName, UpstreamId};
use tokio::sync::watch::{Receiver, Sender};

use crate::{codec::PlatformCodec, freeze::FreezeWatch};

pub(crate) use config::ConfigInForce;
pub(crate) use evacuated::watch_evacuations;
pub(crate) use follow::{StoreRole, follow_source};
pub(crate) use reading::Reading;
pub(crate) use tell::tell_world;
pub use upstreams::{TakenUp, UpstreamTable};
pub(crate) use watch::{WatchContext, first_world, watch_config, watch_upstreams};

/// What requests read; never changes once published.
#[derive(Clone, Default)]
pub(crate) struct World {
    /// `None` until one is known.
    pub(crate) config: Option<Arc<ConfigInForce>>,
    /// Those in evacuated failure domains are marked.
    pub(crate) upstreams: Arc<UpstreamTable>,
    pub(crate) evacuated: Arc<EvacuatedDomains>,
}

impl World {
    /// Version of the configuration; 0 for none.
    fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.routing.version)
    }

    /// Whether both the configuration and a list of upstreams are known: before that every request would be refused.
    pub(crate) fn is_known(&self) -> bool {
        self.config.is_some() && self.upstreams.revision() > 0
    }
}

/// Longest wait for a fresh reading after an absence. The store answers in milliseconds; without it, upstreams are told
/// whom a request is meant for and say so when it is not for them.
const FRESH_WAIT: Duration = Duration::from_millis(300);

/// What is read from the store by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorldPart {
    Config,
    Upstreams,
    Evacuations,
}

/// How many parts there are.
const PARTS: usize = 3;

/// Holds the newest world, and decides what is newer.
pub(crate) struct WorldCell {
    codec: PlatformCodec,
    published: ArcSwap<World>,
    /// Acceptance by writers only.
    writing: Mutex<()>,
    changes: Sender<u64>,
    freezes: Arc<FreezeWatch>,
    /// Absences of this process before the last whole reading of each part.
    read_after: [AtomicU64; PARTS],
    /// Time as of which each part is confirmed, that is, includes every change that the store had accepted by then. In
    /// microseconds of [`MonoTime`]; 0 for a part without a confirmation, `u64::MAX` for one that is left out.
    confirmed: [AtomicU64; PARTS],
    /// Sends the time as of which all parts are confirmed, when it changes.
    confirmations: Sender<MonoTime>,
    /// The last absence after which no reading came in time, so that requests no longer wait for one.
    gave_up_after: AtomicU64,
}

impl WorldCell {
    pub(crate) fn new(codec: PlatformCodec, freezes: Arc<FreezeWatch>) -> Self {
        Self {
            codec,
            published: ArcSwap::default(),
            writing: Mutex::default(),
            changes: Sender::new(0),
            freezes,
            read_after: Default::default(),
            confirmed: Default::default(),
            confirmations: Sender::new(MonoTime::default()),
            gave_up_after: AtomicU64::new(0),
        }
    }

    pub(crate) fn freezes(&self) -> Arc<FreezeWatch> {
        Arc::clone(&self.freezes)
    }

    /// A part that there is none of on this deployment: nothing waits for it.
    pub(crate) fn leave_out(&self, part: WorldPart) {
        self.read_after[part as usize].store(u64::MAX, Ordering::Release);
        self.confirmed[part as usize].store(u64::MAX, Ordering::Release);
    }

    /// A part was read whole, after this many absences of this process.
    pub(crate) fn note_read(&self, part: WorldPart, absences: u64) {
        // A part that was left out stays read for good.
        self.read_after[part as usize].fetch_max(absences, Ordering::AcqRel);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Waits, after an absence of this process, until the store was read anew; not longer than it takes when it is well.
    ///
    /// What was known before the absence may send a request to an upstream that has left since, or to another process
    /// at its address.
    pub(crate) async fn read_anew(&self) {
        let absences = self.freezes.count();
        if self.is_read_after(absences) {
            return;
        }
        let mut changes = self.changes();
        let fresh = async {
            while !self.is_read_after(absences) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(FRESH_WAIT, fresh).await.is_err() {
            log::warn!(
                "the store was not read anew after an absence; requests go on by what was known before"
            );
            self.gave_up_after.fetch_max(absences, Ordering::Release);
        }
    }

    fn is_read_after(&self, absences: u64) -> bool {
        let read = self
            .read_after
            .iter()
            .map(|read| read.load(Ordering::Acquire));
        let gave_up = self.gave_up_after.load(Ordering::Acquire);
        read.min().unwrap_or_default().max(gave_up) >= absences
    }

    /// The world as of now; never waits.
    pub(crate) fn load(&self) -> Arc<World> {
        self.published.load_full()
    }

    /// Told at every change.
    pub(crate) fn changes(&self) -> Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn have(&self) -> WorldHave {
        let world = self.load();
        WorldHave {
            config_version: world.config_version(),
            upstreams_revision: world.upstreams.revision(),
            evacuated_revision: world.evacuated.revision,
        }
    }

    /// Confirms a part as of the start of a reading whose result has been applied.
    pub(crate) fn confirm(&self, part: WorldPart, reading: &Reading) {
        self.confirm_as_of(&[part], reading, reading.started_at);
    }

    /// Confirms all parts as of a time reported by another instance.
    pub(crate) fn confirm_all(&self, reading: &Reading, as_of: MonoTime) {
        let all = [
            WorldPart::Config,
            WorldPart::Upstreams,
            WorldPart::Evacuations,
        ];
        self.confirm_as_of(&all, reading, as_of);
    }

    fn confirm_as_of(&self, parts: &[WorldPart], reading: &Reading, as_of: MonoTime) {
        // The clock may not have counted an absence since the start, which would make the confirmation look too recent.
        if self.freezes.count() != reading.absences {
            return;
        }
        for part in parts {
            self.confirmed[*part as usize].fetch_max(as_of.0, Ordering::AcqRel);
        }
        let confirmed = self.confirmed();
        self.confirmations
            .send_if_modified(|known| std::mem::replace(known, confirmed) != confirmed);
    }

    /// Drops all confirmations, after an absence of this process.
    pub(crate) fn reset_confirmations(&self) {
        for part in &self.confirmed {
            // A part that is left out stays confirmed.
            let _ = part.fetch_update(Ordering::AcqRel, Ordering::Acquire, |time| {
                (time != u64::MAX).then_some(0)
            });
        }
    }

    pub(crate) fn part_confirmed(&self, part: WorldPart) -> MonoTime {
        MonoTime(self.confirmed[part as usize].load(Ordering::Acquire))
    }

    /// Time as of which all parts are confirmed.
    pub(crate) fn confirmed(&self) -> MonoTime {
        let parts = self.confirmed.iter();
        let oldest = parts.map(|part| part.load(Ordering::Acquire)).min();
        MonoTime(oldest.unwrap_or_default())
    }

    /// Receives the time as of which all parts are confirmed, when it changes.
    pub(crate) fn confirmations(&self) -> Receiver<MonoTime> {
        self.confirmations.subscribe()
    }

    /// Takes up what another instance tells of the store; `false` when it must be asked for what is lacking instead.
    pub(crate) fn apply_news(&self, news: &WorldNews) -> bool {
        if let Some((raw, revision)) = &news.config {
            self.apply_config(raw, *revision);
        }
        if let Some(evacuated) = &news.evacuated {
            self.apply_evacuated(evacuated);
        }
        let Some(upstreams) = &news.upstreams else {
            return true;
        };
        let _writing = self.write();
        let world = self.load();
        match world.upstreams.with_news(&self.codec, upstreams) {
            TakenUp::Newer(next) => self.publish_upstreams(&world, next),
            TakenUp::Older => {}
            TakenUp::Unfit => return false,
        }
        true
    }

    /// Puts a configuration in force if it is valid and newer than the one that is.
    ///
    /// A lower version never goes in force within a process's life: a read may be stale, and a peer may lag.
    pub(crate) fn apply_config(&self, raw: &Arc<Value>, revision: u64) {
        let _writing = self.write();
        let world = self.load();
        let config = match ConfigInForce::read(&self.codec, raw, revision) {
            Ok(config) => config,
            Err(problem) => {
                log::error!(revision = revision, problem = problem.as_str(); "configuration rejected; the last valid one stays in force");
                metrics::counter!("tc_config_rejected_total").increment(1);
                return;
            }
        };
        let before = world.config_version();
        if config.routing.version <= before {
            return;
        }
        log::info!(version = config.routing.version, before = before, revision = revision, routes = config.routing.routes.len(); "configuration in force");
        metrics::gauge!("tc_config_revision").set(config.routing.version as f64);
        self.publish(World {
            config: Some(Arc::new(config)),
            upstreams: Arc::clone(&world.upstreams),
            evacuated: Arc::clone(&world.evacuated),
        });
    }

    /// Puts in force which failure domains are evacuated, unless it is older than what is known.
    pub(crate) fn apply_evacuated(&self, evacuated: &EvacuatedDomains) {
        let _writing = self.write();
        let world = self.load();
        let known = &world.evacuated;
        if evacuated.revision < known.revision {
            return;
        }
        let is_change = evacuated.domains != known.domains;
        let now = MonoTime::now();
        let cold_until = |service: &ServiceName| {
            let config = world.config.as_ref();
            let cold = config.and_then(|config| config.service(service.as_str())?.cold_start);
            cold.map_or_else(MonoTime::default, |cold| now.after(cold.duration))
        };
        let next = World {
            config: world.config.clone(),
            upstreams: if is_change {
                Arc::new(
                    world
                        .upstreams
                        .with_evacuated(&evacuated.domains, cold_until),
                )
            } else {
                Arc::clone(&world.upstreams)
            },
            evacuated: Arc::new(evacuated.clone()),
        };
        if !is_change {
            self.published.store(Arc::new(next));
            return;
        }
        log::info!(domains = names_of(evacuated).as_str(), before = names_of(known).as_str(), revision = evacuated.revision; "evacuated failure domains changed");
        metrics::gauge!("tc_evacuated_domains").set(evacuated.domains.len() as f64);
        self.publish(next);
    }

    /// Takes up changes of registered upstreams.
    pub(crate) fn apply_upstream_events(&self, events: &[ObjectEvent], at: u64) {
        let _writing = self.write();
        let world = self.load();
        let upstreams = world.upstreams.with_events(&self.codec, events, at);
        self.publish_upstreams(&world, upstreams);
    }

    /// Takes up the whole list of registered upstreams as of a revision.
    pub(crate) fn replace_upstreams(&self, objects: &[WorldObject], at: u64) {
        let _writing = self.write();
        let world = self.load();
        if at < world.upstreams.revision() {
            return;
        }
        let upstreams = world.upstreams.replaced(&self.codec, objects, at);
        self.publish_upstreams(&world, upstreams);
    }

    /// Excludes an upstream that has announced that it is leaving from new requests, whatever state the store shows.
    pub(crate) fn mark_leaving(&self, id: &UpstreamId) {
        // Avoids the write lock for repeats: a leaving upstream announces it in every answer.
        if self.load().upstreams.has_announced_leaving(id) {
            return;
        }
        let _writing = self.write();
        let world = self.load();
        if world.upstreams.has_announced_leaving(id) {
            return;
        }
        log::info!(upstream = id.as_str(); "an upstream announces that it is leaving");
        metrics::counter!("tc_upstreams_leaving_total").increment(1);
        self.publish(World {
            config: world.config.clone(),
            upstreams: Arc::new(world.upstreams.with_leaving(id, MonoTime::now())),
            evacuated: Arc::clone(&world.evacuated),
        });
    }

    fn publish_upstreams(&self, world: &World, upstreams: UpstreamTable) {
        let changed = !upstreams.same_upstreams(&world.upstreams);
        if changed {
            log::info!(upstreams = upstreams.len(), before = world.upstreams.len(), revision = upstreams.revision(); "list of upstreams changed");
        }
        let next = World {
            config: world.config.clone(),
            upstreams: Arc::new(upstreams),
            evacuated: Arc::clone(&world.evacuated),
        };
        if changed {
            self.publish(next);
        } else {
            self.published.store(Arc::new(next));
        }
    }

    fn publish(&self, world: World) {
        self.published.store(Arc::new(world));
        self.changes.send_modify(|count| *count += 1);
    }

    fn write(&self) -> MutexGuard<'_, ()> {
        self.writing.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn names_of(evacuated: &EvacuatedDomains) -> String {
    let names: Vec<&str> = evacuated
        .domains
        .iter()
        .map(FailureDomain::as_str)
        .collect();
    names.join(",")
}
