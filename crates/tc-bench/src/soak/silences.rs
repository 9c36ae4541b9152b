//! Sound upstreams that fall silent for a while and then go on where they were, and the answers that must not be cut
//! meanwhile.

use std::{fmt::Write, ops::Range, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::{Instant, sleep_until};

use super::{
    OfferedLoad,
    callers::{DEADLINE, KINDS, Kind, Told},
    drive::Soak,
    judge::{Evidence, LAST_PART},
    plan::{CALM_START, Fault, Plan, Planned},
    process::GRACE,
    upstreams::{ENGINES, Run, STAGE, SoakUpstream, WEB},
};

/// The first of the kinds of requests, which callers send in every soak.
const USUAL_KINDS: usize = 5;

/// Mixed into the seed, so that adding silences leaves the other faults unchanged.
const SILENCES: u64 = 0x51e;
const MIN_SILENT_MS: u64 = 300;
/// Range of the upper bound of a silence, so that most are short.
const MAX_SILENT_MS: Range<u64> = 600..3_000;
const LONGEST_PAUSE_MS: u64 = 800;

/// Time for which callers wait for their answers while upstreams fall silent.
const LONG_DEADLINE: Duration = Duration::from_secs(6);
/// Timeout of the routes and idle timeout, which versions of the configuration have in turn.
pub(super) const TIMEOUTS: [(Duration, Duration); 2] = [
    (Duration::from_secs(8), Duration::from_secs(15)),
    (SHORTEST_TIMEOUT, Duration::from_secs(1)),
];
/// Shortest time after which an answer may be ended by its deadline or by its route's timeout.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(5_500);
/// Statuses of requests that ended without a whole answer: none, a bad gateway, a timeout.
const NO_ANSWER: [u16; 3] = [0, 502, 504];

/// Upstreams of a service that fall silent at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Silenced {
    One(usize),
    AllButOne(usize),
    All,
}

impl Silenced {
    const fn contains(self, number: usize, count: usize) -> bool {
        match self {
            Self::One(one) => number == one % count,
            Self::AllButOne(one) => number != one % count,
            Self::All => true,
        }
    }
}

/// A time in which a sound upstream was silent.
#[derive(Clone, Debug)]
struct Silence {
    upstream: String,
    from: Instant,
    until: Instant,
}

/// A time in which an instance did not run, or was about to stop.
#[derive(Clone, Copy, Debug)]
struct Absence {
    instance: usize,
    from: Instant,
    /// `None` if it lasted until the instance was started again.
    until: Option<Instant>,
    is_planned: bool,
}

/// Evidence on answers that were cut.
#[derive(Default)]
pub(super) struct Continuity {
    silences: Vec<Silence>,
    absences: Vec<Absence>,
    /// Upstreams that ended, and when.
    ended: Vec<(String, Instant)>,
}

impl Plan {
    /// Adds silences of upstreams of any service, changes of the configuration meanwhile, and reloads; the same seed adds the
    /// same ones.
    pub(super) fn add_silences(&mut self) {
        self.silences = true;
        let mut rng = SmallRng::seed_from_u64(self.seed ^ SILENCES);
        let mut at = CALM_START;
        loop {
            at += Duration::from_millis(rng.random_range(1..LONGEST_PAUSE_MS));
            let longest = rng.random_range(MAX_SILENT_MS);
            let lasts = Duration::from_millis(rng.random_range(MIN_SILENT_MS..longest));
            if at + lasts >= self.length {
                break;
            }
            // Engines run the long answers.
            let service = [WEB, ENGINES, ENGINES, STAGE][rng.random_range(0..4)];
            let one = rng.random_range(0..self.upstreams);
            let silenced = match rng.random_range(0..3) {
                0 => Silenced::One(one),
                1 => Silenced::AllButOne(one),
                _ => Silenced::All,
            };
            let mut add = |at, fault| self.faults.push(Planned { at, lasts, fault });
            add(at, Fault::Silence(service, silenced));
            match rng.random_range(0..4) {
                0 | 1 => add(at + lasts / 3, Fault::Config),
                2 => add(
                    at + lasts / 3,
                    Fault::Reload(rng.random_range(0..self.instances)),
                ),
                _ => {}
            }
            at += lasts / 2;
        }
        self.faults.sort_by_key(|planned| planned.at);
    }
}

impl Soak {
    /// Returns the kinds of requests that callers send.
    pub(super) fn kinds(&self) -> &'static [Kind] {
        if self.has_silences || self.load == OfferedLoad::Hard {
            &KINDS
        } else {
            &KINDS[..USUAL_KINDS]
        }
    }

    /// Returns the time for which callers wait for their answers.
    pub(super) fn deadline(&self) -> Duration {
        if self.has_silences {
            LONG_DEADLINE
        } else {
            DEADLINE
        }
    }

    /// Holds back the answers of upstreams of a service until `until`.
    pub(super) fn silence(&mut self, service: &str, silenced: Silenced, until: Instant) {
        let of_service: Vec<&SoakUpstream> = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.service == service)
            .collect();
        let count = of_service.len();
        for (number, upstream) in of_service.into_iter().enumerate() {
            if !silenced.contains(number, count) {
                continue;
            }
            let hold = upstream.hold();
            self.continuity.silences.push(Silence {
                upstream: upstream.name.clone(),
                from: Instant::now(),
                until,
            });
            tokio::spawn(async move {
                sleep_until(until).await;
                drop(hold);
            });
        }
    }

    /// Records the absence of an instance that a fault causes.
    pub(super) fn record_absence(&mut self, fault: Fault, from: Instant, until: Instant) {
        let (instance, until) = match fault {
            Fault::Kill(instance) | Fault::Stop(instance) => (instance, None),
            Fault::Pause(instance) => (instance, Some(until)),
            _ => return,
        };
        self.continuity.absences.push(Absence {
            instance,
            from,
            until,
            is_planned: matches!(fault, Fault::Stop(_)),
        });
    }

    /// Records the end of an upstream.
    pub(super) fn record_end(&mut self, upstream: &str, at: Instant) {
        self.continuity.ended.push((upstream.to_owned(), at));
    }
}

