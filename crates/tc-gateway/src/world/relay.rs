//! Relays the state of the store to other instances as it changes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::{StreamExt, stream, stream::BoxStream};
use tc_fleet::{EvacuatedDomains, StoreUpdate, WorldHave};
use tc_protocol::MonoTime;
use tokio::{sync::watch::Receiver, time::sleep};

use super::{World, WorldCell};

/// Counts the instances that follow this one.
#[derive(Debug, Default)]
pub(crate) struct Followers {
    count: AtomicUsize,
    limit: AtomicUsize,
}

impl Followers {
    /// Sets the number of followers beyond which no more are accepted.
    pub(super) fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Accepts a follower until the guard is dropped, unless there are too many.
    fn accept(self: &Arc<Self>) -> Option<FollowerGuard> {
        let limit = self.limit.load(Ordering::Relaxed);
        let add = |count| (count < limit).then_some(count + 1);
        let added = self
            .count
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        let count = added.ok()? + 1;
        metrics::gauge!("tc_store_followers").set(count as f64);
        Some(FollowerGuard(Arc::clone(self)))
    }
}

struct FollowerGuard(Arc<Followers>);

impl Drop for FollowerGuard {
    fn drop(&mut self) {
        let count = self.0.count.fetch_sub(1, Ordering::Relaxed) - 1;
        metrics::gauge!("tc_store_followers").set(count as f64);
    }
}

/// State of the stream to one other instance.
struct Relay {
    _follower: FollowerGuard,
    cell: Arc<WorldCell>,
    /// Receipt of the call; confirmations are sent relative to it.
    received_at: MonoTime,
    changes: Receiver<u64>,
    confirmations: Receiver<MonoTime>,
    heartbeat_interval: Duration,
    baseline: Baseline,
}

/// State that the next update is relative to.
enum Baseline {
    /// Nothing was sent yet; the follower reported that it has this.
    Reported(WorldHave),
    Sent(Arc<World>),
}

/// Sends what the follower lacks at once, then each change and each newer confirmation. Without
/// either, sends a message every `heartbeat_interval`, so that silence shows that this instance or
/// the connection to it is lost. Returns `None` if this instance has too many followers.
pub(crate) fn relay_world(
    cell: &Arc<WorldCell>,
    have: WorldHave,
    heartbeat_interval: Duration,
) -> Option<BoxStream<'static, StoreUpdate>> {
    let relay = Relay {
        _follower: cell.followers().accept()?,
        cell: Arc::clone(cell),
        received_at: MonoTime::now(),
        changes: cell.changes(),
        confirmations: cell.confirmations(),
        heartbeat_interval,
        baseline: Baseline::Reported(have),
    };
    let updates = stream::unfold(relay, |mut relay| async move {
        let update = relay.next().await;
        Some((update, relay))
    });
    Some(updates.boxed())
}

impl Relay {
    async fn next(&mut self) -> StoreUpdate {
        if matches!(self.baseline, Baseline::Sent(_)) {
            // The snapshots are compared whichever of these ends the wait.
            tokio::select! {
                _ = self.changes.changed() => {}
                _ = self.confirmations.changed() => {}
                () = sleep(self.heartbeat_interval) => {}
            }
        }
        self.changes.mark_unchanged();
        self.confirmations.mark_unchanged();
        // Read before the snapshot, so that the snapshot is at least as new as the confirmation
        // sent with it.
        let confirmed = self.cell.confirmed();
        let world = self.cell.load();
        let update = self.build_update(&world, confirmed);
        self.baseline = Baseline::Sent(world);
        update
    }

    fn build_update(&self, world: &Arc<World>, confirmed: MonoTime) -> StoreUpdate {
        let (known_version, known_evacuated, upstreams) = match &self.baseline {
            Baseline::Reported(have) => {
                let upstreams = &world.upstreams;
                let is_same = upstreams.revision() == have.upstreams_revision
                    && upstreams.digest() == have.upstreams_digest;
                let is_needed = upstreams.revision().is_known() && !is_same;
                let update = is_needed.then(|| upstreams.update_since(have.upstreams_revision));
                (have.config_version, have.evacuated_revision, update)
            }
            Baseline::Sent(last) => {
                let same = Arc::ptr_eq(&last.upstreams, &world.upstreams);
                let update = (!same).then(|| world.upstreams.update_after(&last.upstreams));
                let known_evacuated = if last.evacuated.domains == world.evacuated.domains {
                    world.evacuated.revision
                } else {
                    last.evacuated.revision
                };
                (last.config_version(), known_evacuated, update.flatten())
            }
        };
        let config = world.config.as_ref();
        let config = config.filter(|config| config.routing.version > known_version);
        let is_newer = world.evacuated.revision > known_evacuated;
        StoreUpdate {
            confirmed_ms: (confirmed != MonoTime::default() && world.is_known())
                .then(|| confirmed.millis_since(self.received_at)),
            config: config.map(|config| Arc::clone(&config.stored)),
            upstreams,
            evacuated: is_newer.then(|| EvacuatedDomains::clone(&world.evacuated)),
            more_follows: false,
        }
    }
}
