//! Permit requests: selects an upstream, requests a permit from its home, follows redirects and reports why no permit
//! was obtained.

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering::Relaxed},
    },
    time::Duration,
};

use arc_swap::ArcSwap;
use ractor::ActorRef;
use tc_policy::HeldPermit;
use tc_protocol::{
    FleetView, Grant, InstanceId, MonoTime, Outcome, Permit, PermitId, PermitRefusal,
    PermitRequest, RefusalReason, Release, UpstreamId,
};
use tokio::sync::oneshot;

use super::{
    baseline::RoundRobin,
    held::{Held, HeldKey, HeldTable},
    route::{CancelGuard, Granted, Route, into_granted},
    target::Target,
};
use crate::{
    PermitPolicy, convert,
    generated::PermitAsk,
    homes::{HomeAnswer, HomeRequest, HomeVerdict, HomesMsg},
    node::NodeMsg,
    peers::{PeerPool, ToHome},
    summary::{InFlightGuard, SummaryTable},
    suspects::{CalledUpstream, Origin, SuspectTable, TrialGuard},
};

/// Maximum number of redirects; after that, the request queues at the home it is sent to.
pub(super) const MAX_REDIRECTS: u32 = 2;
/// Maximum number of homes tried that refused or were unreachable.
const MAX_FAILURES: u32 = 4;
/// Delay for membership to reassign homes before a request is tried again.
const REHOME_DELAY: Duration = Duration::from_millis(50);
/// Retry hint if the home gave none.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refusal of a request whose slack ran out before any home refused it.
const TOO_LATE: PermitRefusal = PermitRefusal {
    reason: RefusalReason::TooLate,
    retry_after: RETRY_AFTER,
};

/// Arguments of [`PermitClient::new`].
pub(crate) struct PermitClientArgs {
    pub(crate) me: InstanceId,
    pub(crate) policy: PermitPolicy,
    pub(crate) view: Arc<ArcSwap<FleetView>>,
    pub(crate) summaries: Arc<SummaryTable>,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) homes: ActorRef<HomesMsg>,
    pub(crate) node: ActorRef<NodeMsg>,
    pub(crate) held: Arc<HeldTable>,
    pub(crate) suspects: Arc<SuspectTable>,
}

/// Obtains permits for the requests of this instance.
pub(crate) struct PermitClient {
    pub(super) args: PermitClientArgs,
    next_number: AtomicU64,
    round_robin: RoundRobin,
}

/// State of one permit request across its attempts.
#[derive(Default)]
pub(super) struct Progress {
    pub(super) redirects: u32,
    pub(super) failures: u32,
    pub(super) redirected: HashSet<UpstreamId>,
    pub(super) preferred: Option<UpstreamId>,
    pub(super) refused: HashSet<UpstreamId>,
    pub(super) unreachable: HashSet<InstanceId>,
    pub(super) last_refusal: Option<PermitRefusal>,
}

impl PermitClient {
    pub(crate) fn new(args: PermitClientArgs) -> Self {
        Self {
            args,
            next_number: AtomicU64::new(1),
            round_robin: RoundRobin::default(),
        }
    }

    /// Requests a permit for any upstream of the service. After a refusal, the call has not been sent.
    pub(crate) async fn request_permit(
        self: Arc<Self>,
        request: PermitRequest,
    ) -> Result<Permit, PermitRefusal> {
        if self.args.policy == PermitPolicy::Baseline {
            return self
                .round_robin
                .request_permit(&self.args.view.load(), &request);
        }
        let started = MonoTime::now();
        let suspects = &self.args.suspects;
        let trial = suspects
            .try_trial(request.fingerprint, origin(&request), request.slack)
            .await?;
        let mut progress = Progress::default();
        loop {
            let left = request.slack.saturating_sub(MonoTime::now().since(started));
            // Without slack, a permit can still be granted immediately, but only by the first home.
            if left.is_zero() && progress.last_refusal.is_some() {
                return Err(final_refusal(&progress));
            }
            let Some(target) = self.choose_target(&request, &mut progress) else {
                // Redirected but without any other upstream: queue at one that has redirected the request.
                if progress.redirects < MAX_REDIRECTS && !progress.redirected.is_empty() {
                    progress.redirects = MAX_REDIRECTS;
                    continue;
                }
                if progress.unreachable.is_empty() || left <= REHOME_DELAY {
                    return Err(final_refusal(&progress));
                }
                tokio::time::sleep(REHOME_DELAY).await;
                progress.unreachable.clear();
                continue;
            };
            let may_redirect = progress.redirects < MAX_REDIRECTS;
            let answer = self
                .request_from_home(&request, &target, left, may_redirect, trial.is_some())
                .await;
            match answer {
                Some(Ok(grant)) => return Ok(self.build_permit(&request, &target, grant, trial)),
                Some(Err(verdict)) if is_moved(&verdict, &target) => {
                    progress.last_refusal.get_or_insert(TOO_LATE);
                    tokio::time::sleep(REHOME_DELAY.min(left)).await;
                }
                Some(Err(verdict)) => Self::record_verdict(&mut progress, &target, verdict),
                None => self.record_unreachable(&mut progress, &target),
            }
            if progress.failures >= MAX_FAILURES {
                return Err(final_refusal(&progress));
            }
        }
    }

