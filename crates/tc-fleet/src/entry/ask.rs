//! Asks: choose an upstream, ask its home, follow redirects, give up truthfully.

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
    route::{CancelGuard, Granted, Route, guarded},
    target::Target,
};
use crate::{
    PermitPolicy, convert,
    generated::PermitAsk,
    homes::{HomeAnswer, HomeAsk, HomeVerdict, HomesMsg},
    node::NodeMsg,
    peers::{PeerPool, ToHome},
    summary::{SummaryTable, UseGuard},
    suspects::{CalledUpstream, Origin, SuspectTable, TrialGuard},
};

/// Redirects followed before the ask queues where it is.
pub(super) const REDIRECTS: u32 = 2;
/// Homes tried that refused or could not be reached before the ask gives up.
const HOMES_TRIED: u32 = 4;
/// Wait for membership to move the homes when none can be reached.
const REHOME_WAIT: Duration = Duration::from_millis(50);
/// Advice when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What an ask ends with when its slack runs out before anything else is known.
const TOO_LATE: PermitRefusal = PermitRefusal {
    reason: RefusalReason::TooLate,
    retry_after: RETRY_AFTER,
};

/// What an [`AskDesk`] is made of.
pub(crate) struct DeskArgs {
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

/// Serves the asks of this instance's requests.
pub(crate) struct AskDesk {
    pub(super) args: DeskArgs,
    next_ask: AtomicU64,
    round_robin: RoundRobin,
}

/// What one ask has learnt so far.
#[derive(Default)]
pub(super) struct Progress {
    pub(super) redirects: u32,
    pub(super) failures: u32,
    pub(super) redirected: HashSet<UpstreamId>,
    pub(super) preferred: Option<UpstreamId>,
    pub(super) refused: HashSet<UpstreamId>,
    pub(super) unreachable: HashSet<InstanceId>,
    pub(super) last: Option<PermitRefusal>,
}

impl AskDesk {
    pub(crate) fn new(args: DeskArgs) -> Self {
        Self {
            args,
            next_ask: AtomicU64::new(1),
            round_robin: RoundRobin::default(),
        }
    }

    /// Gets a permit for some upstream of the service, or a refusal that means the call was not sent.
    pub(crate) async fn request_permit(
        self: Arc<Self>,
        request: PermitRequest,
    ) -> Result<Permit, PermitRefusal> {
        if self.args.policy == PermitPolicy::Baseline {
            return self.round_robin.ask(&self.args.view.load(), &request);
        }
        let started = MonoTime::now();
        let suspects = &self.args.suspects;
        let trial = suspects
            .try_trial(request.fingerprint, origin(&request), request.slack)
            .await?;
        let mut progress = Progress::default();
        loop {
            let left = request.slack.saturating_sub(MonoTime::now().since(started));
            // Without slack an ask may still be granted at once, but only where it is asked first.
            if left.is_zero() && progress.last.is_some() {
                return Err(no_upstream(&progress));
            }
            let Some(target) = self.target(&request, &mut progress) else {
                // Redirected, but there is nowhere else: wait where it was asked first.
                if progress.redirects < REDIRECTS && !progress.redirected.is_empty() {
                    progress.redirects = REDIRECTS;
                    continue;
                }
                if progress.unreachable.is_empty() || left <= REHOME_WAIT {
                    return Err(no_upstream(&progress));
                }
                tokio::time::sleep(REHOME_WAIT).await;
                progress.unreachable.clear();
                continue;
            };
            let may_redirect = progress.redirects < REDIRECTS;
            let answer = self
                .ask_home(&request, &target, left, may_redirect, trial.is_some())
                .await;
            match answer {
                Some(Ok(grant)) => return Ok(self.permit(&request, &target, grant, trial)),
                Some(Err(verdict)) if is_moved(&verdict, &target) => {
                    progress.last.get_or_insert(TOO_LATE);
                    tokio::time::sleep(REHOME_WAIT.min(left)).await;
                }
                Some(Err(verdict)) => Self::note(&mut progress, &target, verdict),
                None => self.unreachable(&mut progress, &target),
            }
            if progress.failures >= HOMES_TRIED {
                return Err(no_upstream(&progress));
            }
        }
    }

    /// `None`: the home cannot be reached.
    async fn ask_home(
        &self,
        request: &PermitRequest,
        target: &Target,
        slack: Duration,
        may_redirect: bool,
        suspect: bool,
    ) -> Option<Result<Granted, HomeVerdict>> {
        let number = self.next_ask.fetch_add(1, Relaxed);
        let id = target.state.upstream.id.clone();
        let _in_use = self.args.summaries.cell(&id).map(UseGuard::new);
        let (on_answer, answer) = oneshot::channel();
        // A grant that nobody takes gives itself back, so that an ask dropped at any moment leaks nothing.
        let route = self.route(&id, &target.home);
        let deliver = move |answer: Option<HomeAnswer>| {
            let _ = on_answer.send(answer.map(|answer| guarded(answer, route)));
        };
        let home_ask = self.home_ask(request, number, slack, may_redirect, suspect);
        let mut cancel = CancelGuard {
            route: Some(self.route(&id, &target.home)),
            number,
        };
        self.send_ask(request, target, home_ask, Box::new(deliver));
        let answer = answer.await.ok().flatten();
        cancel.route = None;
        answer
    }

