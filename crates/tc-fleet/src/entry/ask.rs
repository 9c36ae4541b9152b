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
use tc_policy::{Candidate, Choice, HeldPermit, choose};
use tc_protocol::{
    Ask, AskRefusal, FleetView, Grant, InstanceId, MonoTime, Outcome, Permit, PermitId,
    RefusalReason, Release, UpstreamId, UpstreamState,
};
use tokio::sync::oneshot;

use super::{
    baseline::RoundRobin,
    held::{Held, HeldKey, HeldTable},
};
use crate::{
    AskPolicy, convert,
    generated::PermitAsk,
    homes::{HomeAnswer, HomeAsk, HomeVerdict, HomesMsg},
    node::NodeMsg,
    peers::{PeerPool, ToHome},
    summary::{SummaryTable, UseGuard},
    suspects::{Origin, SuspectTable, TrialGuard},
};

/// Redirects followed before the ask queues where it is.
const REDIRECTS: u32 = 2;
/// Homes tried that refused or could not be reached before the ask gives up.
const HOMES_TRIED: u32 = 4;
/// Wait for membership to move the homes when none can be reached.
const REHOME_WAIT: Duration = Duration::from_millis(50);
/// Advice when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What an [`AskDesk`] is made of.
pub(crate) struct DeskArgs {
    pub(crate) me: InstanceId,
    pub(crate) policy: AskPolicy,
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
    args: DeskArgs,
    next_ask: AtomicU64,
    round_robin: RoundRobin,
}

/// What one ask has learnt so far.
#[derive(Default)]
struct Progress {
    redirects: u32,
    failures: u32,
    redirected: HashSet<UpstreamId>,
    preferred: Option<UpstreamId>,
    refused: HashSet<UpstreamId>,
    unreachable: HashSet<InstanceId>,
    last: Option<AskRefusal>,
}

struct Target {
    state: UpstreamState,
    home: InstanceId,
    why: &'static str,
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
    pub(crate) async fn ask(self: Arc<Self>, ask: Ask) -> Result<Permit, AskRefusal> {
        if self.args.policy == AskPolicy::Baseline {
            return self.round_robin.ask(&self.args.view.load(), &ask);
        }
        let started = MonoTime::now();
        let trial = self
            .args
            .suspects
            .try_trial(ask.fingerprint, ask.slack)
            .await?;
        let mut progress = Progress::default();
        loop {
            let left = ask.slack.saturating_sub(MonoTime::now().since(started));
            // Without slack an ask may still be granted at once, but only where it is asked first.
            if left.is_zero() && progress.last.is_some() {
                return Err(no_upstream(&progress));
            }
            let Some(target) = self.target(&ask, &mut progress) else {
                if progress.unreachable.is_empty() || left <= REHOME_WAIT {
                    return Err(no_upstream(&progress));
                }
                tokio::time::sleep(REHOME_WAIT).await;
                progress.unreachable.clear();
                continue;
            };
            let may_redirect = progress.redirects < REDIRECTS;
            let answer = self
                .ask_home(&ask, &target, left, may_redirect, trial.is_some())
                .await;
            match answer {
                Some(Ok(grant)) => return Ok(self.permit(&ask, &target, grant, trial)),
                Some(Err(verdict)) => Self::note(&mut progress, &target, verdict),
                None => self.unreachable(&mut progress, &target),
            }
            if progress.failures >= HOMES_TRIED {
                return Err(no_upstream(&progress));
            }
        }
    }

    fn target(&self, ask: &Ask, progress: &mut Progress) -> Option<Target> {
        let view = self.args.view.load();
        let upstreams = view.upstreams.get(&ask.service)?;
        let now = MonoTime::now();
        let usable: Vec<UpstreamState> = upstreams
            .iter()
            .filter(|state| Self::is_usable(state, progress))
            .map(|state| self.refreshed(now, state))
            .collect();
        let preferred = progress.preferred.take();
        let index = usable
            .iter()
            .position(|state| Some(&state.upstream.id) == preferred.as_ref());
        let choice = match index {
            Some(index) if !ask.avoid.contains(&usable[index].upstream.id) => Choice {
                index,
                why: "redirected by a home",
            },
            _ => self.choose(now, &view, &usable, ask)?,
        };
        let state = usable[choice.index].clone();
        let home = state.home.clone()?;
        Some(Target {
            state,
            home,
            why: choice.why,
        })
    }

