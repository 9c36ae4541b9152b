//! Enforces an entry's share of one workspace's limits.

use std::time::Duration;

use tc_protocol::{Limits, MonoTime};

use super::{Demand, EQUAL_SHARE_DELAY, Share, token_bucket::TokenBucket};

/// Retry hint for a request refused by the concurrency limit.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Window over which demand is averaged, and for which a peak or a refusal is remembered.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Weight of the latest request in the moving average of the cost per request.
const MEAN_COST_WEIGHT: f64 = 0.1;
/// Added to [`Demand::concurrency`] if the concurrency limit refused requests.
const UNMET_DEMAND: f64 = 0.5;

/// The most recent share.
#[derive(Clone, Copy, Debug)]
struct HeldShare {
    share: Share,
    expires_at: MonoTime,
    equal_share_from: MonoTime,
}

/// Keeps one workspace's requests at one entry within the entry's share.
///
/// Over any time T, all entries together start at most `limit * (T + 0.1 s)` requests plus one per entry.
#[derive(Debug)]
pub struct ShareBucket {
    limits: Limits,
    live_entries: usize,
    held: Option<HeldShare>,
    requests: TokenBucket,
    cost: TokenBucket,
    in_flight: u32,
    /// Cost charged in advance for requests in flight.
    charged: f64,
    mean_cost: f64,
    attempts: RateMeter,
    peak: Peak,
    refused_at: Option<MonoTime>,
}

impl ShareBucket {
    /// Creates a bucket that uses an equal share of `limits` until it receives its first share.
    ///
    /// ```
    /// use tc_policy::ShareBucket;
    /// use tc_protocol::{Limits, MonoTime};
    /// let limits = Limits { concurrency: Some(2), ..Limits::default() };
    /// let mut bucket = ShareBucket::new(limits, 2);
    /// let now = MonoTime::from_millis(1);
    /// assert!(bucket.try_start(now).is_ok());
    /// assert!(bucket.try_start(now).is_err());
    /// bucket.end(now, 0.0);
    /// assert!(bucket.try_start(now).is_ok());
    /// ```
    #[must_use]
    pub fn new(limits: Limits, live_entries: usize) -> Self {
        Self {
            limits,
            live_entries: live_entries.max(1),
            held: None,
            requests: TokenBucket::default(),
            cost: TokenBucket::default(),
            in_flight: 0,
            charged: 0.0,
            mean_cost: 0.0,
            attempts: RateMeter::default(),
            peak: Peak::default(),
            refused_at: None,
        }
    }

    /// Updates the limits and the number of live entries.
    ///
    /// A share that was granted under higher limits or for fewer entries shrinks in proportion at once. A new entry
    /// starts with its equal share, so the sum would otherwise exceed the limit by that much until every share is
    /// renewed.
    pub fn update_limits(&mut self, limits: Limits, live_entries: usize) {
        let live_entries = live_entries.max(1);
        let entry_ratio = (self.live_entries as f64 / live_entries as f64).min(1.0);
        if let Some(held) = &mut self.held {
            let (old, share) = (self.limits, &mut held.share);
            scale(
                &mut share.requests_per_s,
                old.requests_per_s,
                limits.requests_per_s,
                entry_ratio,
            );
            scale(
                &mut share.cost_per_s,
                old.cost_per_s,
                limits.cost_per_s,
                entry_ratio,
            );
            let (old, new) = (
                old.concurrency.map(f64::from),
                limits.concurrency.map(f64::from),
            );
            scale(&mut share.concurrency, old, new, entry_ratio);
        }
        self.limits = limits;
        self.live_entries = live_entries;
    }

    /// Stores a share granted by the limit home. A share with a zero lifetime is ignored.
    pub fn set_share(&mut self, now: MonoTime, share: Share) {
        if share.expires_in.is_zero() {
            return;
        }
        self.refill(now);
        self.held = Some(HeldShare {
            share,
            expires_at: now.after(share.expires_in),
            equal_share_from: now.after(EQUAL_SHARE_DELAY.max(share.expires_in)),
        });
    }

    /// Starts a request, or returns how long to wait before trying again.
    pub fn try_start(&mut self, now: MonoTime) -> Result<(), Duration> {
        self.attempts.record(now);
        let allowed = self.refill(now);
        if let Some(max) = allowed.concurrency
            && f64::from(self.in_flight) + 1.0 > max + 1e-9
        {
            self.refused_at = Some(now);
            return Err(CONCURRENCY_RETRY_AFTER);
        }
        let cost_wait = allowed.cost_per_s.and_then(|per_s| {
            // A request that costs more than the burst size still starts; later requests pay the debt back.
            let needed = self.mean_cost.min(TokenBucket::burst(per_s));
            self.cost.wait_for(needed.max(f64::MIN_POSITIVE), per_s)
        });
        let request_wait = allowed
            .requests_per_s
            .and_then(|per_s| self.requests.wait_for(1.0, per_s));
        if let Some(wait) = cost_wait.max(request_wait) {
            return Err(wait);
        }
        self.requests.take(1.0);
        self.cost.take(self.mean_cost);
        self.charged += self.mean_cost;
        self.in_flight += 1;
        self.peak.record(now, self.in_flight);
        Ok(())
    }

