//! The upstreams of a soak, and what they ran.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_platform_adapter::outside::{
    ForwardedRequest, batch_wire_format, input_gone, leaving_header, limit_header, not_run,
    not_run_retry_after, read_forwarded_request, set_version, stream_head_with, upstream_entry,
};
use tc_stand_ins::{
    Hold, MakerConfig, ObjectStore, PieceMaker, Received, ResultShelf, Script, ScriptedServer, Step,
};
use tokio::time::Instant;

use super::{
    answers::{Pace, is_held, plain, stream},
    crashes::Culprit,
    departures::Departures,
    hard_load::AnnouncedLoads,
    notices::BACKOFF,
    plan::{DOMAINS, Plan, UpstreamMode},
    retries::Arrival,
};

/// Plain requests.
pub(super) const WEB: &str = "web";
/// Streams.
pub(super) const ENGINES: &str = "engines";
/// Pieces of stages.
pub(super) const STAGE: &str = "stage";
/// Versions of engines, if several serve.
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v1.2"];
/// Time for which an engine holds a request with results.
const HOLD_TIME: Duration = Duration::from_millis(1_600);

/// Longest time until the process of an upstream that crashes has ended.
const CRASH_TIME: Duration = Duration::from_mins(1);

/// One run of a request, as the upstream that ran it saw it.
#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) request: String,
    pub(super) upstream: String,
    pub(super) at: Instant,
    /// Whether it is a run of its own: a resumed stream goes on.
    pub(super) resumed: bool,
    /// Whether the upstream neither broke off nor stayed silent for good.
    pub(super) is_sound: bool,
    /// What crashed the upstream.
    pub(super) culprit: Option<Culprit>,
}

impl Run {
    /// Records a request that arrives now.
    fn now(upstream: &str, sent: &ForwardedRequest, mode: UpstreamMode) -> Self {
        Self {
            request: sent.id.clone(),
            upstream: upstream.to_owned(),
            at: Instant::now(),
            resumed: sent.resume_after > 0,
            is_sound: !matches!(mode, UpstreamMode::Breaks | UpstreamMode::Silent),
            culprit: Culprit::of(sent),
        }
    }
}

/// State shared by all upstreams.
#[derive(Default)]
pub(super) struct Seen {
    runs: Mutex<Vec<Run>>,
    modes: Mutex<HashMap<String, UpstreamMode>>,
    limits: Mutex<HashMap<String, f64>>,
    leaving: Mutex<HashSet<String>>,
    refusing: Mutex<HashSet<String>>,
    refusals: Mutex<Vec<Run>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Results of stages.
    pub(super) shelf: Arc<ResultShelf>,
    misdirected: Mutex<Vec<String>>,
    /// Whether engines have several versions.
    versions: bool,
    /// Whether engines hold some requests with results for long.
    holds_results: bool,
    /// Pace of upstreams that are not slow.
    pace: Pace,
    pub(super) departures: Departures,
    pub(super) loads: AnnouncedLoads,
    crashed: Mutex<Vec<String>>,
}

impl Seen {
    /// Nothing seen yet.
    pub(super) fn new(plan: &Plan) -> Self {
        Self {
            versions: plan.versions,
            holds_results: plan.departures,
            loads: AnnouncedLoads::new(plan),
            pace: if plan.silences {
                Pace::Long
            } else {
                Pace::Usual
            },
            ..Self::default()
        }
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Requests that upstreams refused with a backoff.
    pub(super) fn refusals(&self) -> Vec<Run> {
        lock(&self.refusals).clone()
    }

    /// Requests that reached upstreams, whether they ran or not.
    pub(super) fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    fn arrive(&self, service: &'static str, sent: &ForwardedRequest) {
        lock(&self.arrivals).push(Arrival {
            request: sent.id.clone(),
            service,
            at: Instant::now(),
        });
    }

    /// Returns the upstreams that crashed since the last call.
    pub(super) fn take_crashed(&self) -> Vec<String> {
        std::mem::take(&mut *lock(&self.crashed))
    }

    /// Ends an upstream as a crash does.
    pub(super) fn end(&self, upstream: &str) {
        lock(&self.crashed).push(upstream.to_owned());
    }

    /// Makes an upstream announce that it is leaving until it is removed.
    pub(super) fn announce_leaving(&self, upstream: &str) {
        lock(&self.leaving).insert(upstream.to_owned());
    }

    /// Makes an upstream refuse requests with a backoff, or accept them again.
    pub(super) fn set_backoff(&self, upstream: &str, is_active: bool) {
        let mut refusing = lock(&self.refusing);
        if is_active {
            refusing.insert(upstream.to_owned());
        } else {
            refusing.remove(upstream);
        }
    }

    /// Requests that reached a process they were not meant for and were not told apart by it.
    pub(super) fn misdirected(&self) -> Vec<String> {
        lock(&self.misdirected).clone()
    }

    pub(super) fn set_mode(&self, upstream: &str, mode: UpstreamMode) {
        lock(&self.modes).insert(upstream.to_owned(), mode);
    }

    /// Sets the rate limit that an upstream announces, in requests per second.
    pub(super) fn set_limit(&self, upstream: &str, per_s: Option<f64>) {
        let mut limits = lock(&self.limits);
        match per_s {
            Some(per_s) => limits.insert(upstream.to_owned(), per_s),
            None => limits.remove(upstream),
        };
    }

    /// Returns the headers that an upstream's answers have besides the usual ones.
    fn extra_headers(&self, upstream: &str) -> String {
        let limit = lock(&self.limits).get(upstream).copied();
        let mut headers = limit.map(limit_header).unwrap_or_default();
        if lock(&self.leaving).contains(upstream) {
            headers += &leaving_header();
        }
        headers += &self.loads.header(upstream);
        headers
    }

    /// Returns the version of an upstream; neighbours by number have the same one.
    fn version_of(&self, upstream: &str) -> &'static str {
        let number = if self.versions {
            number_of(upstream)
        } else {
            0
        };
        VERSIONS[number / 2 % VERSIONS.len()]
    }

