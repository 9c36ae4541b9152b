//! This instance's copy of the store: the active configuration, the registered upstreams and the
//! evacuated failure domains.
//!
//! A few instances watch the store and relay each change to the others ([`relay`]). The others
//! follow one of them ([`follow`]) and watch the store themselves only while no source keeps them
//! up to date.

mod catch_up;
mod config;
mod confirmations;
mod departed;
mod evacuated;
mod follow;
mod freshness;
mod hedge;
mod kind_watch;
mod leaving;
mod list_time;
mod relay;
mod removals;
mod store_gate;
mod store_read;
mod upstream_updates;
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
use tc_fleet::{EvacuatedDomains, StoreUpdate, StoredConfig, UpstreamUpdate, WorldHave};
use tc_platform::{ObjectEvent, StoredObject};
use tc_protocol::{FailureDomain, MonoTime, ServiceName, StoreRevision};
use tokio::sync::watch::{Receiver, Sender};

use crate::{codec::PlatformCodec, freeze::PauseMonitor};

use confirmations::{Confirmations, PART_COUNT, age_of_confirmation};

pub(crate) use catch_up::{fetch_gossiped_world, gossip_world};
pub(crate) use config::ActiveConfig;
pub(crate) use confirmations::WorldPart;
pub(crate) use evacuated::watch_evacuations;
pub(crate) use follow::{StoreRole, follow_source};
pub(crate) use relay::{Followers, relay_world};
pub use removals::{Completeness, HeldRemovals};
pub(crate) use store_gate::StoreGate;
pub(crate) use store_read::StoreRead;
pub use upstream_updates::ApplyOutcome;
pub use upstreams::UpstreamTable;
pub(crate) use watch::{WatchContext, wait_until_known, watch_config, watch_upstreams};

/// An immutable snapshot of the store, read by requests.
#[derive(Clone, Default)]
pub(crate) struct World {
    /// `None` until a configuration is known.
    pub(crate) config: Option<Arc<ActiveConfig>>,
    /// All registered upstreams, with those in evacuated failure domains marked.
    pub(crate) upstreams: Arc<UpstreamTable>,
    pub(crate) evacuated: Arc<EvacuatedDomains>,
}

impl World {
    /// Returns the version of the configuration, or 0 without one.
    fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |c| c.routing.version)
    }

    /// Returns true if both the configuration and a list of upstreams are known. Before that, every
    /// request would be refused.
    pub(crate) fn is_known(&self) -> bool {
        self.config.is_some() && self.upstreams.revision().is_known()
    }
}

/// Maximum number of upstreams named in a log line.
const MAX_LOGGED_UPSTREAMS: usize = 16;

/// Publishes the newest snapshot, and decides which data is newer.
pub(crate) struct WorldCell {
    codec: PlatformCodec,
    published: ArcSwap<World>,
    /// Locked by writers only.
    write_lock: Mutex<()>,
    changes: Sender<u64>,
    pause_monitor: Arc<PauseMonitor>,
    /// For each part, the number of pauses of this process before its last full read.
    pauses_at_full_read: [AtomicU64; PART_COUNT],
    confirmations: Confirmations,
    /// Number of pauses of this process before the confirmations were last dropped.
    pauses_at_reset: AtomicU64,
    followers: Arc<Followers>,
    store_gate: StoreGate,
    /// Number of the last pause after which no fresh read came in time, so that requests no longer
    /// wait for one.
    gave_up_at: AtomicU64,
}

impl WorldCell {
    pub(crate) fn new(codec: PlatformCodec, pause_monitor: Arc<PauseMonitor>) -> Self {
        Self {
            codec,
            published: ArcSwap::default(),
            write_lock: Mutex::default(),
            changes: Sender::new(0),
            pause_monitor,
            pauses_at_full_read: Default::default(),
            confirmations: Confirmations::default(),
            pauses_at_reset: AtomicU64::new(0),
            followers: Arc::default(),
            store_gate: StoreGate::default(),
            gave_up_at: AtomicU64::new(0),
        }
    }

    /// Returns the instances that follow this one.
    pub(crate) const fn followers(&self) -> &Arc<Followers> {
        &self.followers
    }

