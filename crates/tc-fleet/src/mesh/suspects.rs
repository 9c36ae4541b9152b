//! Requests and prompt parts suspected of crashing upstreams: the setup of their table, and what the process uses of it.

use std::{sync::Arc, time::Duration};

use futures::future::BoxFuture;
use tc_membership::home_and_copies;
use tc_policy::SuspectPolicy;
use tc_protocol::{Fingerprint, InstanceId, PermitRefusal, ServiceName, UpstreamId, WorkspaceName};

use super::{actor::Published, handle::Mesh, peers::Peers};
use crate::{
    peers::timed,
    suspects::{BlamedParts, Origin, SuspectPeers, SuspectTable, TrialGuard},
};

/// Crashes after which a request is quarantined. Upstreams also crash for other reasons, and requests that callers
/// retry are in flight during several such crashes: with a threshold of 2, one request in a few hundred would be
/// refused wrongly.
const CRASHES_TO_QUARANTINE: u32 = 3;
/// Crashes after which a prompt part is quarantined. Sound requests share parts, so a part is in flight in unrelated
/// crashes more often than a request, and its quarantine refuses more.
const CRASHES_TO_QUARANTINE_PART: u32 = 4;
/// Crashes from which a request runs only as a trial, one at a time. With a threshold of 1, all requests interrupted by
/// a single crash would wait for each other's trials.
const CRASHES_TO_TRIAL: u32 = 2;
/// Time after a crash in which no trial of its suspects starts. The upstreams of an outage crash within it, mostly, and
/// trials on the last of them would look like crashes by what they ran.
const TRIAL_DELAY: Duration = Duration::from_millis(250);
/// Duration of a quarantine. It is limited so that a wrongly quarantined request can run again without an operator.
const QUARANTINE_DURATION: Duration = Duration::from_mins(10);

/// Instances that keep a copy of the evidence of a service's home.
const COPIES: usize = 2;

pub(super) fn suspect_table(
    me: &InstanceId,
    published: &Arc<Published>,
    peers: &Arc<Peers>,
) -> SuspectTable {
    let policy = SuspectPolicy {
        crashes_to_quarantine: CRASHES_TO_QUARANTINE,
        crashes_to_quarantine_part: CRASHES_TO_QUARANTINE_PART,
        crashes_to_trial: CRASHES_TO_TRIAL,
        needs_lone_crash: true,
        trial_delay: TRIAL_DELAY,
        quarantine_duration: Some(QUARANTINE_DURATION),
    };
    SuspectTable::new(me.clone(), policy, suspect_peers(published, peers), None)
}

fn suspect_peers(published: &Arc<Published>, peers: &Arc<Peers>) -> SuspectPeers {
    let (published, peers) = (Arc::clone(published), Arc::clone(peers));
    SuspectPeers {
        home_and_copies: Box::new(move |key| {
            let members = published.members.load();
            let members = home_and_copies(key, &members, COPIES);
            members.into_iter().cloned().collect()
        }),
        send: Box::new(move |member, report| {
            let peers = Arc::clone(&peers);
            Box::pin(async move {
                let answer = peers.client(&member).suspects(timed(report)).await;
                answer.ok().map(tonic::Response::into_inner)
            })
        }),
    }
}

/// A trial run of a request suspected of crashing upstreams. Other runs of the same request wait until it is dropped.
pub struct SuspectTrial {
    guard: TrialGuard,
}

impl SuspectTrial {
    /// Returns true if no other run of the request is in flight, as far as its home knows.
    #[must_use]
    pub fn is_alone(&self) -> bool {
        self.guard.is_alone()
    }
}

/// A run of a request during which its upstream's connection broke.
pub struct BrokenRun {
    /// Fingerprint of the request.
    pub input: Fingerprint,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether no other run of the request was in flight; see [`SuspectTrial::is_alone`].
    pub was_alone: bool,
    /// Fingerprints of the parts of its prompt that may have crashed the upstream.
    pub parts: Vec<Fingerprint>,
    /// Finds out whether the upstream crashed. Parts count only then: a reset of many connections would otherwise count
    /// against every part in use.
    pub has_crashed: BoxFuture<'static, bool>,
}

impl Mesh {
    /// Waits until a request may run. Requests that are not suspected of crashing upstreams may run at once. Suspects
    /// run one at a time across all instances, and are refused after [`SuspectPolicy::crashes_to_quarantine`] crashes.
    ///
    /// Hold the returned guard until the run has ended.
    ///
    /// [`SuspectPolicy::crashes_to_quarantine`]: tc_policy::SuspectPolicy::crashes_to_quarantine
    pub async fn try_trial(
        &self,
        fingerprint: Fingerprint,
        service: &ServiceName,
        workspace: &WorkspaceName,
        slack: Duration,
    ) -> Result<Option<SuspectTrial>, PermitRefusal> {
        let origin = Origin {
            workspace: workspace.clone(),
            service: service.clone(),
        };
        let guard = self
            .inner
            .suspects
            .try_trial(fingerprint, origin, slack)
            .await?;
        Ok(guard.map(|guard| SuspectTrial { guard }))
    }

    /// Refuses a request that is quarantined as far as this instance knows.
    ///
    /// # Errors
    /// Returns the refusal if the request may not run.
    pub fn refuse_quarantined(&self, fingerprint: Fingerprint) -> Result<(), PermitRefusal> {
        self.inner.suspects.refuse_quarantined(fingerprint)
    }

    /// Refuses a request if parts of its prompt are quarantined as far as this instance knows.
    ///
    /// # Errors
    /// Returns the refusal if the request may not run.
    pub fn refuse_quarantined_parts(&self, parts: &[Fingerprint]) -> Result<(), PermitRefusal> {
        self.inner.suspects.refuse_quarantined_parts(parts)
    }

    /// Reports that an upstream's connection broke while it ran a request. The report is sent to the home of the
    /// service's suspects in the background.
    pub fn report_crash(&self, run: BrokenRun) {
        let suspects = &self.inner.suspects;
        let origin = Origin {
            workspace: run.workspace,
            service: run.service.clone(),
        };
        suspects.record_origin(run.input, origin);
        let parts = BlamedParts {
            service: run.service,
            parts: run.parts,
            has_crashed: run.has_crashed,
        };
        suspects.spawn_crash_report(run.input, run.upstream, run.was_alone, parts);
    }

    /// Reports that a request ran to completion, which clears what `cleared` has of it and of its prompt's parts.
    pub fn report_completed(
        &self,
        input: Fingerprint,
        cleared: &[Fingerprint],
        service: &ServiceName,
    ) {
        let suspects = &self.inner.suspects;
        suspects.report_completed(input, cleared, Some(service));
    }
}
