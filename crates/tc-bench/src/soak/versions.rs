//! Streams while engines of several software versions serve: each stream keeps the version that began it, and those that
//! callers resume go on.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tc_protocol::routing::RouteKind;
use tokio::time::Instant;

use super::{
    callers::Told,
    departures::LEAVES_AFTER,
    drive::Soak,
    judge::{Evidence, Harmed, events},
    upstreams::{ENGINES, SoakUpstream},
};

/// Resumed streams from which on the share that goes on is judged.
const MIN_RESUMED: usize = 12;
/// Time after a fault in which an instance may miss what it needs.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// The time in which an engine was registered and not leaving.
#[derive(Clone, Debug)]
pub(super) struct EngineLife {
    pub(super) upstream: String,
    version: &'static str,
    from: Instant,
    pub(super) until: Option<Instant>,
}

impl EngineLife {
    /// The life of an engine that has just been registered.
    pub(super) fn begin(engine: &SoakUpstream) -> Self {
        Self {
            upstream: engine.name.clone(),
            version: engine.version,
            from: Instant::now(),
            until: None,
        }
    }

    /// The life of an engine that takes the place of a crashed one. It counts once instances must know it.
    pub(super) fn succeed(engine: &SoakUpstream) -> Self {
        Self {
            from: Instant::now() + CONTACT_TIME,
            ..Self::begin(engine)
        }
    }

    pub(super) fn all(upstreams: &[SoakUpstream]) -> Vec<Self> {
        let engines = upstreams.iter().filter(|u| u.service == ENGINES);
        engines.map(Self::begin).collect()
    }
}

/// A time in which an engine did not serve as it should, other than by breaking off.
#[derive(Clone, Debug)]
pub(super) struct Impaired {
    pub(super) upstream: String,
    pub(super) from: Instant,
    pub(super) until: Instant,
}

impl Soak {
    /// Makes an engine leave and starts one in its place, which may have another version.
    pub(super) async fn replace_engine(&mut self, engine: usize) {
        let now = Instant::now();
        let mut engines = self.upstreams.iter().filter(|u| u.service == ENGINES);
        let Some(leaving) = engines.nth(engine) else {
            return;
        };
        let name = leaving.name.clone();
        if self.leaving.iter().any(|(_, other)| *other == name) {
            return;
        }
        leaving.register(&self.store, true);
        let lives = self.engine_lives.iter_mut();
        for life in lives.filter(|life| life.upstream == name) {
            life.until = Some(now);
        }
        self.leaving.push((now + LEAVES_AFTER, name));
        self.next_upstream += 1;
        let fresh = format!("{ENGINES}-{}", self.next_upstream);
        let started = SoakUpstream::start(fresh, ENGINES, &self.seen, &self.store).await;
        self.engine_lives.push(EngineLife::begin(&started));
        self.upstreams.push(started);
    }
}

/// Checks that no stream has events of two versions and that enough of the resumed ones go on.
pub(super) fn version_promises(evidence: &Evidence) -> Vec<String> {
    let streams = resumable_streams(&evidence.told);
    let mut broken: Vec<String> = streams.values().filter_map(|s| mixed_versions(s)).collect();
    broken.extend(resumption_promise(evidence, &streams));
    broken
}

/// The requests of each stream, by the one that began it.
fn resumable_streams(told: &[Told]) -> BTreeMap<&str, Vec<&Told>> {
    let mut streams: BTreeMap<&str, Vec<&Told>> = BTreeMap::new();
    for told in told {
        if told.repeat == RouteKind::ResumableStream {
            let began = told.resumed.as_ref().map_or(&told.request, |r| &r.began);
            streams.entry(began).or_default().push(told);
        }
    }
    streams
}

/// The versions of the engines that sent the events of an answer.
fn versions(told: &Told) -> Vec<&str> {
    let events = events(&told.body).unwrap_or_default();
    let versions = events
        .into_iter()
        .filter_map(|(_, data)| data.rsplit_once('@'));
    versions.map(|(_, version)| version).collect()
}

fn mixed_versions(stream: &[&Told]) -> Option<String> {
    let found: BTreeSet<&str> = stream.iter().flat_map(|told| versions(told)).collect();
    (found.len() > 1).then(|| {
        let requests: Vec<&str> = stream.iter().map(|told| told.request.as_str()).collect();
        format!("order: {} has events of {found:?}", requests.join(", "))
    })
}

/// Of the streams that callers resume while two sound engines of their version serve, at least half as large a share goes on
/// as of new streams begins.
fn resumption_promise(evidence: &Evidence, streams: &BTreeMap<&str, Vec<&Told>>) -> Option<String> {
    let (mut begun, mut new, mut went_on, mut resumed) = (0, 0, 0, 0);
    for stream in streams.values() {
        for told in stream.iter().filter(|told| is_in_touch(evidence, told)) {
            let served = told.status == 200 && (told.whole || !versions(told).is_empty());
            let version = || {
                stream
                    .iter()
                    .find_map(|told| versions(told).first().copied())
            };
            if told.resumed.is_none() {
                new += 1;
                begun += usize::from(served);
            } else if version().is_some_and(|version| has_two_engines(evidence, version, told.sent))
            {
                resumed += 1;
                went_on += usize::from(served);
            }
        }
    }
    // Half as large a share, without a division.
    let is_too_few = 2 * went_on * new < begun * resumed;
    (resumed >= MIN_RESUMED && is_too_few).then(|| {
        format!(
            "lost: {went_on} of {resumed} resumed streams went on, {begun} of {new} new ones began"
        )
    })
}

pub(super) fn is_in_touch(evidence: &Evidence, told: &Told) -> bool {
    let mut harms = evidence.harms.iter();
    let is_harmed = harms.any(|harm| {
        let is_theirs = harm.whom == Harmed::Store || harm.whom == Harmed::Instance(told.instance);
        is_theirs && harm.from <= told.ended && told.sent < harm.until + CONTACT_TIME
    });
    let mut restarts = evidence.restarts.iter();
    let is_new = restarts.any(|(instance, at)| {
        *instance == told.instance && *at <= told.ended && told.sent < *at + CONTACT_TIME
    });
    !is_harmed && !is_new
}

fn has_two_engines(evidence: &Evidence, version: &str, at: Instant) -> bool {
    let is_sound = |life: &&EngineLife| {
        let mut impaired = evidence.impaired.iter();
        life.version == version
            && life.from <= at
            && life.until.is_none_or(|until| until > at)
            && !impaired.any(|i| i.upstream == life.upstream && i.from <= at && at < i.until)
    };
    evidence.engine_lives.iter().filter(is_sound).count() >= 2
}