    /// Returns the gate for reads of the store.
    pub(crate) const fn store_gate(&self) -> &StoreGate {
        &self.store_gate
    }

    pub(crate) fn pause_monitor(&self) -> Arc<PauseMonitor> {
        Arc::clone(&self.pause_monitor)
    }

    /// Returns the current snapshot without blocking.
    pub(crate) fn load(&self) -> Arc<World> {
        self.published.load_full()
    }

    /// Returns a receiver that is notified of every change.
    pub(crate) fn changes(&self) -> Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn have(&self) -> WorldHave {
        let world = self.load();
        WorldHave {
            config_version: world.config_version(),
            upstreams_revision: world.upstreams.revision(),
            upstreams_digest: world.upstreams.digest(),
            evacuated_revision: world.evacuated.revision,
        }
    }

    /// Confirms a part as of the start of a read whose result has been applied.
    pub(crate) fn confirm(&self, part: WorldPart, store_read: &StoreRead) {
        self.confirm_as_of(&[part], store_read, store_read.started_at);
    }

    /// Confirms all parts as of a time reported by another instance.
    pub(crate) fn confirm_all(&self, store_read: &StoreRead, as_of: MonoTime) {
        self.confirm_as_of(&WorldPart::ALL, store_read, as_of);
    }

    fn confirm_as_of(&self, parts: &[WorldPart], store_read: &StoreRead, as_of: MonoTime) {
        // The clock may not have counted a pause since the start, which would make the confirmation
        // look too recent.
        if self.pause_monitor.count() != store_read.pauses {
            return;
        }
        self.confirmations.confirm(parts, as_of);
    }

    /// Drops all confirmations, after a pause of this process.
    pub(crate) fn reset_confirmations(&self) {
        let pauses = self.pause_monitor.count();
        self.confirmations.reset();
        self.pauses_at_reset.store(pauses, Ordering::Release);
    }

    /// Returns the time as of which a part is confirmed.
    pub(crate) fn part_confirmed(&self, part: WorldPart) -> MonoTime {
        self.unless_paused(self.confirmations.of(part))
    }

    /// Returns the time as of which all parts are confirmed.
    pub(crate) fn confirmed(&self) -> MonoTime {
        self.unless_paused(self.confirmations.oldest())
    }

    /// Returns the time of a confirmation, or the earliest time if this process was paused since.
    ///
    /// The clock may not have counted the pause, and the task that drops the confirmations may not have
    /// run yet.
    fn unless_paused(&self, confirmed: MonoTime) -> MonoTime {
        if self.pause_monitor.count() == self.pauses_at_reset.load(Ordering::Acquire) {
            confirmed
        } else {
            MonoTime::default()
        }
    }

    /// Returns a receiver of the time as of which all parts are confirmed.
    pub(crate) fn confirmations(&self) -> Receiver<MonoTime> {
        self.confirmations.subscribe()
    }

    /// Applies an update from another instance. Returns false if it does not fit the local state, so
    /// that the other must be asked for the missing part instead.
    pub(crate) fn apply_update(&self, update: &StoreUpdate) -> bool {
        if let Some(config) = &update.config {
            self.apply_config(config);
        }
        if let Some(evacuated) = &update.evacuated {
            self.apply_evacuated(evacuated);
        }
        let Some(upstreams) = &update.upstreams else {
            return true;
        };
        let _guard = self.lock_writes();
        let world = self.load();
        match world.upstreams.with_update(upstreams) {
            ApplyOutcome::Updated(next) => self.publish_upstreams(&world, next),
            ApplyOutcome::Outdated => {
                log::info!(known = world.upstreams.revision().to_string().as_str(), received = upstreams.revision.to_string().as_str(); "ignoring a relayed list of upstreams that is older than the local one");
            }
            ApplyOutcome::BaseMismatch => return false,
        }
        true
    }

    /// Applies the changed entries of an update that is not from this instance's source.
    pub(crate) fn apply_changed_entries(&self, update: &UpstreamUpdate) {
        let _guard = self.lock_writes();
        let world = self.load();
        if world.upstreams.revision().is_known() {
            self.publish_upstreams(&world, world.upstreams.with_changed_entries(update));
        }
    }