    /// Sends one request to the home of the target. Returns `None` if the home is unreachable.
    async fn request_from_home(
        &self,
        request: &PermitRequest,
        target: &Target,
        slack: Duration,
        may_redirect: bool,
        suspect: bool,
    ) -> Option<Result<Granted, HomeVerdict>> {
        let number = self.next_number.fetch_add(1, Relaxed);
        let id = target.state.upstream.id.clone();
        let _in_use = self.args.summaries.cell(&id).map(InFlightGuard::new);
        let (on_answer, answer) = oneshot::channel();
        // A grant that is not received releases itself, so that a request can be dropped at any time without a leak.
        let route = self.route(&id, &target.home);
        let deliver = move |answer: Option<HomeAnswer>| {
            let _ = on_answer.send(answer.map(|answer| into_granted(answer, route)));
        };
        let home_request = self.home_request(request, number, slack, may_redirect, suspect);
        let mut cancel = CancelGuard {
            route: Some(self.route(&id, &target.home)),
            number,
        };
        self.send_request(request, target, home_request, Box::new(deliver));
        let answer = answer.await.ok().flatten();
        cancel.route = None;
        answer
    }

    fn home_request(
        &self,
        request: &PermitRequest,
        number: u64,
        slack: Duration,
        may_redirect: bool,
        suspect: bool,
    ) -> HomeRequest {
        let view = self.args.view.load();
        let weight = view
            .config
            .workspaces
            .get(&request.workspace)
            .map_or(1, |w| w.weight);
        HomeRequest {
            entry: self.args.me.clone(),
            number,
            workspace: request.workspace.clone(),
            weight,
            priority: request.priority,
            slack,
            run_for: request.run_for,
            estimate: request.estimate,
            fingerprint: request.fingerprint,
            may_redirect,
            suspect,
        }
    }

    fn send_request(
        &self,
        request: &PermitRequest,
        target: &Target,
        home_request: HomeRequest,
        deliver: Box<dyn FnOnce(Option<HomeAnswer>) + Send>,
    ) {
        let upstream = target.state.upstream.id.clone();
        if target.home == self.args.me {
            let reply = Box::new(move |answer| deliver(Some(answer)));
            let _ = self.args.homes.cast(HomesMsg::RequestPermit {
                upstream,
                request: home_request,
                on_queued: Box::new(|| ()),
                reply,
            });
            return;
        }
        let view = self.args.view.load();
        let Some(member) = view.member(&target.home) else {
            deliver(None);
            return;
        };
        let message = ToHome::Request {
            request: request_to_wire(request, &upstream, &home_request),
            on_answer: deliver,
        };
        self.args.peers.get(member).send(message);
    }

    fn route(&self, upstream: &UpstreamId, home: &InstanceId) -> Route {
        Route {
            upstream: upstream.clone(),
            home: home.clone(),
            me: self.args.me.clone(),
            view: Arc::clone(&self.args.view),
            peers: Arc::clone(&self.args.peers),
            homes: self.args.homes.clone(),
        }
    }

    fn record_verdict(progress: &mut Progress, target: &Target, verdict: HomeVerdict) {
        let id = target.state.upstream.id.clone();
        match verdict {
            HomeVerdict::Redirect { better, .. } => {
                progress.redirects += 1;
                progress.redirected.insert(id);
                progress.preferred = better;
                metrics::counter!("tc_redirects_total").increment(1);
            }
            HomeVerdict::Refused {
                reason,
                retry_after,
            } => {
                progress.failures += 1;
                progress.refused.insert(id);
                progress.last_refusal = Some(PermitRefusal {
                    reason,
                    retry_after,
                });
            }
            HomeVerdict::Granted { .. } => {}
        }
    }

