//! Splits one workspace's limits into shares.

use std::{collections::BTreeMap, time::Duration};

use tc_protocol::{InstanceId, Limits, MonoTime};

use super::{Demand, SHARE_LIFETIME, SHARE_RESERVED_FOR, Share};

/// An entry that has not reported for this long is removed.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(10);
/// Smallest share of an entry as a fraction of the equal share, whatever its demand, so that it can start a request at
/// once.
const MIN_PART_OF_EQUAL_SHARE: f64 = 0.1;

/// Splits one workspace's limits among the entries that report demand.
///
/// The unexpired shares, plus an equal share reserved for each live entry without one, never exceed a limit. Each entry
/// reports the share it currently enforces. The home counts that share as well as the newly granted one, because the
/// reply may be lost.
#[derive(Debug)]
pub struct LimitHome {
    limits: Limits,
    entries: BTreeMap<InstanceId, Entry>,
    first_report: Option<MonoTime>,
}

#[derive(Debug, Default)]
struct Entry {
    demand: Demand,
    last_report: MonoTime,
    requests: GrantedShares,
    concurrency: GrantedShares,
    cost: GrantedShares,
    /// When the entry last received one of the whole units left over after an even division.
    last_extra: MonoTime,
}

/// Shares of one limit, granted to one entry, that may still be in use, with their expiry.
#[derive(Debug, Default)]
struct GrantedShares(Vec<(MonoTime, f64)>);

impl GrantedShares {
    fn remove_expired(&mut self, now: MonoTime) {
        self.0.retain(|&(until, _)| now < until);
    }

    /// Records the granted share, and the share the entry enforces until it receives the grant.
    ///
    /// This reply and all later ones may be lost. The entry then continues with the share it has `held`, and after that
    /// expires with at most the equal share. Both count until the entry itself reports a smaller share. Otherwise, the
    /// sum would exceed the limit for as long as reports arrive while the replies to them do not.
    fn record(
        &mut self,
        now: MonoTime,
        granted: Option<f64>,
        equal_share: Option<f64>,
        held: Option<f64>,
    ) {
        let (Some(granted), Some(equal_share)) = (granted, equal_share) else {
            return;
        };
        self.0.clear();
        if let Some(held) = held {
            self.0.push((now.after(SHARE_LIFETIME), held));
        }
        let without_reply = held.map_or(equal_share, |held| held.min(equal_share));
        self.0
            .push((now.after(SHARE_RESERVED_FOR), granted.max(without_reply)));
    }

    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the most that the entry may be using.
    fn max(&self) -> f64 {
        self.0.iter().map(|&(_, share)| share).fold(0.0, f64::max)
    }
}

