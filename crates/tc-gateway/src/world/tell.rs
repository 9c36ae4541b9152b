//! Telling other instances what the store says, as it changes.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream, stream::BoxStream};
use tc_fleet::{EvacuatedDomains, WorldHave, WorldNews};
use tc_protocol::MonoTime;
use tokio::{sync::watch::Receiver, time::sleep};

use super::{World, WorldCell};

/// What one other instance was told so far.
struct Told {
    cell: Arc<WorldCell>,
    /// Receipt of the call; confirmations are sent relative to it.
    received_at: MonoTime,
    changes: Receiver<u64>,
    confirmations: Receiver<MonoTime>,
    beat: Duration,
    last: Last,
}

enum Last {
    /// Nothing yet; it has this.
    Has(WorldHave),
    World(Arc<World>),
}

/// Sends at once what the other lacks, then each change and each newer confirmation. Without either, sends a message every
/// `beat`, so that silence shows that this instance or the connection to it is lost.
pub(crate) fn tell_world(
    cell: &Arc<WorldCell>,
    have: WorldHave,
    beat: Duration,
) -> BoxStream<'static, WorldNews> {
    let told = Told {
        cell: Arc::clone(cell),
        received_at: MonoTime::now(),
        changes: cell.changes(),
        confirmations: cell.confirmations(),
        beat,
        last: Last::Has(have),
    };
    stream::unfold(told, |mut told| async move {
        let news = told.next().await;
        Some((news, told))
    })
    .boxed()
}

impl Told {
    async fn next(&mut self) -> WorldNews {
        if matches!(self.last, Last::World(_)) {
            // The worlds are compared whichever of these ends the wait.
            tokio::select! {
                _ = self.changes.changed() => {}
                _ = self.confirmations.changed() => {}
                () = sleep(self.beat) => {}
            }
        }
        self.changes.mark_unchanged();
        self.confirmations.mark_unchanged();
        // Read before the world, so that the world is at least as new as the confirmation sent with it.
        let confirmed = self.cell.confirmed();
        let world = self.cell.load();
        let news = self.news(&world, confirmed);
        self.last = Last::World(world);
        news
    }

    fn news(&self, world: &Arc<World>, confirmed: MonoTime) -> WorldNews {
        let (known_version, known_evacuated, upstreams) = match &self.last {
            Last::Has(have) => {
                let upstreams = &world.upstreams;
                let is_known = upstreams.revision() > 0;
                let news = is_known.then(|| upstreams.news_since(have.upstreams_revision));
                (have.config_version, have.evacuated_revision, news)
            }
            Last::World(last) => {
                let same = Arc::ptr_eq(&last.upstreams, &world.upstreams);
                let news = (!same).then(|| world.upstreams.news_after(&last.upstreams));
                let known_evacuated = if last.evacuated.domains == world.evacuated.domains {
                    world.evacuated.revision
                } else {
                    last.evacuated.revision
                };
                (last.config_version(), known_evacuated, news.flatten())
            }
        };
        let config = world.config.as_ref();
        let config = config.filter(|config| config.routing.version > known_version);
        let is_newer = world.evacuated.revision > known_evacuated;
        WorldNews {
            confirmed_ms: (confirmed != MonoTime::default() && world.is_known())
                .then(|| confirmed.millis_since(self.received_at)),
            config: config.map(|config| (Arc::clone(&config.raw), config.revision)),
            upstreams,
            evacuated: is_newer.then(|| EvacuatedDomains::clone(&world.evacuated)),
        }
    }
}
