//! Requests that crash each upstream that runs them, and the bound on their runs.

use std::{net::SocketAddr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tc_platform_adapter::outside::{ForwardedRequest, UPSTREAMS_KIND};
use tokio::time::{Instant, sleep};

use super::{
    callers::{Attempt, DEADLINE, KEY, KINDS, Tellings, Told, call},
    drive::Soak,
    judge::{Evidence, Harmed},
    upstreams::{ENGINES, Run, SoakUpstream},
    versions::EngineLife,
};

/// Path that crashes upstreams.
pub(super) const CULPRIT_PATH: &str = "crash";
/// Part of prompts that crashes upstreams.
pub(super) const CULPRIT_PART: u64 = 0xdead;
/// Time after the binding crash from which runs are counted, and for which an instance must have been well.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Runs that are allowed after that time.
const MAX_LATE_RUNS: usize = 3;
/// Pause of the caller between two requests.
const PAUSE_MS: u64 = 250;
/// Time until a crashed upstream's successor starts.
const RESTART_AFTER: Duration = Duration::from_millis(700);
/// Step in which times without a well instance are searched.
const SEARCH_STEP: Duration = Duration::from_millis(50);

/// What crashes an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Culprit {
    /// A request that is sent again and again.
    Request,
    /// A part of the prompts of requests that all differ.
    Part,
}

impl Culprit {
    /// Returns the culprit of a request that an upstream received.
    pub(super) fn of(sent: &ForwardedRequest) -> Option<Self> {
        if sent.path == CULPRIT_PATH {
            return Some(Self::Request);
        }
        sent.parts.contains(&CULPRIT_PART).then_some(Self::Part)
    }

    /// Number of the crash after which instances must know it.
    const fn binding_crash(self) -> usize {
        match self {
            Self::Request => 3,
            Self::Part => 5,
        }
    }
}

/// Sends requests that crash upstreams, each to an instance by chance.
pub(super) async fn crash_until(
    seed: u64,
    instances: Vec<SocketAddr>,
    end: Instant,
    tellings: Tellings,
) {
    let mut rng = SmallRng::seed_from_u64(seed ^ CULPRIT_PART);
    let mut count = 0_u64;
    while Instant::now() < end {
        count += 1;
        let (culprit, kind) = if rng.random() {
            (Culprit::Request, KINDS[1])
        } else {
            (Culprit::Part, KINDS[2])
        };
        let instance = rng.random_range(0..instances.len());
        let id = format!("x{seed:x}-{count}");
        let attempt = Attempt {
            kind,
            id: &id,
            key: KEY,
            deadline: DEADLINE,
            resumed: None,
            culprit: Some(culprit),
        };
        let told = call(kind.route, attempt, instance, instances[instance], None).await;
        if let Some((told, _)) = told {
            tellings.add(told);
        }
        sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
    }
}

impl Soak {
    /// Ends the upstreams that crashed, and starts the successors that are due.
    pub(super) async fn replace_crashed(&mut self, now: Instant) {
        for name in self.seen.take_crashed() {
            self.record_end(&name, now);
            let crashed = self
                .upstreams
                .extract_if(.., |upstream| upstream.name == name);
            let services: Vec<&'static str> = crashed.map(|upstream| upstream.service).collect();
            for service in services {
                self.note(&format!("{name} crashes"));
                self.crashed
                    .push((now + RESTART_AFTER, service, name.clone()));
            }
            let lives = self.engine_lives.iter_mut();
            for life in lives.filter(|life| life.upstream == name) {
                life.until.get_or_insert(now);
            }
        }
        let due: Vec<_> = self.crashed.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, service, name) in due {
            self.store.remove(UPSTREAMS_KIND, &name);
            self.next_upstream += 1;
            let fresh = format!("{service}-{}", self.next_upstream);
            let started = SoakUpstream::start(fresh, service, &self.seen, &self.store).await;
            if service == ENGINES {
                self.engine_lives.push(EngineLife::succeed(&started));
            }
            self.upstreams.push(started);
        }
    }
}

/// Checks that a culprit runs a few times at most once instances must know it.
pub(super) fn crash_promises(evidence: &Evidence) -> Vec<String> {
    let broken = [Culprit::Request, Culprit::Part].map(|culprit| {
        let late = late_runs(evidence, culprit);
        (late.len() > MAX_LATE_RUNS).then(|| {
            let requests: Vec<&str> = late.iter().map(|run| run.request.as_str()).collect();
            format!(
                "budget: {culprit:?} ran at {} more upstreams: {}",
                late.len(),
                requests.join(", ")
            )
        })
    });
    broken.into_iter().flatten().collect()
}

fn late_runs(evidence: &Evidence, culprit: Culprit) -> Vec<&Run> {
    let mut runs: Vec<&Run> = evidence.runs.iter().collect();
    runs.retain(|run| run.culprit == Some(culprit));
    runs.sort_by_key(|run| run.at);
    let mut crashes: Vec<Instant> = Vec::new();
    let mut late = Vec::new();
    for run in runs {
        if let Some(last) = crashes.last()
            && all_were_lost(evidence, *last, run.at)
        {
            crashes.clear();
        }
        let binding = crashes.get(culprit.binding_crash() - 1);
        if binding.is_some_and(|at| run.at > *at + CONTACT_TIME) && is_sent_in_touch(evidence, run)
        {
            late.push(run);
        }
        crashes.push(run.at);
    }
    late
}

/// Returns true if at some time no instance was well that had been so for long enough to know of the crashes.
fn all_were_lost(evidence: &Evidence, from: Instant, until: Instant) -> bool {
    let mut at = from;
    while at < until {
        if (0..evidence.instances).all(|instance| !is_in_touch(evidence, instance, at)) {
            return true;
        }
        at += SEARCH_STEP;
    }
    false
}

fn is_sent_in_touch(evidence: &Evidence, run: &Run) -> bool {
    let is_own = |told: &&Told| told.request == run.request;
    let told = evidence.told_culprits.iter().find(is_own);
    told.is_some_and(|told| is_in_touch(evidence, told.instance, run.at))
}

/// The evidence does not pass through the store, so its faults excuse nothing.
fn is_in_touch(evidence: &Evidence, instance: usize, at: Instant) -> bool {
    let mut harms = evidence.harms.iter();
    let is_harmed = harms.any(|harm| {
        harm.whom == Harmed::Instance(instance) && harm.from <= at && at < harm.until + CONTACT_TIME
    });
    let mut restarts = evidence.restarts.iter();
    let is_new = restarts.any(|(restarted, started)| {
        *restarted == instance && *started <= at && at < *started + CONTACT_TIME
    });
    !is_harmed && !is_new
}
