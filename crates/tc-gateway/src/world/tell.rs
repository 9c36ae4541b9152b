//! Telling other instances what the store says, as it changes.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream, stream::BoxStream};
use tc_fleet::{EvacuatedDomains, WorldHave, WorldNews};
use tokio::{sync::watch::Receiver, time::timeout};

use super::{World, WorldCell};

/// What one other instance was told so far.
struct Told {
    cell: Arc<WorldCell>,
    changes: Receiver<u64>,
    beat: Duration,
    last: Last,
}

enum Last {
    /// Nothing yet; it has this.
    Has(WorldHave),
    World(Arc<World>),
}

/// Tells at once what the other lacks, then each change; without one, a word every `beat`, so that silence shows that
/// this instance or the way from it is gone.
pub(crate) fn tell_world(
    cell: &Arc<WorldCell>,
    have: WorldHave,
    beat: Duration,
) -> BoxStream<'static, WorldNews> {
    let told = Told {
        cell: Arc::clone(cell),
        changes: cell.changes(),
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
            // Whether by a change or by the time, the worlds are compared.
            let _ = timeout(self.beat, self.changes.changed()).await;
        }
        self.changes.mark_unchanged();
        let world = self.cell.load();
        let news = self.news(&world);
        self.last = Last::World(world);
        news
    }

    fn news(&self, world: &Arc<World>) -> WorldNews {
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
            in_touch: self.cell.is_in_touch(),
            config: config.map(|config| (Arc::clone(&config.raw), config.revision)),
            upstreams,
            evacuated: is_newer.then(|| EvacuatedDomains::clone(&world.evacuated)),
        }
    }
}
