//! What became of runs, told to the homes that chose their engines.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tc_fleet::Mesh;
use tc_protocol::{
    InstanceId, Member, ServiceName,
    routing::{RunProgress, RunReport},
};
use tokio::{sync::mpsc, time::sleep};

use super::EngineHomes;

/// How long news are gathered: an engine reads a short prompt in ten times this.
const GATHER: Duration = Duration::from_millis(3);
/// News taken up in one go.
const MOST: usize = 1_024;

struct Told {
    home: Option<Member>,
    service: ServiceName,
    report: RunReport,
}

/// Where news are put; clones share it.
#[derive(Clone)]
pub(crate) struct NewsSender(mpsc::UnboundedSender<Told>);

/// News that were put into a [`NewsSender`].
pub(crate) struct RunNews(mpsc::UnboundedReceiver<Told>);

impl NewsSender {
    /// A place to put news, and where they come out.
    pub(crate) fn new() -> (Self, RunNews) {
        let (sender, news) = mpsc::unbounded_channel();
        (Self(sender), RunNews(news))
    }
}

impl RunNews {
    /// Passes news on to the homes concerned. Lost ones cost little: the home forgets a run when its time is over.
    pub(crate) async fn pass_on(mut self, mesh: Mesh, homes: Arc<EngineHomes>) {
        let mut batch = Vec::new();
        while self.0.recv_many(&mut batch, MOST).await > 0 {
            sleep(GATHER).await;
            while let Ok(more) = self.0.try_recv() {
                batch.push(more);
            }
            let mut by_home: HashMap<(Option<InstanceId>, ServiceName), Vec<Told>> = HashMap::new();
            for told in batch.drain(..) {
                let home = told.home.as_ref().map(|home| home.id.clone());
                let key = (home, told.service.clone());
                by_home.entry(key).or_default().push(told);
            }
            for ((_, service), told) in by_home {
                let news: Vec<RunReport> = told.iter().map(|t| t.report).collect();
                let home = told.into_iter().find_map(|t| t.home);
                match home {
                    Some(home) => {
                        tokio::spawn(tell(mesh.clone(), home, service, news));
                    }
                    None => homes.note(&service, &news),
                }
            }
        }
    }
}

async fn tell(mesh: Mesh, home: Member, service: ServiceName, news: Vec<RunReport>) {
    if let Err(error) = mesh.tell_runs(&home, &service, &news).await {
        log::debug!(runs = news.len(), error = error.to_string().as_str(); "the home of engines cannot be told of runs");
    }
}

/// A run at an engine; its home hears of its end when it is dropped.
pub(crate) struct EngineRun {
    news: NewsSender,
    home: Option<Member>,
    service: ServiceName,
    run: u64,
    ended: bool,
}

impl EngineRun {
    /// `home` is `None` when this instance chose the engine.
    pub(super) const fn new(
        news: NewsSender,
        home: Option<Member>,
        service: ServiceName,
        run: u64,
    ) -> Self {
        Self {
            news,
            home,
            service,
            run,
            ended: false,
        }
    }

    /// The first event came.
    pub(crate) fn first_event(&self, took: Duration) {
        self.tell(RunProgress::FirstEvent(took));
    }

    /// The engine broke off, could not be reached, or was full.
    pub(crate) fn failed(&mut self) {
        self.ended = true;
        self.tell(RunProgress::Failed);
    }

    fn tell(&self, progress: RunProgress) {
        // Fails only when the process ends.
        let _ = self.news.0.send(Told {
            home: self.home.clone(),
            service: self.service.clone(),
            report: RunReport {
                run: self.run,
                progress,
            },
        });
    }
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(RunProgress::Ended);
        }
    }
}
