//! Requests and parts of prompts that crash upstreams: the gate before each send, and reports of crashes and answers.

use futures::FutureExt;
use tc_fleet::{BrokenRun, SuspectTrial};
use tc_protocol::{
    PermitRefusal, RefusalReason,
    routing::{Prompt, RegisteredUpstream},
};

use super::{Refusal, RoutedRequest, RunContext, attempts::Attempts, send_failure::SendFailure};

/// How far an answer had come when its connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerProgress {
    NotBegun,
    /// At least one event has arrived.
    Begun,
}

impl RoutedRequest {
    /// Reports that an upstream has begun and completed an answer, so that the parts of the prompt do not crash upstreams.
    /// Only a whole answer proves that for the request itself, which may crash an upstream at its end.
    pub(super) fn report_completed(&self, cx: &RunContext, is_whole: bool) {
        let input = self.fingerprint();
        let mut cleared = self.part_fingerprints();
        if is_whole {
            cleared.push(input);
        }
        cx.mesh.report_completed(input, &cleared, &self.service);
    }

    /// Returns the parts of the prompt that other requests may share, for log lines.
    fn part_labels(&self) -> String {
        let parts = self.head.prompt.as_ref().map(Prompt::shared_parts);
        let labels = parts.unwrap_or_default().iter();
        let labels: Vec<String> = labels.map(|part| format!("{:x}", part.id)).collect();
        labels.join(",")
    }
}

/// Refuses a request that is known to crash upstreams.
pub(super) fn refuse_quarantined(cx: &RunContext, req: &RoutedRequest) -> Result<(), Refusal> {
    let refused = cx.mesh.refuse_quarantined(req.fingerprint());
    refused.map_err(|refused| suspect_refusal(&refused))?;
    let refused = cx.mesh.refuse_quarantined_parts(&req.part_fingerprints());
    refused.map_err(|refused| part_refusal(&refused))
}

impl Attempts {
    /// Waits for permission to run a request that may crash upstreams; `None` for any other request.
    pub(super) async fn acquire_run(
        &self,
        cx: &RunContext,
        req: &RoutedRequest,
    ) -> Result<Option<SuspectTrial>, SendFailure> {
        let (input, workspace) = (req.fingerprint(), req.workspace_name());
        let slack = req.time_to_next_event();
        let trial = cx.mesh.try_trial(input, &req.service, &workspace, slack);
        let trial = trial.await.map_err(SendFailure::Suspect)?;
        let refused = cx.mesh.refuse_quarantined_parts(&req.part_fingerprints());
        refused.map_err(SendFailure::SuspectPart)?;
        Ok(trial)
    }
}

/// Reports that an upstream broke the connection while it ran the request, which may have crashed it.
///
/// The parts of a prompt can have done so only before the answer has begun.
pub(super) fn report_crash(
    cx: &RunContext,
    req: &RoutedRequest,
    upstream: &RegisteredUpstream,
    progress: AnswerProgress,
    trial: Option<&SuspectTrial>,
) {
    let was_alone = trial.is_some_and(SuspectTrial::is_alone);
    let (input, workspace) = (req.fingerprint(), req.workspace_name());
    log::info!(request = &*req.head.request, upstream = upstream.id.as_str(), input = format!("{:016x}", input.0).as_str(), parts = req.part_labels().as_str(), begun = progress == AnswerProgress::Begun, alone = was_alone; "connection broke during a run");
    let parts = match progress {
        // An upstream that leaves refuses connections without a crash.
        AnswerProgress::NotBegun if cx.world.takes_work(&upstream.id) => req.part_fingerprints(),
        AnswerProgress::NotBegun | AnswerProgress::Begun => Vec::new(),
    };
    let (client, address) = (cx.client.clone(), upstream.address);
    cx.mesh.report_crash(BrokenRun {
        input,
        service: req.service.clone(),
        workspace,
        upstream: upstream.id.clone(),
        was_alone,
        parts,
        has_crashed: async move { client.is_refused(address).await }.boxed(),
    });
}

pub(super) fn part_refusal(refused: &PermitRefusal) -> Refusal {
    metrics::counter!("tc_quarantine_refusals_total").increment(1);
    let reason = "a part of the prompt has crashed upstreams that ran it";
    Refusal::not_run(reason, refused.retry_after)
}

pub(super) fn suspect_refusal(refused: &PermitRefusal) -> Refusal {
    let reason = match refused.reason {
        RefusalReason::Quarantined => {
            metrics::counter!("tc_quarantine_refusals_total").increment(1);
            "the request has crashed upstreams that ran it"
        }
        _ => "the request may crash upstreams and another run of it is in progress",
    };
    Refusal::not_run(reason, refused.retry_after)
}