    fn is_usable(state: &UpstreamState, progress: &Progress) -> bool {
        let id = &state.upstream.id;
        let tried = progress.redirects < REDIRECTS && progress.redirected.contains(id);
        let home_is_there = state
            .home
            .as_ref()
            .is_some_and(|home| !progress.unreachable.contains(home));
        home_is_there && !tried && !progress.refused.contains(id)
    }

    /// The state with the newest summary any thread has heard.
    fn refreshed(&self, now: MonoTime, state: &UpstreamState) -> UpstreamState {
        let mut state = state.clone();
        if let Some(cell) = self.args.summaries.cell(&state.upstream.id)
            && let Some((summary, leaving, _)) = cell.load(now)
        {
            state.summary = Some(summary);
            state.leaving |= leaving;
        }
        state
    }

    fn choose(
        &self,
        now: MonoTime,
        view: &FleetView,
        usable: &[UpstreamState],
        ask: &Ask,
    ) -> Option<Choice> {
        let candidates: Vec<Candidate<'_>> = usable
            .iter()
            .map(|state| self.candidate(now, view, state))
            .collect();
        choose(&candidates, ask, &mut rand::rng())
    }

    fn candidate<'a>(
        &self,
        now: MonoTime,
        view: &FleetView,
        state: &'a UpstreamState,
    ) -> Candidate<'a> {
        let cell = self.args.summaries.cell(&state.upstream.id);
        let age = cell
            .as_ref()
            .and_then(|cell| cell.load(now))
            .map(|(_, _, age)| age);
        Candidate {
            state,
            summary_age: age.unwrap_or(Duration::MAX),
            own_in_flight: cell.map_or(0, |cell| cell.own_in_flight.load(Relaxed)),
            distance_ms: distance_ms(view, state),
        }
    }

    /// `None`: the home cannot be reached.
    async fn ask_home(
        &self,
        ask: &Ask,
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
        let home_ask = self.home_ask(ask, number, slack, may_redirect, suspect);
        let mut cancel = CancelGuard {
            route: Some(self.route(&id, &target.home)),
            number,
        };
        self.send_ask(ask, target, home_ask, Box::new(deliver));
        let answer = answer.await.ok().flatten();
        cancel.route = None;
        answer
    }

    fn home_ask(
        &self,
        ask: &Ask,
        number: u64,
        slack: Duration,
        may_redirect: bool,
        suspect: bool,
    ) -> HomeAsk {
        let view = self.args.view.load();
        let weight = view
            .config
            .workspaces
            .get(&ask.workspace)
            .map_or(1, |w| w.weight);
        HomeAsk {
            entry: self.args.me.clone(),
            ask: number,
            workspace: ask.workspace.clone(),
            weight,
            priority: ask.priority,
            slack,
            run_for: ask.run_for,
            estimate: ask.estimate,
            fingerprint: ask.fingerprint,
            may_redirect,
            suspect,
        }
    }

    fn send_ask(
        &self,
        ask: &Ask,
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
            ask: ask_to_wire(ask, &upstream, &home_ask),
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
                progress.last = Some(AskRefusal {
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
        progress.last = Some(AskRefusal {
            reason: RefusalReason::HomeUnreachable,
            retry_after: RETRY_AFTER,
        });
        metrics::counter!("tc_unreachable_homes_total").increment(1);
        let _ = self.args.node.cast(NodeMsg::Doubt(target.home.clone()));
    }

    fn permit(
        &self,
        ask: &Ask,
        target: &Target,
        granted: Granted,
        trial: Option<TrialGuard>,
    ) -> Permit {
        let (permit, expires_in, waited) = granted.disarm();
        let id = target.state.upstream.id.clone();
        let held = HeldPermit {
            permit,
            entry: self.args.me.clone(),
            workspace: ask.workspace.clone(),
            expires_in,
            estimate: ask.estimate,
            fingerprint: ask.fingerprint,
        };
        let key = self.args.held.insert(Held {
            service: ask.service.clone(),
            upstream: id.clone(),
            home: target.home.clone(),
            permit: held,
            expires_at: MonoTime::now().after(expires_in),
        });
        let in_use = self.args.summaries.cell(&id).map(UseGuard::new);
        let give_back = self.give_back(key, &id, &target.home);
        let suspects = Arc::clone(&self.args.suspects);
        let fingerprint = ask.fingerprint;
        let origin = Origin {
            workspace: ask.workspace.clone(),
            service: ask.service.clone(),
        };
        let on_release = move |release: Release| {
            drop(in_use);
            if release.outcome == Outcome::Died {
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

/// The way to one upstream's home, usable from a destructor.
struct Route {
    upstream: UpstreamId,
    home: InstanceId,
    me: InstanceId,
    view: Arc<ArcSwap<FleetView>>,
    peers: Arc<PeerPool>,
    homes: ActorRef<HomesMsg>,
}

impl Route {
    fn release(&self, release: Release) {
        let upstream = self.upstream.clone();
        if self.home == self.me {
            let _ = self.homes.cast(HomesMsg::Release { upstream, release });
        } else if let Some(member) = self.view.load().member(&self.home) {
            self.peers
                .get(member)
                .send(ToHome::Release { upstream, release });
        }
    }

    fn cancel(&self, number: u64) {
        if self.home == self.me {
            let _ = self.homes.cast(HomesMsg::Cancel {
                upstream: Some(self.upstream.clone()),
                entry: self.me.clone(),
                ask: number,
            });
        } else if let Some(member) = self.view.load().member(&self.home) {
            self.peers.get(member).send(ToHome::Cancel(number));
        }
    }
}

/// Cancels the ask at its home when the asking future is dropped before the answer.
struct CancelGuard {
    route: Option<Route>,
    number: u64,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(route) = self.route.take() {
            route.cancel(self.number);
        }
    }
}

/// A grant that gives itself back unless it is turned into a permit.
struct Granted {
    route: Option<Route>,
    permit: PermitId,
    expires_in: Duration,
    waited: Duration,
}

impl Granted {
    fn disarm(mut self) -> (PermitId, Duration, Duration) {
        self.route = None;
        (self.permit, self.expires_in, self.waited)
    }
}

impl Drop for Granted {
    fn drop(&mut self) {
        if let Some(route) = self.route.take() {
            route.release(crate::peers::unused_release(self.permit));
        }
    }
}

/// Turns an answer into a guarded grant or the verdict against it.
fn guarded(answer: HomeAnswer, route: Route) -> Result<Granted, HomeVerdict> {
    match answer.verdict {
        HomeVerdict::Granted {
            permit,
            expires_in,
            waited,
        } => Ok(Granted {
            route: Some(route),
            permit,
            expires_in,
            waited,
        }),
        verdict => Err(verdict),
    }
}

fn no_upstream(progress: &Progress) -> AskRefusal {
    progress.last.unwrap_or(AskRefusal {
        reason: RefusalReason::NoUpstream,
        retry_after: RETRY_AFTER,
    })
}

fn distance_ms(view: &FleetView, state: &UpstreamState) -> f64 {
    if state.upstream.failure_domain == view.me.failure_domain {
        0.0
    } else if state.upstream.region == view.me.region {
        view.config.policy.cross_domain_ms
    } else {
        view.config.policy.cross_region_ms
    }
}

fn ask_to_wire(ask: &Ask, upstream: &UpstreamId, home_ask: &HomeAsk) -> PermitAsk {
    PermitAsk {
        ask: home_ask.ask,
        upstream: upstream.to_string(),
        service: ask.service.to_string(),
        workspace: ask.workspace.to_string(),
        request: ask.request.to_string(),
        attempt: ask.attempt.0,
        priority: u32::from(ask.priority),
        slack_ms: convert::millis(home_ask.slack),
        run_for_ms: convert::millis(home_ask.run_for),
        estimate: Some(convert::cost_to_wire(&ask.estimate)),
        fingerprint: ask.fingerprint.0,
        has_prefix: ask.prefix.is_some(),
        prefix: ask.prefix.unwrap_or_default(),
        no_redirect: !home_ask.may_redirect,
        suspect: home_ask.suspect,
        weight: home_ask.weight,
    }
}
