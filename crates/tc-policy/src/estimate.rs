//! How long stages take: decaying quantiles per service and size class.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use hdrhistogram::Histogram;
use tc_protocol::{MonoTime, ServiceName};

/// How long a generation of records lasts. Quantiles are over the current and the previous one.
const GENERATION: Duration = Duration::from_secs(10);
/// Records without which a (service, size class) is not known well enough to hedge by.
const ENOUGH_RECORDS: u64 = 8;
/// Lookups that may pass without any new record before the estimate starts to shrink.
const LOOKUPS_BEFORE_DOUBT: u32 = 64;
/// Time without any new record before the estimate starts to shrink.
const TIME_BEFORE_DOUBT: Duration = Duration::from_secs(2);
/// A (service, size class) with no record for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(10);
/// Most (service, size class) pairs kept; past it, new ones are not recorded until old ones are forgotten.
const MOST_PAIRS: usize = 1_024;
/// Histograms count in units of this many microseconds.
const UNIT_MICROS: u64 = 100;
/// Longest time told apart, in units: one hour.
const LONGEST_UNITS: u64 = 36_000_000;
/// Decimal digits kept of each time.
const DIGITS: u8 = 2;

/// Calls of about one size: the power of four that holds the bytes read and tokens asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SizeClass(u8);

/// Tokens generated cost about as much as this many bytes read.
const BYTES_PER_TOKEN_OUT: usize = 64;

impl SizeClass {
    /// The class of a call with `input_bytes` to read and at most `max_tokens` to generate.
    ///
    /// ```
    /// use tc_policy::SizeClass;
    /// assert_eq!(SizeClass::of(100, 0), SizeClass::of(110, 0));
    /// assert!(SizeClass::of(100, 0) < SizeClass::of(100, 64));
    /// ```
    #[must_use]
    pub fn of(input_bytes: usize, max_tokens: u32) -> Self {
        let work = input_bytes.saturating_add(max_tokens as usize * BYTES_PER_TOKEN_OUT);
        Self((usize::BITS - work.leading_zeros()).div_ceil(2) as u8)
    }
}

/// What is known of a stage's time, the wait for its permit included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageEstimate {
    /// Time at the quantile that was asked for.
    pub at_quantile: Duration,
    /// Median time.
    pub median: Duration,
    /// Time that one in twenty exceeds.
    pub p95: Duration,
    /// Whether there were enough records to go by.
    pub known: bool,
}

/// Decaying time quantiles per (service, size class). Memory is bounded, however long it runs.
#[derive(Debug, Default)]
pub struct Estimators {
    pairs: HashMap<ServiceName, HashMap<SizeClass, Decaying>>,
    now: MonoTime,
    swept: MonoTime,
}

impl Estimators {
    /// Nothing known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves time on without a record; see [`Estimators::stage`] for why.
    pub fn advance(&mut self, now: MonoTime) {
        self.now = self.now.max(now);
        if self.now.since(self.swept) >= GENERATION {
            self.swept = self.now;
            let now = self.now;
            self.pairs.retain(|_, classes| {
                classes.retain(|_, times| now.since(times.last) < FORGET_AFTER);
                !classes.is_empty()
            });
        }
    }

    /// Records that a call took `took`, the wait for its permit included.
    pub fn record(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        class: SizeClass,
        took: Duration,
    ) {
        self.advance(now);
        if let Some(times) = self.pairs.get_mut(service).and_then(|c| c.get_mut(&class)) {
            times.record(now, took);
            return;
        }
        if self.len() < MOST_PAIRS {
            let mut times = Decaying::new(now);
            times.record(now, took);
            self.pairs
                .entry(service.clone())
                .or_default()
                .insert(class, times);
        }
    }

    /// Time that a share `q` of the recent calls did not exceed, as recorded; `None` when there was none.
    #[must_use]
    pub fn quantile(&self, service: &ServiceName, class: SizeClass, q: f64) -> Option<Duration> {
        Some(self.times(service, class)?.quantile(q))
    }

    /// What is known of a stage, with its time at quantile `q`.
    ///
    /// `at_quantile` shrinks while no new record comes in, by time (as told by [`Estimators::advance`]) and by
    /// lookups. Without that, a slow spell could make admission refuse everything for ever: refused calls are never
    /// measured, so the estimate that refuses them would never change, seen as a fleet that is idle and answers
    /// nothing. As it shrinks, some calls are admitted again, and what they measure replaces the old records.
    #[must_use]
    pub fn stage(&self, service: &ServiceName, class: SizeClass, q: f64) -> StageEstimate {
        let Some(times) = self.times(service, class) else {
            return StageEstimate::default();
        };
        StageEstimate {
            at_quantile: times.quantile(q).mul_f64(times.trust(self.now)),
            median: times.quantile(0.5),
            p95: times.quantile(0.95),
            known: times.recent.len() >= ENOUGH_RECORDS,
        }
    }

    /// (service, size class) pairs kept; bounded.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pairs.values().map(HashMap::len).sum()
    }

    /// Whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    fn times(&self, service: &ServiceName, class: SizeClass) -> Option<&Decaying> {
        self.pairs.get(service)?.get(&class)
    }
}

/// Times of the current and the previous generation.
#[derive(Debug)]
struct Decaying {
    /// Records of the current generation.
    current: Histogram<u32>,
    /// Records of the current and the previous generation.
    recent: Histogram<u32>,
    started: MonoTime,
    last: MonoTime,
    lookups: AtomicU32,
}

impl Decaying {
    fn new(now: MonoTime) -> Self {
        let empty = Histogram::new_with_max(LONGEST_UNITS, DIGITS)
            .expect("the bounds are constants that the histogram accepts");
        Self {
            current: empty.clone(),
            recent: empty,
            started: now,
            last: now,
            lookups: AtomicU32::new(0),
        }
    }

    fn record(&mut self, now: MonoTime, took: Duration) {
        let age = now.since(self.started);
        if age >= GENERATION {
            self.recent.clear();
            if age < GENERATION * 2 {
                std::mem::swap(&mut self.recent, &mut self.current);
            } else {
                self.current.clear();
            }
            self.started = now;
        }
        let units = (took.as_micros() as u64).div_ceil(UNIT_MICROS).max(1);
        self.current.saturating_record(units);
        self.recent.saturating_record(units);
        self.last = self.last.max(now);
        self.lookups.store(0, Ordering::Relaxed);
    }

    fn quantile(&self, q: f64) -> Duration {
        Duration::from_micros(self.recent.value_at_quantile(q) * UNIT_MICROS)
    }

    /// How much of the estimate still counts: 1 with fresh records, towards 0 without.
    fn trust(&self, now: MonoTime) -> f64 {
        let lookups = self.lookups.fetch_add(1, Ordering::Relaxed);
        let by_lookups = f64::from(LOOKUPS_BEFORE_DOUBT) / f64::from(lookups.max(1));
        let silent = now.since(self.last).as_secs_f64();
        let by_time = TIME_BEFORE_DOUBT.as_secs_f64() / silent.max(f64::MIN_POSITIVE);
        by_lookups.min(by_time).min(1.0)
    }
}
