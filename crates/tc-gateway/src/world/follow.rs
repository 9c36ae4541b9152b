//! Hearing of the store from another instance.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream::BoxStream};
use tc_fleet::{Mesh, MeshError, WorldNews};
use tc_membership::{SourceTiming, StoreSource};
use tc_protocol::{InstanceId, MonoTime};
use tokio::{
    sync::watch::{Receiver, Sender},
    time::{sleep, timeout},
};

use super::{Reading, WorldCell, WorldPart};

/// Whether this instance watches the store, as the rest of the process reads it.
pub(crate) struct StoreRole {
    watches: Sender<bool>,
    check_after: Sender<Duration>,
}

impl StoreRole {
    /// A role that is not decided yet.
    pub(crate) fn new(timing: SourceTiming) -> Self {
        Self {
            watches: Sender::new(false),
            check_after: Sender::new(timing.watch_after),
        }
    }

    /// Told when it changes.
    pub(crate) fn watches(&self) -> Receiver<bool> {
        self.watches.subscribe()
    }

    /// See [`StoreSource::list_after`].
    pub(crate) fn check_after(&self) -> Receiver<Duration> {
        self.check_after.subscribe()
    }
}

type News = BoxStream<'static, Result<WorldNews, MeshError>>;

/// Another instance's news, as they come.
struct Following {
    from: InstanceId,
    news: News,
    reading: Reading,
}

struct Follower {
    mesh: Mesh,
    cell: Arc<WorldCell>,
    timing: SourceTiming,
    source: StoreSource,
    role: StoreRole,
    following: Option<Following>,
    is_settled: bool,
}

/// Follows one of the instances that watch the store, and decides whether this one watches it too; runs until it is dropped.
pub(crate) async fn follow_source(
    mesh: Mesh,
    cell: Arc<WorldCell>,
    timing: SourceTiming,
    role: StoreRole,
    mut settled: Receiver<bool>,
) {
    let mut members = mesh.changes();
    let freezes = cell.freezes();
    let mut absences = freezes.changes();
    let me = mesh.me().id.clone();
    let mut follower = Follower {
        source: StoreSource::new(me, timing, MonoTime::now()),
        mesh,
        cell,
        timing,
        role,
        following: None,
        is_settled: false,
    };
    follower.take_members();
    loop {
        follower.look().await;
        let look_again = follower.source.next_check_in(MonoTime::now());
        let news = next_news(&mut follower.following, look_again);
        tokio::select! {
            heard = news => follower.take(heard),
            _ = members.changed() => follower.take_members(),
            Ok(_) = settled.wait_for(|settled| *settled), if !follower.is_settled => follower.settled(),
            _ = absences.changed() => follower.resumed(),
        }
    }
}

/// What came of waiting for news.
enum Heard {
    /// Nothing yet.
    Nothing,
    News(WorldNews),
    /// Why none will come any more.
    Broke(String),
}

async fn next_news(following: &mut Option<Following>, wait: Duration) -> Heard {
    let Some(following) = following else {
        sleep(wait).await;
        return Heard::Nothing;
    };
    match timeout(wait, following.news.next()).await {
        Ok(Some(Ok(news))) => Heard::News(news),
        Ok(Some(Err(error))) => Heard::Broke(error.to_string()),
        Ok(None) => Heard::Broke("its news ended".to_owned()),
        Err(_) => Heard::Nothing,
    }
}

impl Follower {
    fn take_members(&mut self) {
        let members = self.mesh.members();
        self.source.update_members(&members);
    }

    fn settled(&mut self) {
        self.is_settled = true;
        self.source.mark_settled();
    }

    /// Drops the stream and all confirmations after an absence, because their age is unknown.
    fn resumed(&mut self) {
        self.following = None;
        self.source.resumed(MonoTime::now());
        self.cell.reset_confirmations();
    }

    /// Begins to follow whoever is to be followed now, and says whether this instance watches.
    async fn look(&mut self) {
        self.update_role();
        let source = self.source.source(MonoTime::now());
        let followed = self.following.as_ref().map(|f| &f.from);
        if source.as_ref() != followed {
            self.following = None;
            if let Some(source) = source {
                self.begin(source).await;
                self.update_role();
            }
        }
    }

    /// Publishes whether this instance watches the store and from which age on it lists it.
    fn update_role(&self) {
        let now = MonoTime::now();
        let age = now.since(self.cell.confirmed());
        metrics::gauge!("tc_store_confirmed_age_ms").set(age.as_secs_f64() * 1_000.0);
        self.role.check_after.send_replace(self.source.list_after());
        let watches = self.source.should_watch(now);
        let changed = self.role.watches.send_if_modified(|known| {
            let changed = *known != watches;
            *known = watches;
            changed
        });
        if changed {
            log::info!(watches = watches, confirmed_age_ms = age.as_millis() as u64; "whether this instance watches the store has changed");
            metrics::gauge!("tc_store_watcher").set(f64::from(u8::from(watches)));
        }
    }

    async fn begin(&mut self, source: InstanceId) {
        let members = self.mesh.members();
        let Some(member) = members.iter().find(|member| member.id == source) else {
            return;
        };
        let reading = Reading::start(&self.cell.freezes());
        let have = self.cell.have();
        let limit = self.timing.heartbeat_interval;
        let begun = timeout(limit, self.mesh.follow_world(member, have)).await;
        match begun {
            Ok(Ok(news)) => {
                log::info!(from = source.as_str(), config = have.config_version, upstreams = have.upstreams_revision; "another instance is followed for news of the store");
                self.following = Some(Following {
                    from: source,
                    news,
                    reading,
                });
            }
            Ok(Err(error)) => self.broke(&source, &error.to_string()),
            Err(_) => self.broke(&source, "no answer in time"),
        }
    }

    fn take(&mut self, heard: Heard) {
        let Some(following) = &self.following else {
            return;
        };
        let from = following.from.clone();
        let reading = following.reading;
        match heard {
            Heard::Nothing => {}
            Heard::News(news) => self.take_news(&from, &reading, &news),
            Heard::Broke(problem) => self.broke(&from, &problem),
        }
    }

    fn take_news(&mut self, from: &InstanceId, reading: &Reading, news: &WorldNews) {
        let now = MonoTime::now();
        let confirmed = news.confirmed_ms.map_or_else(MonoTime::default, |ms| {
            reading.started_at.offset_by_millis(ms).min(now)
        });
        self.source.record_confirmation(now, from, confirmed);
        if !self.cell.apply_news(news) {
            log::info!(from = from.as_str(); "news of the store do not fit what is known here; the source is asked anew");
            self.following = None;
            return;
        }
        self.cell.confirm_all(reading, confirmed);
        if now.since(confirmed) < self.timing.stale_after {
            self.cell.note_read(WorldPart::Config, reading.absences);
            self.cell.note_read(WorldPart::Upstreams, reading.absences);
            self.cell
                .note_read(WorldPart::Evacuations, reading.absences);
        }
    }

    fn broke(&mut self, from: &InstanceId, problem: &str) {
        log::info!(from = from.as_str(), problem = problem; "an instance that is followed for news of the store does not tell any");
        self.following = None;
        self.source.source_failed(MonoTime::now(), from);
        self.mesh.doubt(from);
    }
}