/// Counts the requests that ran while their upstreams were silent, in words.
pub(super) fn requests_in_silence(evidence: &Evidence) -> String {
    let silences = &evidence.continuity.silences;
    let met = |told: &Told, is_met: fn(&Run, &Silence) -> bool| {
        runs_of(evidence, told).any(|run| {
            let own = silences.iter().filter(|s| s.upstream == run.upstream);
            own.into_iter()
                .any(|silence| silence.from < told.ended && is_met(run, silence))
        })
    };
    let all = evidence.told.iter();
    let all: Vec<&Told> = all
        .filter(|told| met(told, |run, silence| run.at < silence.until))
        .collect();
    let judged: Vec<_> = all.iter().filter(|t| is_judged(evidence, t)).collect();
    let in_progress = judged
        .iter()
        .filter(|told| met(told, |run, silence| run.at < silence.from));
    let (count, in_progress) = (judged.len(), in_progress.count());
    let whole = judged.iter().filter(|told| told.whole).count();
    format!(
        "{} requests ran at silent upstreams: {count} are judged, {in_progress} of them in progress before, {whole} whole",
        all.len()
    )
}

/// An answer of a sound upstream through an instance that runs is ended by nothing but its time.
pub(super) fn continuity_promises(evidence: &Evidence) -> Vec<String> {
    let told = evidence.told.iter();
    told.filter(|told| is_lost(evidence, told))
        .map(|told| describe(evidence, told))
        .collect()
}

fn runs_of<'a>(evidence: &'a Evidence, told: &'a Told) -> impl Iterator<Item = &'a Run> {
    let runs = evidence.runs.iter();
    runs.filter(|run| run.request == told.request)
}

fn is_lost(evidence: &Evidence, told: &Told) -> bool {
    let is_cut = told.status == 200 && !told.whole || NO_ANSWER.contains(&told.status);
    is_cut && is_judged(evidence, told)
}

/// Returns true if nothing but the end of the answer itself may have ended it.
fn is_judged(evidence: &Evidence, told: &Told) -> bool {
    told.ended.duration_since(told.sent) < SHORTEST_TIMEOUT
        && runs_of(evidence, told).next().is_some()
        && runs_of(evidence, told).all(|run| was_sound(evidence, run, told.ended))
        && was_running(evidence, told)
}

fn was_sound(evidence: &Evidence, run: &Run, until: Instant) -> bool {
    let mut ended = evidence.continuity.ended.iter();
    run.is_sound && !ended.any(|(upstream, at)| *upstream == run.upstream && *at <= until)
}

fn was_running(evidence: &Evidence, told: &Told) -> bool {
    let absences = evidence.continuity.absences.iter();
    let mut own = absences.filter(|absence| absence.instance == told.instance);
    own.all(|absence| {
        let mut restarts = evidence.restarts.iter();
        let restart =
            restarts.find(|(instance, at)| *instance == told.instance && *at > absence.from);
        let until = absence.until.or(restart.map(|(_, at)| *at));
        let overlaps = absence.from <= told.ended && until.is_none_or(|until| told.sent < until);
        !overlaps || absence.is_planned && is_within_grace(evidence, absence, told)
    })
}

fn is_within_grace(evidence: &Evidence, absence: &Absence, told: &Told) -> bool {
    let mut stops = evidence.stops.iter();
    stops.any(|stop| {
        stop.instance == absence.instance
            && (stop.from..stop.until).contains(&absence.from)
            && told.ended <= stop.from + GRACE.mul_f64(1.0 - LAST_PART)
    })
}

fn describe(evidence: &Evidence, told: &Told) -> String {
    let since_sent = |at: Instant| {
        let (before, after) = (
            told.sent.saturating_duration_since(at),
            at.saturating_duration_since(told.sent),
        );
        if before > Duration::ZERO {
            format!("-{}", before.as_millis())
        } else {
            format!("+{}", after.as_millis())
        }
    };
    let mut text = format!(
        "lost: {} on {} at instance {} ended with status {} {} ms after it was sent, with {} bytes of its body",
        told.request,
        told.route,
        told.instance,
        told.status,
        told.ended.duration_since(told.sent).as_millis(),
        told.body.len()
    );
    for run in runs_of(evidence, told) {
        // Writing to a string cannot fail.
        let _ = write!(text, "; {} ran it at {}", run.upstream, since_sent(run.at));
        let silences = evidence.continuity.silences.iter();
        for silence in silences.filter(|s| s.upstream == run.upstream) {
            if silence.from <= told.ended && silence.until >= run.at {
                let (from, until) = (since_sent(silence.from), since_sent(silence.until));
                let _ = write!(text, ", silent {from}..{until}");
            }
        }
    }
    text
}