impl LimitHome {
    /// Creates a home without entries.
    ///
    /// ```
    /// use tc_policy::{Demand, LimitHome};
    /// use tc_protocol::{Limits, MonoTime};
    /// let mut home = LimitHome::new(Limits { requests_per_s: Some(100.0), ..Limits::default() });
    /// let share = home.report(MonoTime(1), &"a".into(), Demand::default(), 1);
    /// assert_eq!(share.requests_per_s, Some(100.0));
    /// ```
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            first_report: None,
        }
    }

    /// Changes the limits, effective from each entry's next report.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the number of known entries, which is bounded by those that reported recently.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if no entry reported recently.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records an entry's demand and returns its share.
    ///
    /// `live_entries` counts the entries that may start requests of the workspace. An equal share is reserved for each
    /// of them that holds no share. Entries without demand should therefore report too, because nobody can use what is
    /// reserved for an entry that does not report.
    ///
    /// A new home grants no shares for the first seconds: shares granted by an earlier home, unknown to this one, may
    /// still be in use.
    pub fn report(
        &mut self,
        now: MonoTime,
        entry: &InstanceId,
        demand: Demand,
        live_entries: usize,
    ) -> Share {
        self.remove_expired(now);
        let me = self.entries.entry(entry.clone()).or_default();
        me.demand = demand;
        me.last_report = now;
        let first = *self.first_report.get_or_insert(now);
        if live_entries > 1 && now.since(first) < SHARE_RESERVED_FOR {
            return self.share_without_grant(live_entries);
        }
        let live = live_entries.max(self.entries.len()).max(1);
        let limits = self.limits;
        let rate = |limit, wanted: fn(&Demand) -> f64, granted: fn(&Entry) -> &GrantedShares| {
            self.fractional_share(entry, limit?, live, wanted, granted)
        };
        let requests = rate(limits.requests_per_s, |d| d.requests_per_s, |e| &e.requests);
        let cost = rate(limits.cost_per_s, |d| d.cost_per_s, |e| &e.cost);
        let concurrency = limits
            .concurrency
            .map(|limit| self.whole_unit_share(now, entry, limit, live));
        self.record_grants(now, entry, live, requests, concurrency, cost);
        Share {
            requests_per_s: requests,
            concurrency,
            cost_per_s: cost,
            expires_in: SHARE_LIFETIME,
        }
    }

    fn share_without_grant(&self, live_entries: usize) -> Share {
        let n = live_entries.max(1) as f64;
        Share {
            requests_per_s: self.limits.requests_per_s.map(|limit| limit / n),
            concurrency: self.limits.concurrency.map(|limit| f64::from(limit) / n),
            cost_per_s: self.limits.cost_per_s.map(|limit| limit / n),
            expires_in: Duration::ZERO,
        }
    }

    fn remove_expired(&mut self, now: MonoTime) {
        for entry in self.entries.values_mut() {
            entry.requests.remove_expired(now);
            entry.concurrency.remove_expired(now);
            entry.cost.remove_expired(now);
        }
        self.entries
            .retain(|_, e| now.since(e.last_report) < ENTRY_TIMEOUT);
    }

    fn record_grants(
        &mut self,
        now: MonoTime,
        entry: &InstanceId,
        live: usize,
        requests: Option<f64>,
        concurrency: Option<f64>,
        cost: Option<f64>,
    ) {
        let n = live as f64;
        let limits = self.limits;
        let Some(me) = self.entries.get_mut(entry) else {
            return;
        };
        // Requests started under a larger share keep running after it shrinks, and count against the limit until they
        // end.
        let running = me.demand.concurrency.floor().min(me.concurrency.max());
        let held = me.demand.held.unwrap_or_default();
        me.requests.record(
            now,
            requests,
            limits.requests_per_s.map(|l| l / n),
            held.requests_per_s,
        );
        me.cost
            .record(now, cost, limits.cost_per_s.map(|l| l / n), held.cost_per_s);
        me.concurrency.record(
            now,
            concurrency.map(|share| share.max(running)),
            limits.concurrency.map(|l| (f64::from(l) / n).floor()),
            held.concurrency,
        );
    }

    /// Returns this entry's share of a limit that can be divided into fractions.
    fn fractional_share(
        &self,
        me: &InstanceId,
        limit: f64,
        live: usize,
        wanted: fn(&Demand) -> f64,
        granted: fn(&Entry) -> &GrantedShares,
    ) -> Option<f64> {
        let equal_share = limit / live as f64;
        let available = self.available(me, limit, equal_share, live, granted);
        let demands: Vec<f64> = self
            .holders(me, granted)
            .map(|(_, e)| wanted(&e.demand))
            .collect();
        let pool = limit - equal_share * (live - demands.len().min(live)) as f64;
        let mine = wanted(&self.entries.get(me)?.demand);
        Some(
            fair_share(pool, mine, &demands, equal_share * MIN_PART_OF_EQUAL_SHARE)
                .clamp(0.0, available),
        )
    }

    /// Returns this entry's share of a limit that is granted in whole units.
    ///
    /// Units left over after the division rotate among the entries that want more. Without the rotation, a limit below
    /// the number of entries would leave some entries refusing every request for as long as the others stay busy.
    fn whole_unit_share(&mut self, now: MonoTime, me: &InstanceId, limit: u32, live: usize) -> f64 {
        let limit = f64::from(limit);
        let equal_share = (limit / live as f64).floor();
        let available = self
            .available(me, limit, equal_share, live, |e| &e.concurrency)
            .floor();
        let holders: Vec<(InstanceId, f64, MonoTime)> = self
            .holders(me, |e| &e.concurrency)
            .map(|(id, e)| (id.clone(), wanted_units(&e.demand), e.last_extra))
            .collect();
        let pool = limit - equal_share * (live - holders.len().min(live)) as f64;
        let demands: Vec<f64> = holders.iter().map(|h| h.1).collect();
        let level = max_min_fair_level(pool, &demands);
        let base = |mine: f64| mine.min(level).floor();
        let given: f64 = demands.iter().map(|&mine| base(mine)).sum();
        let mut wanting_more: Vec<&(InstanceId, f64, MonoTime)> =
            holders.iter().filter(|h| h.1 > base(h.1)).collect();
        wanting_more.sort_by_key(|h| (h.2, &h.0));
        let remainder = (pool - given).max(0.0) as usize;
        let unclaimed_each = if wanting_more.is_empty() {
            remainder / holders.len().max(1)
        } else {
            0
        };
        let extra = wanting_more.iter().take(remainder).any(|h| h.0 == *me);
        let mine = holders
            .iter()
            .find(|h| h.0 == *me)
            .map_or(0.0, |h| base(h.1));
        let extra_units = if extra { 1.0 } else { unclaimed_each as f64 };
        let share = (mine + extra_units).clamp(0.0, available);
        if extra
            && share > mine
            && let Some(entry) = self.entries.get_mut(me)
        {
            entry.last_extra = now;
        }
        share
    }

    /// Returns the entries that hold a share, and this one.
    fn holders<'a>(
        &'a self,
        me: &'a InstanceId,
        granted: fn(&Entry) -> &GrantedShares,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a Entry)> {
        self.entries
            .iter()
            .filter(move |(id, e)| *id == me || !granted(e).is_empty())
    }

    /// Returns what the other entries' shares and the reserved equal shares leave for this entry.
    fn available(
        &self,
        me: &InstanceId,
        limit: f64,
        equal_share: f64,
        live: usize,
        granted: fn(&Entry) -> &GrantedShares,
    ) -> f64 {
        let others = self.holders(me, granted).filter(|(id, _)| *id != me);
        let (count, held) = others.fold((0, 0.0), |(count, held), (_, e)| {
            (count + 1, held + granted(e).max())
        });
        let reserved_entries = live.saturating_sub(count + 1) as f64;
        (limit - held - reserved_entries * equal_share).max(0.0)
    }
}

