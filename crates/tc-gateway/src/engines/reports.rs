//! What became of runs, pending to the homes that chose their engines.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tc_fleet::Mesh;
use tc_protocol::{
    InstanceId, Member, ServiceName,
    routing::{RunProgress, RunReport},
};
use tokio::{sync::mpsc, time::sleep};

use super::EngineHomes;

/// How long reports are gathered: an engine reads a short prompt in ten times this.
const BATCH_DELAY: Duration = Duration::from_millis(3);
/// News taken up in one go.
const MAX_BATCH: usize = 1_024;

struct PendingReport {
    home: Option<Member>,
    service: ServiceName,
    report: RunReport,
}

/// Where reports are put; clones share it.
#[derive(Clone)]
pub(crate) struct RunReportSender(mpsc::UnboundedSender<PendingReport>);

/// News that were put into a [`RunReportSender`].
pub(crate) struct RunReports(mpsc::UnboundedReceiver<PendingReport>);

impl RunReportSender {
    /// A place to put reports, and where they come out.
    pub(crate) fn new() -> (Self, RunReports) {
        let (sender, reports) = mpsc::unbounded_channel();
        (Self(sender), RunReports(reports))
    }
}

impl RunReports {
    /// Passes reports on to the homes concerned. Lost ones cost little: the home forgets a run when its time is over.
    pub(crate) async fn forward(mut self, mesh: Mesh, homes: Arc<EngineHomes>) {
        let mut batch = Vec::new();
        while self.0.recv_many(&mut batch, MAX_BATCH).await > 0 {
            sleep(BATCH_DELAY).await;
            while let Ok(more) = self.0.try_recv() {
                batch.push(more);
            }
            let mut by_home: HashMap<(Option<InstanceId>, ServiceName), Vec<PendingReport>> =
                HashMap::new();
            for pending in batch.drain(..) {
                let home = pending.home.as_ref().map(|home| home.id.clone());
                let key = (home, pending.service.clone());
                by_home.entry(key).or_default().push(pending);
            }
            for ((_, service), pending) in by_home {
                let reports: Vec<RunReport> = pending.iter().map(|t| t.report).collect();
                let home = pending.into_iter().find_map(|t| t.home);
                match home {
                    Some(home) => {
                        tokio::spawn(send_reports(mesh.clone(), home, service, reports));
                    }
                    None => homes.record(&service, &reports),
                }
            }
        }
    }
}

async fn send_reports(mesh: Mesh, home: Member, service: ServiceName, reports: Vec<RunReport>) {
    if let Err(error) = mesh.tell_runs(&home, &service, &reports).await {
        log::debug!(runs = reports.len(), error = error.to_string().as_str(); "sending run reports to the home failed");
    }
}

/// A run at an engine; its home hears of its end when it is dropped.
pub(crate) struct EngineRun {
    reports: RunReportSender,
    home: Option<Member>,
    service: ServiceName,
    run: u64,
    ended: bool,
}

impl EngineRun {
    /// `home` is `None` when this instance chose the engine.
    pub(super) const fn new(
        reports: RunReportSender,
        home: Option<Member>,
        service: ServiceName,
        run: u64,
    ) -> Self {
        Self {
            reports,
            home,
            service,
            run,
            ended: false,
        }
    }

    /// The first event came.
    pub(crate) fn first_event(&self, took: Duration) {
        self.report(RunProgress::FirstEvent(took));
    }

    /// The engine broke off, could not be reached, or was full.
    pub(crate) fn failed(&mut self) {
        self.ended = true;
        self.report(RunProgress::Failed);
    }

    fn report(&self, progress: RunProgress) {
        // Fails only when the process ends.
        let _ = self.reports.0.send(PendingReport {
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
            self.report(RunProgress::Ended);
        }
    }
}
