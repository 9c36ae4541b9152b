//! The fleet-wide retry budget, judged by what reaches the upstreams.

use std::{collections::HashSet, time::Duration};

use tokio::time::Instant;

use super::{
    judge::Evidence,
    upstreams::{ENGINES, WEB},
};

/// Retries allowed per request.
pub(super) const RATIO: f64 = 0.2;
/// Additional retries allowed in a window, few enough for the faults of a soak to exhaust them.
pub(super) const EXTRA: f64 = 8.0;
pub(super) const WINDOW: Duration = Duration::from_secs(10);

/// A request reached an upstream, which ran or refused it.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) request: String,
    pub(super) service: &'static str,
    pub(super) at: Instant,
}

/// In any window, the arrivals at a service beyond the first of each request stay within the budget. Requests are counted
/// in that window, the one before it or the one that begins half a window earlier.
pub(super) fn retry_promises(evidence: &Evidence) -> Vec<String> {
    [WEB, ENGINES]
        .into_iter()
        .filter_map(|service| retry_promise(evidence, service))
        .collect()
}

fn retry_promise(evidence: &Evidence, service: &str) -> Option<String> {
    let of_service = evidence.told.iter().filter(|told| {
        let is_stream = told.repeat.is_stream();
        is_stream == (service == ENGINES)
    });
    let requests: Vec<Instant> = of_service.map(|told| told.sent).collect();
    let repeats = repeats(evidence, service);
    let within = |times: &[Instant], from: Instant| {
        let end = from + WINDOW;
        times.iter().filter(|at| (from..end).contains(at)).count()
    };
    repeats.iter().find_map(|start| {
        let earlier = [Duration::ZERO, WINDOW / 2, WINDOW].map(|by| *start - by);
        let most = earlier.map(|from| within(&requests, from));
        let most = most.into_iter().max().unwrap_or_default();
        let (repeated, allowed) = (within(&repeats, *start), RATIO * most as f64 + EXTRA);
        (repeated as f64 > allowed).then(|| {
            format!("retries: {service} got {repeated} repeats in 10 s for {most} requests; allowed {allowed}")
        })
    })
}

/// Returns when requests reached the service again.
fn repeats(evidence: &Evidence, service: &str) -> Vec<Instant> {
    let arrivals = evidence.arrivals.iter();
    let mut arrivals: Vec<_> = arrivals.filter(|a| a.service == service).collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut seen = HashSet::new();
    let repeated = arrivals
        .into_iter()
        .filter(|arrival| !seen.insert(&arrival.request));
    repeated.map(|arrival| arrival.at).collect()
}