    /// Ends a request and charges the `cost_units` it used.
    pub fn end(&mut self, now: MonoTime, cost_units: f64) {
        self.refill(now);
        if self.in_flight == 0 {
            return;
        }
        let charged = self.charged / f64::from(self.in_flight);
        self.charged -= charged;
        self.cost.take(cost_units - charged);
        self.peak.record(now, self.in_flight);
        self.in_flight -= 1;
        self.mean_cost = if self.mean_cost == 0.0 {
            cost_units
        } else {
            self.mean_cost + (cost_units - self.mean_cost) * MEAN_COST_WEIGHT
        };
    }

    /// Returns the demand to report to the limit home.
    #[must_use]
    pub fn demand(&self, now: MonoTime) -> Demand {
        let refused = self
            .refused_at
            .is_some_and(|at| now.since(at) < DEMAND_WINDOW);
        let requests_per_s = self.attempts.per_s(now);
        Demand {
            requests_per_s,
            concurrency: f64::from(self.peak.get(now).max(self.in_flight))
                + if refused { UNMET_DEMAND } else { 0.0 },
            cost_per_s: requests_per_s * self.mean_cost,
            held: self
                .held
                .filter(|held| now < held.expires_at)
                .map(|held| held.share),
        }
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns what this entry may use at `now`.
    #[must_use]
    pub fn allowed(&self, now: MonoTime) -> Share {
        let n = self.live_entries as f64;
        let limits = &self.limits;
        let part = |limit: Option<f64>, held: fn(&Share) -> Option<f64>| {
            let limit = limit?;
            Some(self.allowed_part(now, limit, limit / n, held))
        };
        let concurrency = limits.concurrency.map(f64::from);
        Share {
            requests_per_s: part(limits.requests_per_s, |s| s.requests_per_s),
            concurrency: part(concurrency, |s| s.concurrency).map(|c| (c + 1e-9).floor()),
            cost_per_s: part(limits.cost_per_s, |s| s.cost_per_s),
            expires_in: self
                .held
                .map_or(Duration::ZERO, |h| h.expires_at.since(now)),
        }
    }

    /// Returns the unexpired share, or the equal share after it expired. A share below the equal share is not raised to
    /// it before the home has reserved the equal share.
    fn allowed_part(
        &self,
        now: MonoTime,
        limit: f64,
        equal_share: f64,
        held: fn(&Share) -> Option<f64>,
    ) -> f64 {
        let Some(last) = &self.held else {
            return equal_share;
        };
        match held(&last.share) {
            Some(share) if now < last.expires_at => share.min(limit),
            Some(share) if now < last.equal_share_from => share.min(equal_share),
            _ => equal_share,
        }
    }

    /// Refills the token buckets up to `now` at the current rates, and returns what is allowed.
    fn refill(&mut self, now: MonoTime) -> Share {
        let allowed = self.allowed(now);
        if let Some(per_s) = allowed.requests_per_s {
            self.requests.refill(now, per_s);
        }
        if let Some(per_s) = allowed.cost_per_s {
            self.cost.refill(now, per_s);
        }
        allowed
    }
}

/// Scales a share down with its limit and with the number of entries.
fn scale(share: &mut Option<f64>, old: Option<f64>, new: Option<f64>, entry_ratio: f64) {
    let (Some(value), Some(old), Some(new)) = (share, old, new) else {
        return;
    };
    let limit_ratio = if old > 0.0 { (new / old).min(1.0) } else { 1.0 };
    *value *= limit_ratio * entry_ratio;
}

/// A rate as an exponential moving average over [`DEMAND_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct RateMeter {
    count: f64,
    at: MonoTime,
}

impl RateMeter {
    fn decayed(&self, now: MonoTime) -> f64 {
        let windows = now.since(self.at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.count * (-windows).exp()
    }

    fn record(&mut self, now: MonoTime) {
        self.count = self.decayed(now) + 1.0;
        self.at = now;
    }

    fn per_s(&self, now: MonoTime) -> f64 {
        self.decayed(now) / DEMAND_WINDOW.as_secs_f64()
    }
}

/// The maximum over the current and the previous [`DEMAND_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    started: MonoTime,
    current: u32,
    previous: u32,
}

impl Peak {
    fn record(&mut self, now: MonoTime, value: u32) {
        let age = now.since(self.started);
        if age >= DEMAND_WINDOW {
            self.previous = if age < DEMAND_WINDOW * 2 {
                self.current
            } else {
                0
            };
            self.current = 0;
            self.started = now;
        }
        self.current = self.current.max(value);
    }

    fn get(&self, now: MonoTime) -> u32 {
        match now.since(self.started) {
            age if age < DEMAND_WINDOW => self.current.max(self.previous),
            age if age < DEMAND_WINDOW * 2 => self.current,
            _ => 0,
        }
    }
}
