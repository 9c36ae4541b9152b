//! Rate limits that upstreams announce, and the bound on what they get.

use std::{collections::HashMap, time::Duration};

use tokio::time::Instant;

use super::{
    drive::Soak,
    judge::{Evidence, Harm, Harmed},
    upstreams::{ENGINES, Run, WEB},
};

/// Time after the first announcement from which the bound holds, and for which a fault excuses an instance.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after an instance's first request to a limited upstream from which its requests count: the request itself, and
/// half a second.
const KNOWN_AFTER: Duration = Duration::from_millis(900);
const WINDOW: Duration = Duration::from_secs(4);

/// An upstream announced a rate limit.
#[derive(Clone, Debug)]
pub(super) struct Limited {
    pub(super) upstream: String,
    pub(super) per_s: f64,
    pub(super) from: Instant,
    /// When it stopped; `None` while it did not.
    pub(super) until: Option<Instant>,
}

impl Soak {
    /// Makes an upstream of each service announce a rate limit.
    pub(super) fn limit(&mut self, upstream: usize, per_s: f64) {
        for service in [WEB, ENGINES] {
            let name = format!("{service}-{upstream}");
            self.seen.set_limit(&name, Some(per_s));
            self.limited.push(Limited {
                upstream: name,
                per_s,
                from: Instant::now(),
                until: None,
            });
        }
    }

    pub(super) fn lift_limit(&mut self, upstream: usize) {
        for service in [WEB, ENGINES] {
            let name = format!("{service}-{upstream}");
            self.seen.set_limit(&name, None);
            let lifted = self.limited.iter_mut().filter(|l| l.upstream == name);
            for limited in lifted {
                limited.until.get_or_insert_with(Instant::now);
            }
        }
    }
}

/// A limited upstream gets no more than one and a half times its limit, and five requests, in any window.
pub(super) fn limit_promises(evidence: &Evidence) -> Vec<String> {
    let entry: HashMap<&str, usize> = evidence
        .told
        .iter()
        .map(|told| (told.request.as_str(), told.instance))
        .collect();
    let limited = evidence.limited.iter();
    limited
        .filter_map(|limited| limit_promise(evidence, &entry, limited))
        .collect()
}

fn limit_promise(
    evidence: &Evidence,
    entry: &HashMap<&str, usize>,
    limited: &Limited,
) -> Option<String> {
    let of_upstream = |run: &&Run| {
        run.upstream == limited.upstream
            && run.at >= limited.from
            && limited.until.is_none_or(|until| run.at < until)
    };
    let mut runs: Vec<&Run> = evidence.runs.iter().filter(of_upstream).collect();
    runs.sort_by_key(|run| run.at);
    let binds_from = runs.first()?.at + CONTACT;
    let mut first_of: HashMap<usize, Instant> = HashMap::new();
    let mut counted: Vec<Instant> = Vec::new();
    for run in runs {
        let Some(instance) = entry.get(run.request.as_str()) else {
            continue;
        };
        let first = *first_of.entry(*instance).or_insert(run.at);
        let knows = run.at >= first + KNOWN_AFTER;
        if run.at >= binds_from && knows && !is_excused(&evidence.harms, *instance, run.at) {
            counted.push(run.at);
        }
    }
    let allowed = (1.5 * limited.per_s * WINDOW.as_secs_f64() + 5.0) as usize;
    let in_window = |start: &Instant| {
        let within = |at: &&Instant| **at >= *start && **at < *start + WINDOW;
        counted.iter().filter(within).count()
    };
    let most = counted.iter().map(in_window).max()?;
    (most > allowed).then(|| {
        let (upstream, per_s) = (&limited.upstream, limited.per_s);
        format!("limit: {upstream} announced {per_s} per second and got {most} requests in 4 s; allowed {allowed}")
    })
}

/// Returns true if a fault struck the instance so shortly before that the bound does not hold for it.
fn is_excused(harms: &[Harm], instance: usize, at: Instant) -> bool {
    harms.iter().any(|harm| {
        harm.whom == Harmed::Instance(instance) && harm.from <= at && at < harm.until + CONTACT
    })
}
