//! Plan of the faults that a seed injects, with their times.

use std::{fmt, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tc_platform_adapter::outside::ImpossibleLoad;
use tc_stand_ins::StoreMode;

use super::{ConfigurationChanges, OfferedLoad, silences::Silenced};

/// Time without faults at the start, so that every process is up and has what it needs.
pub(super) const CALM_START: Duration = Duration::from_secs(1);
/// Time without faults at the end, in which all must be served again.
pub(super) const CALM_END: Duration = Duration::from_secs(5);
/// Longest fault.
const LONGEST_MS: u64 = 2_500;
/// Mean pause between two faults; faults last up to twice as long, so that they overlap.
const PAUSE_MS: u64 = 450;
/// Differs from the seed itself, so that evacuations are added to the faults that the seed has without them.
const EVACUATIONS: u64 = 0xe7ac;
/// Shortest and longest evacuation, and the longest pause between two: the shortest end before they count everywhere.
const EVACUATED_MS: std::ops::Range<u64> = 1_000..5_000;
const LONGEST_STAY_MS: u64 = 1_500;

/// Behavior of an upstream towards requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum UpstreamMode {
    #[default]
    Well,
    /// It answers half and resets the connection.
    Breaks,
    /// It reads requests and never answers.
    Silent,
    /// It says that it is full and has not run the request.
    Full,
    /// It answers late.
    Slow,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// An instance's process is killed and started again.
    Kill(usize),
    /// It is stopped by SIGTERM and started again.
    Stop(usize),
    /// It is paused by SIGSTOP.
    Pause(usize),
    /// It is told to read its settings again.
    Reload(usize),
    /// The store misbehaves.
    Store(StoreMode),
    /// An upstream misbehaves.
    Upstream(usize, UpstreamMode),
    /// An upstream says that it leaves, goes two seconds later, and another takes its place.
    Leave(usize),
    /// The operators write a new configuration.
    Config,
    /// A failure domain's upstreams are to get nothing new.
    Evacuate(usize),
    /// An upstream of each service announces a rate limit, in tenths of a request per second.
    Limit(usize, u32),
    /// An upstream of each service announces in its answers that it is leaving, while the store lists it as ready.
    AnnounceLeaving(usize),
    /// An upstream of each service refuses requests with a backoff.
    Backoff(usize),
    /// An engine leaves and another takes its place, perhaps with another version.
    ReplaceEngine(usize),
    /// An engine answers half and resets the connection.
    BreakEngine(usize),
    /// The store misbehaves towards one instance.
    StoreOf(usize, StoreMode),
    /// An upstream leaves through the store alone, and another takes its place.
    Depart(usize, Departure),
    /// Upstreams of a service write nothing for a while and then go on where they were.
    Silence(&'static str, Silenced),
    /// A second workspace sends many times the load of the first one.
    Burst,
    /// An upstream ends, and an empty one with a new identifier takes its place.
    RestartUpstream(usize),
    /// The machine of an upstream takes this percentage of the usual time, as the upstream announces.
    SlowDown(usize, u32),
    /// An upstream announces an impossible load.
    AnnounceImpossible(usize, ImpossibleLoad),
}

/// How an upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Departure {
    /// Its entry shows that it is draining until it ends.
    Draining,
    /// Its entry is removed at once, and it serves on for a while.
    Removed,
}

/// Keeps departures apart from the seed itself, as evacuations are.
const DEPARTURES: u64 = 0xd3b;
/// Time for which a departing upstream serves on, longer than its drain time.
const DEPARTING_MS: std::ops::Range<u64> = 4_000..8_000;
const LONGEST_DEPARTURE_PAUSE_MS: u64 = 800;

/// Mixed into the seed, so that adding notices leaves the other faults unchanged.
const NOTICES: u64 = 0x207;
/// Range of the duration of a leaving announcement or a backoff.
const NOTICE_MS: std::ops::Range<u64> = 3_000..6_000;
const LONGEST_NOTICE_PAUSE_MS: u64 = 1_000;

/// Keeps limits apart from the seed itself, as evacuations are.
const LIMITS: u64 = 0x117;
/// Shortest and longest time for which a limit is announced.
const LIMITED_MS: std::ops::Range<u64> = 5_000..9_000;
const LONGEST_UNLIMITED_MS: u64 = 1_000;
/// Limits in tenths of a request per second.
const LIMIT_TENTHS: [u32; 4] = [5, 10, 14, 40];