    /// Activates a configuration if it is newer than the active one. Entries that cannot be used are left out.
    ///
    /// The version never decreases within the life of a process, because a read may be stale and a
    /// peer may lag behind.
    pub(crate) fn apply_config(&self, stored: &Arc<StoredConfig>) {
        let revision = stored.revision;
        let _guard = self.lock_writes();
        let world = self.load();
        let config = match ActiveConfig::decode(&self.codec, stored) {
            Ok(config) => config,
            Err(problem) => {
                log::error!(revision = revision.to_string().as_str(), problem = problem.as_str(); "configuration rejected; the last valid one stays in force");
                metrics::counter!("tc_config_rejected_total").increment(1);
                return;
            }
        };
        let before = world.config_version();
        if config.routing.version <= before {
            return;
        }
        config.report_faults();
        let max_delay = self.confirmation_age(WorldPart::Config);
        let max_delay_ms = max_delay.map(|delay| delay.as_millis() as u64);
        log::info!(version = config.routing.version, before = before, revision = revision.to_string().as_str(), routes = config.routing.routes.len(), max_delay_ms = max_delay_ms; "configuration in force");
        metrics::gauge!("tc_config_revision").set(config.routing.version as f64);
        if let Some(delay) = max_delay {
            metrics::histogram!("tc_config_delay_ms").record(delay.as_secs_f64() * 1_000.0);
        }
        self.publish(World {
            config: Some(Arc::new(config)),
            upstreams: Arc::clone(&world.upstreams),
            evacuated: Arc::clone(&world.evacuated),
        });
    }

    /// Returns the longest time for which the store may have had a change of a part that this instance does not have, or
    /// `None` without a confirmation.
    pub(crate) fn confirmation_age(&self, part: WorldPart) -> Option<Duration> {
        age_of_confirmation(MonoTime::now(), self.part_confirmed(part))
    }

    /// Applies the set of evacuated failure domains, unless it is older than the known one.
    pub(crate) fn apply_evacuated(&self, evacuated: &EvacuatedDomains) {
        let _guard = self.lock_writes();
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
        log::info!(domains = domain_names(evacuated).as_str(), before = domain_names(known).as_str(), revision = evacuated.revision.to_string().as_str(); "evacuated failure domains changed");
        metrics::gauge!("tc_evacuated_domains").set(evacuated.domains.len() as f64);
        self.publish(next);
    }

    /// Applies changes of registered upstreams.
    pub(crate) fn apply_upstream_events(
        &self,
        events: &[ObjectEvent],
        at: StoreRevision,
        completeness: Completeness,
    ) {
        let _guard = self.lock_writes();
        let world = self.load();
        let upstreams = world
            .upstreams
            .with_events(&self.codec, events, at, completeness);
        self.publish_upstreams(&world, upstreams);
    }

    /// Replaces the list of registered upstreams by the full list as of a revision.
    pub(crate) fn replace_upstreams(&self, objects: &[StoredObject], at: StoreRevision) {
        let _guard = self.lock_writes();
        let world = self.load();
        if at < world.upstreams.revision() {
            return;
        }
        let upstreams = world.upstreams.with_list(&self.codec, objects, at);
        self.publish_upstreams(&world, upstreams);
    }

    fn publish_upstreams(&self, world: &World, upstreams: UpstreamTable) {
        let changed = !upstreams.same_upstreams(&world.upstreams);
        if changed {
            let left = upstreams
                .left_since(&world.upstreams, MAX_LOGGED_UPSTREAMS)
                .join(",");
            let confirmed_age = MonoTime::now().since(self.confirmed());
            log::info!(upstreams = upstreams.len(), before = world.upstreams.len(), left = left.as_str(), revision = upstreams.revision().to_string().as_str(), confirmed_age_ms = confirmed_age.as_millis() as u64; "list of upstreams changed");
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

    fn lock_writes(&self) -> MutexGuard<'_, ()> {
        self.write_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn domain_names(evacuated: &EvacuatedDomains) -> String {
    let names: Vec<&str> = evacuated
        .domains
        .iter()
        .map(FailureDomain::as_str)
        .collect();
    names.join(",")
}
