//! The share of a workspace's requests that is served while another one sends a burst.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    callers::{KEY, Told, is_refused, is_served},
    hard_load::BURST_KEY,
    judge::{Evidence, Harmed},
};

/// Served share in bursts, relative to that without them: two workspaces weigh the same, so that each has at least half of
/// the room that it has alone.
const MIN_RELATIVE_SHARE: f64 = 0.5;
/// Requests from which on a share is judged.
const MIN_JUDGED: usize = 20;
/// Time after the end of a burst, a fault or a start in which requests still wait behind others or for what they need.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(1);

/// The time in which the second workspace sent many times the usual load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Burst {
    pub(super) from: Instant,
    pub(super) until: Instant,
}

/// Requests and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct Service {
    sent: usize,
    served: usize,
}

impl Service {
    fn of<'a>(told: impl Iterator<Item = &'a Told>) -> Self {
        told.fold(Self::default(), |service, told| Self {
            sent: service.sent + 1,
            served: service.served + usize::from(is_served(told)),
        })
    }

    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Checks that a burst of one workspace leaves the other one at least half of its service.
pub(super) fn share_promises(evidence: &Evidence) -> Option<String> {
    let [during, without] = service_of_usual_callers(evidence);
    let is_judged = during.sent >= MIN_JUDGED && without.sent >= MIN_JUDGED;
    let is_broken = is_judged && during.share() < MIN_RELATIVE_SHARE * without.share();
    is_broken.then(|| {
        format!(
            "share: {} of {} requests were served in bursts of another workspace, {} of {} without",
            during.served, during.sent, without.served, without.sent
        )
    })
}

/// Describes what was served in bursts and without them.
pub(super) fn requests_in_bursts(evidence: &Evidence) -> String {
    let of_bursts = || evidence.told.iter().filter(|told| told.key == BURST_KEY);
    let all = Service::of(of_bursts());
    let refused = of_bursts().filter(|told| is_refused(told)).count();
    let usual_refused = evidence.told.iter().filter(|t| t.key == KEY);
    let usual_refused = usual_refused.filter(|told| is_refused(told)).count();
    let [during, without] = service_of_usual_callers(evidence);
    format!(
        "{} requests of {} bursts: {} served, {refused} refused; others: {usual_refused} refused, {} of {} served in bursts, {} of {} without",
        all.sent,
        evidence.bursts.len(),
        all.served,
        during.served,
        during.sent,
        without.served,
        without.sent
    )
}

/// Returns the service of the usual callers in bursts, and without them.
fn service_of_usual_callers(evidence: &Evidence) -> [Service; 2] {
    let usual = || {
        let told = evidence.told.iter().filter(|told| told.key == KEY);
        told.filter(|told| is_unimpaired(evidence, told))
    };
    let bursts = &evidence.bursts;
    let in_burst = |told: &&Told| {
        let mut bursts = bursts.iter();
        bursts.any(|burst| burst.from <= told.sent && told.sent < burst.until)
    };
    let is_apart = |told: &&Told| {
        let mut bursts = bursts.iter();
        bursts.all(|burst| told.ended < burst.from || burst.until + SETTLE_TIME < told.sent)
    };
    [
        Service::of(usual().filter(in_burst)),
        Service::of(usual().filter(is_apart)),
    ]
}

/// Returns true if no fault but those of the hard load concerned the request.
fn is_unimpaired(evidence: &Evidence, told: &Told) -> bool {
    let overlaps =
        |from: Instant, until: Instant| from <= told.ended && told.sent < until + SETTLE_TIME;
    let mut harms = evidence.harms.iter();
    let is_harmed = harms.any(|harm| {
        let is_theirs = harm.whom == Harmed::Store || harm.whom == Harmed::Instance(told.instance);
        is_theirs && overlaps(harm.from, harm.until)
    });
    let mut impaired = evidence.impaired.iter();
    let has_impaired_upstream = impaired.any(|i| overlaps(i.from, i.until));
    let mut restarts = evidence.restarts.iter();
    let is_new = restarts.any(|(instance, at)| *instance == told.instance && overlaps(*at, *at));
    !is_harmed && !has_impaired_upstream && !is_new
}
