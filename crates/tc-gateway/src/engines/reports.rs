//! Reports the progress of runs to the homes that chose their engines.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tc_fleet::Mesh;
use tc_protocol::{
    InstanceId, Member, ServiceName,
    routing::{EngineLoad, RunProgress, RunReport},
};
use tokio::{sync::mpsc, time::sleep};

use super::EngineHomes;

/// Time for which reports are collected into a batch. An engine takes ten times as long to read a short prompt.
const BATCH_DELAY: Duration = Duration::from_millis(3);
/// Maximum number of reports received at once.
const MAX_BATCH: usize = 1_024;

struct PendingReport {
    home: Option<Member>,
    service: ServiceName,
    report: RunReport,
}

/// Sends run reports to the forwarding task; clones share the channel.
#[derive(Clone)]
pub(crate) struct RunReportSender(mpsc::UnboundedSender<PendingReport>);

/// Receiving end of [`RunReportSender`].
pub(crate) struct RunReports(mpsc::UnboundedReceiver<PendingReport>);

impl RunReportSender {
    /// Creates a connected sender and receiver.
    pub(crate) fn new() -> (Self, RunReports) {
        let (sender, reports) = mpsc::unbounded_channel();
        (Self(sender), RunReports(reports))
    }
}

impl RunReports {
    /// Forwards reports to the homes concerned. A lost report costs little: the home drops a run when its time is
    /// over.
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
    if let Err(error) = mesh.report_runs(&home, &service, &reports).await {
        log::debug!(runs = reports.len(), error = error.to_string().as_str(); "sending run reports to the home failed");
    }
}

/// A run on an engine. When it is dropped, its end is reported to the home.
pub(crate) struct EngineRun {
    reports: RunReportSender,
    home: Option<Member>,
    service: ServiceName,
    run: u64,
    ended: bool,
}

impl EngineRun {
    /// `home` is `None` if this instance chose the engine.
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

    /// Reports the time to the first event, and the load that the engine announced in its answer.
    pub(crate) fn first_event(&self, took: Duration, load: Option<EngineLoad>) {
        self.report(RunProgress::FirstEvent(took), load);
    }

    /// Reports that the engine broke the connection or was unreachable.
    pub(crate) fn failed(&mut self) {
        self.end(RunProgress::Failed);
    }

    /// Reports that the engine refused the request.
    pub(crate) fn refused(&mut self) {
        self.end(RunProgress::Refused);
    }

    fn end(&mut self, progress: RunProgress) {
        self.ended = true;
        self.report(progress, None);
    }

    fn report(&self, progress: RunProgress, load: Option<EngineLoad>) {
        // Fails only when the process is shutting down.
        let _ = self.reports.0.send(PendingReport {
            home: self.home.clone(),
            service: self.service.clone(),
            report: RunReport {
                run: self.run,
                progress,
                load,
            },
        });
    }
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        if !self.ended {
            self.report(RunProgress::Ended, None);
        }
    }
}