    fn record_unreachable(&self, progress: &mut Progress, target: &Target) {
        progress.failures += 1;
        progress.unreachable.insert(target.home.clone());
        progress.last_refusal = Some(PermitRefusal {
            reason: RefusalReason::HomeUnreachable,
            retry_after: RETRY_AFTER,
        });
        metrics::counter!("tc_unreachable_homes_total").increment(1);
        let _ = self
            .args
            .node
            .cast(NodeMsg::CallFailed(target.home.clone()));
    }

    fn build_permit(
        &self,
        request: &PermitRequest,
        target: &Target,
        granted: Granted,
        trial: Option<TrialGuard>,
    ) -> Permit {
        let (permit, expires_in, waited) = granted.disarm();
        let id = target.state.upstream.id.clone();
        let key = self.track_held(request, target, permit, expires_in);
        let in_use = self.args.summaries.cell(&id).map(InFlightGuard::new);
        let release_to_home = self.release_fn(key, &id, &target.home);
        let suspects = Arc::clone(&self.args.suspects);
        let fingerprint = request.fingerprint;
        let origin = origin(request);
        let called = self.called_upstream(target);
        let on_release = move |release: Release| {
            drop(in_use);
            if release.outcome == Outcome::Died {
                suspects.record_called(fingerprint, called);
                suspects.record_origin(fingerprint, origin);
            }
            if let Some(trial) = trial {
                trial.end(release.outcome);
            }
            release_to_home(release);
        };
        let address = target.state.upstream.address;
        let grant = Grant {
            permit,
            upstream: id,
            address,
            expires_in,
            waited,
        };
        Permit::new(grant, target.why.to_owned(), on_release)
    }

    /// Adds a granted permit to the table of held permits.
    fn track_held(
        &self,
        request: &PermitRequest,
        target: &Target,
        permit: PermitId,
        expires_in: Duration,
    ) -> HeldKey {
        self.args.held.insert(Held {
            service: request.service.clone(),
            upstream: target.state.upstream.id.clone(),
            home: target.home.clone(),
            permit: HeldPermit {
                permit,
                entry: self.args.me.clone(),
                workspace: request.workspace.clone(),
                expires_in,
                estimate: request.estimate,
                fingerprint: request.fingerprint,
            },
            expires_at: MonoTime::now().after(expires_in),
        })
    }

    fn called_upstream(&self, target: &Target) -> CalledUpstream {
        let upstream = &target.state.upstream;
        let cell = self.args.summaries.cell(&upstream.id);
        CalledUpstream {
            address: upstream.address,
            incarnation: cell.map(|cell| cell.incarnation()).unwrap_or_default(),
        }
    }

    fn release_fn(
        &self,
        key: HeldKey,
        upstream: &UpstreamId,
        granted_by: &InstanceId,
    ) -> impl FnOnce(Release) + Send + 'static {
        let held = Arc::clone(&self.args.held);
        let mut route = self.route(upstream, granted_by);
        move |release| {
            // The home may have changed since the grant; the permit was announced to the new one.
            if let Some(held) = held.remove(key) {
                route.home = held.home;
            }
            route.release(release);
        }
    }
}

/// Returns whether the home redirects to the same upstream, whose home has changed. This instance's view will show the
/// new home soon.
fn is_moved(verdict: &HomeVerdict, target: &Target) -> bool {
    let upstream = &target.state.upstream.id;
    matches!(verdict, HomeVerdict::Redirect { better: Some(better), .. } if better == upstream)
}

fn origin(request: &PermitRequest) -> Origin {
    Origin {
        workspace: request.workspace.clone(),
        service: request.service.clone(),
    }
}

fn final_refusal(progress: &Progress) -> PermitRefusal {
    progress.last_refusal.unwrap_or(PermitRefusal {
        reason: RefusalReason::NoUpstream,
        retry_after: RETRY_AFTER,
    })
}

fn request_to_wire(
    request: &PermitRequest,
    upstream: &UpstreamId,
    home_request: &HomeRequest,
) -> PermitAsk {
    PermitAsk {
        ask: home_request.number,
        upstream: upstream.to_string(),
        service: request.service.to_string(),
        workspace: request.workspace.to_string(),
        request: request.request.to_string(),
        attempt: request.attempt.0,
        priority: u32::from(request.priority),
        slack_ms: convert::millis(home_request.slack),
        run_for_ms: convert::millis(home_request.run_for),
        estimate: Some(convert::cost_to_wire(&request.estimate)),
        fingerprint: request.fingerprint.0,
        has_prefix: request.prefix.is_some(),
        prefix: request.prefix.unwrap_or_default(),
        no_redirect: !home_request.may_redirect,
        suspect: home_request.suspect,
        weight: home_request.weight,
    }
}