/// Returns the units of concurrency an entry wants. If it was refused some, that includes headroom to grow.
fn wanted_units(demand: &Demand) -> f64 {
    let running = demand.concurrency.floor();
    if demand.concurrency > running {
        running * 2.0 + 1.0
    } else {
        running
    }
}

/// Returns the max-min fair level: the units up to which each holder gets what it wants, so that all together get
/// `pool`.
///
/// Unlike rates, units are not split in proportion to demand. An entry's demand for units is only known as far as it
/// could grow from its current share, so a proportional split would never change.
fn max_min_fair_level(pool: f64, demands: &[f64]) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_unstable_by(f64::total_cmp);
    let (mut left, mut holders) = (pool, sorted.len() as f64);
    for wanted in sorted {
        if wanted * holders >= left {
            break;
        }
        left -= wanted;
        holders -= 1.0;
    }
    if holders > 0.0 {
        left / holders
    } else {
        f64::INFINITY
    }
}

/// Returns one holder's share of `pool`.
///
/// If the pool covers all demands, each holder gets its demand and an equal part of the rest. Otherwise it gets the
/// minimum share, and a part of the rest in proportion to its demand above the minimum.
fn fair_share(pool: f64, mine: f64, demands: &[f64], least: f64) -> f64 {
    let n = demands.len().max(1) as f64;
    let wanted: f64 = demands.iter().map(|d| d.max(least)).sum();
    let mine = mine.max(least);
    if wanted <= pool {
        return mine + (pool - wanted) / n;
    }
    let above = wanted - least * n;
    let rest = (pool - least * n).max(0.0);
    least + rest * (mine - least) / above.max(f64::MIN_POSITIVE)
}