/// Keeps replaced engines apart from the seed itself, as evacuations are.
const VERSIONS: u64 = 0x7e5;
/// Engines of a soak in which several versions serve, so that two of a version usually do.
pub(super) const VERSIONED_ENGINES: usize = 6;
const BROKEN_MS: std::ops::Range<u64> = 300..1_200;
/// Engines that break off at the same time, on average.
const BROKEN_AT_ONCE: u32 = 2;

/// Failure domains that upstreams are spread over.
pub(super) const DOMAINS: usize = 2;

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Planned {
    pub(super) at: Duration,
    pub(super) lasts: Duration,
    pub(super) fault: Fault,
}

/// The whole plan of a seed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Plan {
    pub(super) seed: u64,
    pub(super) instances: usize,
    pub(super) upstreams: usize,
    /// Whether engines of several versions serve.
    pub(super) versions: bool,
    /// Whether upstreams depart through the store.
    pub(super) departures: bool,
    /// Whether sound upstreams fall silent.
    pub(super) silences: bool,
    pub(super) changes: ConfigurationChanges,
    pub(super) load: OfferedLoad,
    /// From the start to the end of the last fault.
    pub(super) length: Duration,
    pub(super) faults: Vec<Planned>,
}

impl Plan {
    /// The plan of a seed: the same seed and sizes give the same plan.
    pub(super) fn new(seed: u64, instances: usize, upstreams: usize, length: Duration) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = CALM_START;
        loop {
            at += Duration::from_millis(rng.random_range(1..2 * PAUSE_MS));
            let lasts = Duration::from_millis(rng.random_range(200..LONGEST_MS));
            if at + lasts >= length {
                break;
            }
            let fault = fault(&mut rng, instances, upstreams);
            faults.push(Planned { at, lasts, fault });
        }
        Self {
            seed,
            instances,
            upstreams,
            versions: false,
            departures: false,
            silences: false,
            changes: ConfigurationChanges::Usual,
            load: OfferedLoad::Steady,
            length,
            faults,
        }
    }

    /// Returns the number of engines at the start.
    pub(super) fn engines(&self) -> usize {
        if self.versions {
            VERSIONED_ENGINES
        } else {
            self.upstreams
        }
    }

    /// Has engines of several versions serve, which break off and are replaced; the same seed adds the same ones.
    ///
    /// The store stays well: no instance counts as in touch for seconds after a fault of it, and the share of resumed streams
    /// that go on would never be judged.
    pub(super) fn add_versions(&mut self) {
        self.versions = true;
        self.faults
            .retain(|planned| !matches!(planned.fault, Fault::Store(_)));
        let mut rng = SmallRng::seed_from_u64(self.seed ^ VERSIONS);
        let mut at = CALM_START;
        while at < self.length {
            let lasts = Duration::from_millis(rng.random_range(BROKEN_MS));
            let engine = rng.random_range(0..VERSIONED_ENGINES);
            let fault = if rng.random_range(0..3) == 0 {
                Fault::ReplaceEngine(engine)
            } else {
                Fault::BreakEngine(engine)
            };
            self.faults.push(Planned { at, lasts, fault });
            at += lasts / BROKEN_AT_ONCE;
        }
        self.faults.sort_by_key(|planned| planned.at);
    }

    /// Lets upstreams of any service depart, one after the other; the same seed adds the same ones.
    ///
    /// The store stays well for all but one instance at a time: a departure that the store accepts shortly after a fault of
    /// its own binds nobody.
    pub(super) fn add_departures(&mut self) {
        self.departures = true;
        let mut rng = SmallRng::seed_from_u64(self.seed ^ DEPARTURES);
        for planned in &mut self.faults {
            if let Fault::Store(mode) = planned.fault {
                planned.fault = Fault::StoreOf(rng.random_range(0..self.instances), mode);
            }
        }
        let mut at = CALM_START;
        while at < self.length {
            let lasts = Duration::from_millis(rng.random_range(DEPARTING_MS));
            let departure = if rng.random() {
                Departure::Draining
            } else {
                Departure::Removed
            };
            let fault = Fault::Depart(rng.random_range(0..3 * self.upstreams), departure);
            self.faults.push(Planned { at, lasts, fault });
            at += Duration::from_millis(rng.random_range(1..LONGEST_DEPARTURE_PAUSE_MS));
        }
        self.faults.sort_by_key(|planned| planned.at);
    }

    /// Adds upstreams that announce rate limits, one after the other; the same seed adds the same ones.
    pub(super) fn add_limits(&mut self) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ LIMITS);
        let mut at = CALM_START;
        while at < self.length {
            let lasts = Duration::from_millis(rng.random_range(LIMITED_MS));
            let tenths = LIMIT_TENTHS[rng.random_range(0..LIMIT_TENTHS.len())];
            let fault = Fault::Limit(rng.random_range(0..self.upstreams), tenths);
            self.faults.push(Planned { at, lasts, fault });
            at += lasts + Duration::from_millis(rng.random_range(1..LONGEST_UNLIMITED_MS));
        }
        self.faults.sort_by_key(|planned| planned.at);
    }

    /// Adds upstreams that announce that they are leaving or refuse requests with a backoff, one after the other; the same
    /// seed adds the same ones.
    pub(super) fn add_notices(&mut self) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ NOTICES);
        let mut at = CALM_START;
        while at < self.length {
            let lasts = Duration::from_millis(rng.random_range(NOTICE_MS));
            let upstream = rng.random_range(0..self.upstreams);
            let fault = if rng.random() {
                Fault::AnnounceLeaving(upstream)
            } else {
                Fault::Backoff(upstream)
            };
            self.faults.push(Planned { at, lasts, fault });
            at += lasts + Duration::from_millis(rng.random_range(1..LONGEST_NOTICE_PAUSE_MS));
        }
        self.faults.sort_by_key(|planned| planned.at);
    }

    /// Adds evacuations of one failure domain after the other; the same seed adds the same ones.
    pub(super) fn add_evacuations(&mut self) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ EVACUATIONS);
        let mut at = CALM_START;
        loop {
            at += Duration::from_millis(rng.random_range(1..LONGEST_STAY_MS));
            let lasts = Duration::from_millis(rng.random_range(EVACUATED_MS));
            if at + lasts >= self.length {
                break;
            }
            let fault = Fault::Evacuate(rng.random_range(0..DOMAINS));
            self.faults.push(Planned { at, lasts, fault });
            at += lasts;
        }
        self.faults.sort_by_key(|planned| planned.at);
    }
}