    fn mode(&self, upstream: &str) -> UpstreamMode {
        lock(&self.modes).get(upstream).copied().unwrap_or_default()
    }

    /// Returns true if the upstream refuses the request with a backoff, and records the refusal.
    fn refuse(&self, own: &str, sent: &ForwardedRequest) -> bool {
        let refuses = lock(&self.refusing).contains(own);
        if refuses {
            lock(&self.refusals).push(Run::now(own, sent, self.mode(own)));
        }
        refuses
    }

    fn begin(&self, own: &str, sent: &ForwardedRequest, mode: UpstreamMode) {
        if sent.upstream != own {
            lock(&self.misdirected)
                .push(format!("{} at {own}, meant for {}", sent.id, sent.upstream));
        }
        lock(&self.runs).push(Run::now(own, sent, mode));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An upstream that is running.
pub(super) struct SoakUpstream {
    pub(super) name: String,
    pub(super) service: &'static str,
    pub(super) version: &'static str,
    address: SocketAddr,
    server: Kind,
}

enum Kind {
    Scripted(ScriptedServer),
    Maker(PieceMaker),
}

impl SoakUpstream {
    /// Starts one and registers it.
    pub(super) async fn start(
        name: String,
        service: &'static str,
        seen: &Arc<Seen>,
        store: &ObjectStore,
    ) -> Self {
        let version = seen.version_of(&name);
        let (server, address) = if service == STAGE {
            let shelf = Arc::clone(&seen.shelf);
            let (observer, own) = (Arc::clone(seen), name.clone());
            let observe = move |req: &Received| observer.departures.observe(&own, req);
            let usual = MakerConfig::default();
            let config = MakerConfig {
                call_time: usual.call_time * seen.loads.lasting_percent(&name) / 100,
                ..usual
            };
            let maker =
                PieceMaker::start_observed(batch_wire_format(), config, shelf, observe).await;
            let address = maker.address;
            (Kind::Maker(maker), address)
        } else {
            let (seen, own) = (Arc::clone(seen), name.clone());
            let server = ScriptedServer::start(move |req| {
                seen.departures.observe(&own, &req);
                let script = answer(&seen, &own, service, version, &req);
                async move { script }
            })
            .await;
            let address = server.address;
            (Kind::Scripted(server), address)
        };
        let upstream = Self {
            name,
            service,
            version,
            address,
            server,
        };
        upstream.register(store, false);
        upstream
    }

    /// Holds back its answers until the guard is dropped.
    pub(super) fn hold(&self) -> Hold {
        match &self.server {
            Kind::Scripted(server) => server.hold(),
            Kind::Maker(maker) => maker.server.hold(),
        }
    }

    /// Loses the results that it holds, as a process does that ends.
    pub(super) fn lose_results(&self, seen: &Seen) {
        seen.shelf.lose(self.address);
    }

    /// Writes its entry.
    pub(super) fn register(&self, store: &ObjectStore, leaving: bool) {
        let domain = domain_of(&self.name);
        let mut entry = upstream_entry(self.service, self.address, &domain, 16, leaving);
        set_version(&mut entry, self.version);
        store.put(
            tc_platform_adapter::outside::UPSTREAMS_KIND,
            &self.name,
            entry,
        );
    }
}

/// Where an upstream runs: they are spread over the failure domains by their numbers.
pub(super) fn domain_of(upstream: &str) -> String {
    domain(number_of(upstream))
}

pub(super) fn number_of(upstream: &str) -> usize {
    let number = upstream.rsplit('-').next();
    number.and_then(|n| n.parse().ok()).unwrap_or_default()
}

/// Name of a failure domain.
pub(super) fn domain(number: usize) -> String {
    format!("d{}", number % DOMAINS)
}

fn answer(seen: &Seen, own: &str, service: &'static str, version: &str, req: &Received) -> Script {
    let sent = read_forwarded_request(req);
    seen.arrive(service, &sent);
    let mode = seen.mode(own);
    if seen.refuse(own, &sent) {
        return not_run_retry_after(BACKOFF.as_secs_f64());
    }
    if mode == UpstreamMode::Full {
        return not_run();
    }
    if !sent.inputs.is_empty() && !seen.shelf.all_kept(&sent.id, &sent.inputs) {
        return input_gone();
    }
    seen.begin(own, &sent, mode);
    if Culprit::of(&sent).is_some() {
        seen.end(own);
        let head = (service == ENGINES).then(|| stream_head_with(req, ""));
        return head.into_iter().chain([Step::Pause(CRASH_TIME)]).collect();
    }
    if mode == UpstreamMode::Silent {
        return vec![Step::Pause(Duration::from_mins(1))];
    }
    let pace = if mode == UpstreamMode::Slow {
        Pace::Slow
    } else {
        seen.loads.pace(own).unwrap_or(seen.pace)
    };
    let headers = seen.extra_headers(own);
    let holds = seen.holds_results && !sent.inputs.is_empty() && is_held(&sent.id);
    let mut script = match service {
        ENGINES => stream(req, &sent, version, &headers, pace),
        _ => plain(req, &sent, &headers, pace),
    };
    if holds {
        script.insert(0, Step::Pause(HOLD_TIME));
    }
    if mode == UpstreamMode::Breaks {
        script.truncate(script.len() / 2);
        script.push(Step::Reset);
    }
    script
}