    fn home_ask(
        &self,
        request: &PermitRequest,
        number: u64,
        slack: Duration,
        may_redirect: bool,
        suspect: bool,
    ) -> HomeAsk {
        let view = self.args.view.load();
        let weight = view
            .config
            .workspaces
            .get(&request.workspace)
            .map_or(1, |w| w.weight);
        HomeAsk {
            entry: self.args.me.clone(),
            ask: number,
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

    fn send_ask(
        &self,
        request: &PermitRequest,
        target: &Target,
        home_ask: HomeAsk,
        deliver: Box<dyn FnOnce(Option<HomeAnswer>) + Send>,
    ) {
        let upstream = target.state.upstream.id.clone();
        if target.home == self.args.me {
            let reply = Box::new(move |answer| deliver(Some(answer)));
            let _ = self.args.homes.cast(HomesMsg::Ask {
                upstream,
                ask: home_ask,
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
        let message = ToHome::Ask {
            ask: ask_to_wire(request, &upstream, &home_ask),
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

    fn note(progress: &mut Progress, target: &Target, verdict: HomeVerdict) {
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
                progress.last = Some(PermitRefusal {
                    reason,
                    retry_after,
                });
            }
            HomeVerdict::Granted { .. } => {}
        }
    }

    fn unreachable(&self, progress: &mut Progress, target: &Target) {
        progress.failures += 1;
        progress.unreachable.insert(target.home.clone());
        progress.last = Some(PermitRefusal {
            reason: RefusalReason::HomeUnreachable,
            retry_after: RETRY_AFTER,
        });
        metrics::counter!("tc_unreachable_homes_total").increment(1);
        let _ = self.args.node.cast(NodeMsg::Doubt(target.home.clone()));
    }

    fn permit(
        &self,
        request: &PermitRequest,
        target: &Target,
        granted: Granted,
        trial: Option<TrialGuard>,
    ) -> Permit {
        let (permit, expires_in, waited) = granted.disarm();
        let id = target.state.upstream.id.clone();
        let key = self.hold(request, target, permit, expires_in);
        let in_use = self.args.summaries.cell(&id).map(UseGuard::new);
        let give_back = self.give_back(key, &id, &target.home);
        let suspects = Arc::clone(&self.args.suspects);
        let fingerprint = request.fingerprint;
        let origin = origin(request);
        let called = self.called(target);
        let on_release = move |release: Release| {
            drop(in_use);
            if release.outcome == Outcome::Died {
                suspects.note_called(fingerprint, called);
                suspects.note_origin(fingerprint, origin);
            }
            if let Some(trial) = trial {
                trial.end(release.outcome);
            }
            give_back(release);
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

    /// Enters a granted permit into the table of those held here.
    fn hold(
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

    fn called(&self, target: &Target) -> CalledUpstream {
        let upstream = &target.state.upstream;
        let cell = self.args.summaries.cell(&upstream.id);
        CalledUpstream {
            address: upstream.address,
            incarnation: cell.map(|cell| cell.incarnation()).unwrap_or_default(),
        }
    }

    fn give_back(
        &self,
        key: HeldKey,
        upstream: &UpstreamId,
        granted_by: &InstanceId,
    ) -> impl FnOnce(Release) + Send + 'static {
        let held = Arc::clone(&self.args.held);
        let mut route = self.route(upstream, granted_by);
        move |release| {
            // The home may have moved since the grant; the new one was told of the permit.
            if let Some(held) = held.remove(key) {
                route.home = held.home;
            }
            route.release(release);
        }
    }
}

/// Whether the home says that the upstream has another home, which this instance's view will show in a moment.
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

fn no_upstream(progress: &Progress) -> PermitRefusal {
    progress.last.unwrap_or(PermitRefusal {
        reason: RefusalReason::NoUpstream,
        retry_after: RETRY_AFTER,
    })
}

fn ask_to_wire(request: &PermitRequest, upstream: &UpstreamId, home_ask: &HomeAsk) -> PermitAsk {
    PermitAsk {
        ask: home_ask.ask,
        upstream: upstream.to_string(),
        service: request.service.to_string(),
        workspace: request.workspace.to_string(),
        request: request.request.to_string(),
        attempt: request.attempt.0,
        priority: u32::from(request.priority),
        slack_ms: convert::millis(home_ask.slack),
        run_for_ms: convert::millis(home_ask.run_for),
        estimate: Some(convert::cost_to_wire(&request.estimate)),
        fingerprint: request.fingerprint.0,
        has_prefix: request.prefix.is_some(),
        prefix: request.prefix.unwrap_or_default(),
        no_redirect: !home_ask.may_redirect,
        suspect: home_ask.suspect,
        weight: home_ask.weight,
    }
}