fn fault(rng: &mut SmallRng, instances: usize, upstreams: usize) -> Fault {
    let (instance, upstream) = (
        rng.random_range(0..instances),
        rng.random_range(0..upstreams),
    );
    match rng.random_range(0..16) {
        0 | 1 => Fault::Kill(instance),
        2..=4 => Fault::Stop(instance),
        5 | 6 => Fault::Pause(instance),
        7 => Fault::Reload(instance),
        8 | 9 => Fault::Store(store_mode(rng)),
        10..=12 => Fault::Upstream(upstream, upstream_mode(rng)),
        13 => Fault::Leave(upstream),
        _ => Fault::Config,
    }
}

fn store_mode(rng: &mut SmallRng) -> StoreMode {
    const MODES: [StoreMode; 8] = [
        StoreMode::Down,
        StoreMode::Silent,
        StoreMode::Slow(Duration::from_millis(300)),
        StoreMode::LosesAnswers,
        StoreMode::HistoryGone,
        StoreMode::Forgetful,
        StoreMode::DeafWatches,
        StoreMode::Limited,
    ];
    MODES[rng.random_range(0..MODES.len())]
}

fn upstream_mode(rng: &mut SmallRng) -> UpstreamMode {
    const MODES: [UpstreamMode; 4] = [
        UpstreamMode::Breaks,
        UpstreamMode::Silent,
        UpstreamMode::Full,
        UpstreamMode::Slow,
    ];
    MODES[rng.random_range(0..MODES.len())]
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} instances, {} upstreams of each service, {} s",
            self.seed,
            self.instances,
            self.upstreams,
            self.length.as_secs()
        )?;
        for planned in &self.faults {
            writeln!(
                f,
                "  {:6.3} s for {:5.3} s  {:?}",
                planned.at.as_secs_f64(),
                planned.lasts.as_secs_f64(),
                planned.fault
            )?;
        }
        Ok(())
    }
}
