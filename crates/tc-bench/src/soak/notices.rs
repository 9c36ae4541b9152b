//! Upstreams that announce that they are leaving or refuse requests with a backoff, and the bounds on the requests that
//! they get afterwards.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use super::{
    callers::Told,
    drive::Soak,
    judge::{Evidence, Harmed},
    upstreams::{ENGINES, Run, SoakUpstream, WEB},
};

/// Backoff that upstreams ask for in refusals.
pub(super) const BACKOFF: Duration = Duration::from_secs(2);
/// Time after a refusal during which requests already in flight may still arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Maximum number of requests from one instance during the rest of a backoff.
const MAX_IN_BACKOFF: usize = 2;
/// Time after an instance has forwarded the announcement from which requests sent to it must not reach the upstream.
const LEAVING_BOUND: Duration = Duration::from_secs(2);

/// An upstream that announces in its answers that it is leaving.
#[derive(Clone, Debug)]
pub(super) struct AnnouncedLeaving {
    pub(super) upstream: String,
    pub(super) from: Instant,
}

impl Soak {
    pub(super) fn set_backoff(&mut self, upstream: usize, is_active: bool) {
        for service in [WEB, ENGINES] {
            let name = format!("{service}-{upstream}");
            self.seen.set_backoff(&name, is_active);
        }
    }

    /// Makes an upstream of each service announce that it is leaving, starts its replacement at once, and schedules its
    /// removal for `until`.
    pub(super) async fn announce_leaving(&mut self, upstream: usize, until: Instant) {
        for service in [WEB, ENGINES] {
            let name = format!("{service}-{upstream}");
            let is_running = self.upstreams.iter().any(|u| u.name == name);
            if !is_running || self.leaving.iter().any(|(_, other)| *other == name) {
                continue;
            }
            self.seen.announce_leaving(&name);
            self.announced_leaving.push(AnnouncedLeaving {
                upstream: name.clone(),
                from: Instant::now(),
            });
            self.leaving.push((until, name));
            self.next_upstream += 1;
            let replacement = format!("{service}-{}", self.next_upstream);
            let started = SoakUpstream::start(replacement, service, &self.seen, &self.store).await;
            self.upstreams.push(started);
        }
    }
}

/// Checks that each instance stops sending requests to upstreams whose leaving announcement it has forwarded, and to
/// upstreams that asked it for a backoff.
pub(super) fn notice_promises(evidence: &Evidence) -> Vec<String> {
    let told: HashMap<&str, &Told> = evidence
        .told
        .iter()
        .map(|told| (told.request.as_str(), told))
        .collect();
    let announced = evidence.announced_leaving.iter();
    let announced = announced.flat_map(|announced| leaving_promise(evidence, &told, announced));
    let refusals = evidence.refusals.iter();
    let refused = refusals.filter_map(|refusal| backoff_promise(evidence, &told, refusal));
    announced.chain(refused).collect()
}

fn leaving_promise(
    evidence: &Evidence,
    told: &HashMap<&str, &Told>,
    announced: &AnnouncedLeaving,
) -> Vec<String> {
    let is_of_upstream =
        |run: &&Run| run.upstream == announced.upstream && run.at >= announced.from;
    let runs: Vec<&Run> = evidence.runs.iter().filter(is_of_upstream).collect();
    // If a request ran more than once, the upstream that its answer came from is unknown.
    let forwarded = runs.iter().filter_map(|run| {
        let told = told.get(run.request.as_str())?;
        let all = evidence.runs.iter();
        let is_only_run = all.filter(|other| other.request == run.request).count() == 1;
        (is_only_run && told.status == 200).then_some((told.instance, told.ended))
    });
    let forwarded: Vec<(usize, Instant)> = forwarded.collect();
    let broken = runs.iter().filter_map(|run| {
        let told = told.get(run.request.as_str())?;
        let is_broken = forwarded.iter().any(|(instance, at)| {
            *instance == told.instance
                && told.sent >= *at + LEAVING_BOUND
                && !is_harmed(evidence, told.instance, *at, run.at)
        });
        is_broken.then(|| {
            let (id, upstream) = (&run.request, &run.upstream);
            format!(
                "leaving: {upstream} announced that it is leaving but got request {id} from instance {}",
                told.instance
            )
        })
    });
    broken.collect()
}

fn backoff_promise(
    evidence: &Evidence,
    told: &HashMap<&str, &Told>,
    refusal: &Run,
) -> Option<String> {
    let instance = told.get(refusal.request.as_str())?.instance;
    let (from, until) = (refusal.at + IN_FLIGHT_TIME, refusal.at + BACKOFF);
    if is_harmed(evidence, instance, refusal.at, until) {
        return None;
    }
    let arrivals = evidence.runs.iter().chain(&evidence.refusals);
    let count = arrivals
        .filter(|run| run.upstream == refusal.upstream && run.at >= from && run.at < until)
        .filter(|run| {
            told.get(run.request.as_str())
                .is_some_and(|t| t.instance == instance)
        })
        .count();
    (count > MAX_IN_BACKOFF).then(|| {
        let upstream = &refusal.upstream;
        format!(
            "backoff: {upstream} asked for a backoff of 2 s but got {count} requests from instance {instance}"
        )
    })
}

/// Returns true if the instance was killed, stopped, paused or started again in the interval, so that it may have missed or
/// lost state. A stopped process ends, and its successor starts, up to the grace after the fault.
fn is_harmed(evidence: &Evidence, instance: usize, from: Instant, until: Instant) -> bool {
    let harms = evidence.harms.iter();
    let mut harms = harms.filter(|harm| harm.whom == Harmed::Instance(instance));
    let mut restarts = evidence.restarts.iter();
    harms.any(|harm| harm.from <= until && harm.until >= from)
        || restarts.any(|(restarted, at)| *restarted == instance && (from..=until).contains(at))
}
