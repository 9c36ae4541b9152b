//! Stage latency estimates: decaying quantiles per service and size class.

use std::{
    collections::HashMap,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use hdrhistogram::Histogram;
use tc_protocol::{MonoTime, ServiceName};

/// Duration of a histogram generation. Quantiles cover the current and the previous generation.
const GENERATION: Duration = Duration::from_secs(10);
/// Minimum number of records before a (service, size class) pair counts as known and may be hedged.
const MIN_RECORDS: u64 = 8;
/// Lookups without a new record after which the estimate starts to decay.
const LOOKUPS_BEFORE_DECAY: u32 = 64;
/// Time without a new record after which the estimate starts to decay.
const TIME_BEFORE_DECAY: Duration = Duration::from_secs(2);
/// Time without a record after which a (service, size class) pair is removed.
const EXPIRE_AFTER: Duration = Duration::from_mins(10);
/// Maximum number of (service, size class) pairs. At the limit, new pairs are not recorded until old ones expire.
const MAX_PAIRS: usize = 1_024;
/// Histogram resolution in microseconds.
const UNIT_MICROS: u64 = 100;
/// Largest value a histogram distinguishes, in units of [`UNIT_MICROS`]: one hour.
const MAX_UNITS: u64 = 36_000_000;
/// Significant decimal digits of the recorded times.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Size class of a call: the power of four that covers the bytes to read and the tokens to generate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SizeClass(u8);

/// Input bytes that cost about as much as one generated token.
const BYTES_PER_TOKEN_OUT: usize = 64;

impl SizeClass {
    /// Returns the class of a call that reads `input_bytes` and generates at most `max_tokens`.
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

/// Latency estimate of a stage, including the wait for its permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StageEstimate {
    /// Time at the requested quantile.
    pub at_quantile: Duration,
    /// Median time.
    pub median: Duration,
    /// 95th percentile.
    pub p95: Duration,
    /// Whether there were enough records for a usable estimate.
    pub known: bool,
}

/// Decaying latency quantiles per (service, size class). Memory use is bounded.
#[derive(Debug, Default)]
pub struct Estimators {
    pairs: HashMap<ServiceName, HashMap<SizeClass, DecayingHistogram>>,
    now: MonoTime,
    last_removal: MonoTime,
}

impl Estimators {
    /// Creates an instance without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Advances the time without a record; see [`Estimators::stage`] for the reason.
    pub fn advance(&mut self, now: MonoTime) {
        self.now = self.now.max(now);
        if self.now.since(self.last_removal) >= GENERATION {
            self.last_removal = self.now;
            let now = self.now;
            self.pairs.retain(|_, classes| {
                classes.retain(|_, histogram| now.since(histogram.last_record) < EXPIRE_AFTER);
                !classes.is_empty()
            });
        }
    }

    /// Records the duration of a call, including the wait for its permit.
    pub fn record(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        class: SizeClass,
        took: Duration,
    ) {
        self.advance(now);
        if let Some(histogram) = self.pairs.get_mut(service).and_then(|c| c.get_mut(&class)) {
            histogram.record(now, took);
            return;
        }
        if self.len() < MAX_PAIRS {
            let mut histogram = DecayingHistogram::new(now);
            histogram.record(now, took);
            self.pairs
                .entry(service.clone())
                .or_default()
                .insert(class, histogram);
        }
    }

    /// Returns the recorded `q` quantile of the recent calls, or `None` without records.
    #[must_use]
    pub fn quantile(&self, service: &ServiceName, class: SizeClass, q: f64) -> Option<Duration> {
        Some(self.histogram(service, class)?.quantile(q))
    }

    /// Returns the estimate of a stage, with its time at quantile `q`.
    ///
    /// `at_quantile` decays while there are no new records, both with time (see [`Estimators::advance`]) and with the
    /// number of lookups. Without the decay, a temporary slowdown could make admission refuse every request for good:
    /// refused calls are never measured, so the estimate that refuses them would never change, and an idle fleet would
    /// serve nothing. As the estimate decays, some calls are admitted again and their times replace the old records.
    #[must_use]
    pub fn stage(&self, service: &ServiceName, class: SizeClass, q: f64) -> StageEstimate {
        let Some(histogram) = self.histogram(service, class) else {
            return StageEstimate::default();
        };
        StageEstimate {
            at_quantile: histogram
                .quantile(q)
                .mul_f64(histogram.confidence(self.now)),
            median: histogram.quantile(0.5),
            p95: histogram.quantile(0.95),
            known: histogram.recent.len() >= MIN_RECORDS,
        }
    }

    /// Returns the number of (service, size class) pairs, which is bounded.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pairs.values().map(HashMap::len).sum()
    }

    /// Returns true if there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pairs.is_empty()
    }

    fn histogram(&self, service: &ServiceName, class: SizeClass) -> Option<&DecayingHistogram> {
        self.pairs.get(service)?.get(&class)
    }
}

/// Histograms of the current and the previous generation.
#[derive(Debug)]
struct DecayingHistogram {
    /// Records of the current generation.
    current: Histogram<u32>,
    /// Records of the current and the previous generation.
    recent: Histogram<u32>,
    generation_start: MonoTime,
    last_record: MonoTime,
    lookups: AtomicU32,
}

impl DecayingHistogram {
    fn new(now: MonoTime) -> Self {
        let empty = Histogram::new_with_max(MAX_UNITS, SIGNIFICANT_DIGITS)
            .expect("the bounds are constants that the histogram accepts");
        Self {
            current: empty.clone(),
            recent: empty,
            generation_start: now,
            last_record: now,
            lookups: AtomicU32::new(0),
        }
    }

    fn record(&mut self, now: MonoTime, took: Duration) {
        let age = now.since(self.generation_start);
        if age >= GENERATION {
            self.recent.clear();
            if age < GENERATION * 2 {
                std::mem::swap(&mut self.recent, &mut self.current);
            } else {
                self.current.clear();
            }
            self.generation_start = now;
        }
        let units = (took.as_micros() as u64).div_ceil(UNIT_MICROS).max(1);
        self.current.saturating_record(units);
        self.recent.saturating_record(units);
        self.last_record = self.last_record.max(now);
        self.lookups.store(0, Ordering::Relaxed);
    }

    fn quantile(&self, q: f64) -> Duration {
        Duration::from_micros(self.recent.value_at_quantile(q) * UNIT_MICROS)
    }

    /// Returns the weight of the estimate: 1 with recent records, decaying towards 0 without.
    fn confidence(&self, now: MonoTime) -> f64 {
        let lookups = self.lookups.fetch_add(1, Ordering::Relaxed);
        let by_lookups = f64::from(LOOKUPS_BEFORE_DECAY) / f64::from(lookups.max(1));
        let idle_s = now.since(self.last_record).as_secs_f64();
        let by_time = TIME_BEFORE_DECAY.as_secs_f64() / idle_s.max(f64::MIN_POSITIVE);
        by_lookups.min(by_time).min(1.0)
    }
}
