//! Where one workspace's limits are split into shares.

use std::{collections::BTreeMap, time::Duration};

use tc_protocol::{InstanceId, Limits, MonoTime};

use super::{Demand, SHARE_HELD, SHARE_LASTS, Share};

/// An entry that did not report for this long is forgotten.
const FORGET_ENTRY_AFTER: Duration = Duration::from_secs(10);
/// Least part of an equal one that an entry gets whatever its demand, so that it can start a request at once.
const LEAST_PART: f64 = 0.1;

/// Splits one workspace's limits over the entries that report demand.
///
/// The unexpired shares and the equal parts set aside for the live entries without one never exceed a limit. Each entry
/// tells the share it goes by, and that counts beside the one it is told: the answer may be lost.
#[derive(Debug)]
pub struct LimitHome {
    limits: Limits,
    entries: BTreeMap<InstanceId, Entry>,
    first_report: Option<MonoTime>,
}

#[derive(Debug, Default)]
struct Entry {
    demand: Demand,
    reported: MonoTime,
    requests: Granted,
    concurrency: Granted,
    cost: Granted,
    /// When it last got one of the whole units that do not divide evenly.
    last_extra: MonoTime,
}

/// The shares given to one entry of one limit that may still be in use.
#[derive(Debug, Default)]
struct Granted(Vec<(MonoTime, f64)>);

impl Granted {
    fn expire(&mut self, now: MonoTime) {
        self.0.retain(|&(until, _)| now < until);
    }

    /// Notes the `told` share and what the entry goes by until it hears of it.
    ///
    /// The answer may be lost, and all later ones too. The entry then goes on with what it has `held`, and when that
    /// has expired with the `equal` part at most. So both count until the entry itself says that it holds less;
    /// without this, the sum would exceed the limit for as long as reports arrive and the answers to them do not.
    fn give(&mut self, now: MonoTime, told: Option<f64>, equal: Option<f64>, held: Option<f64>) {
        let (Some(told), Some(equal)) = (told, equal) else {
            return;
        };
        self.0.clear();
        if let Some(held) = held {
            self.0.push((now.after(SHARE_LASTS), held));
        }
        let without_answer = held.map_or(equal, |held| held.min(equal));
        self.0
            .push((now.after(SHARE_HELD), told.max(without_answer)));
    }

    fn is_none(&self) -> bool {
        self.0.is_empty()
    }

    /// Most that the entry may be using.
    fn most(&self) -> f64 {
        self.0.iter().map(|&(_, share)| share).fold(0.0, f64::max)
    }
}

impl LimitHome {
    /// A home without any entry yet.
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

    /// Takes in changed limits; they hold from the next reports on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Entries known; bounded by those that reported lately.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no entry reported lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// An entry tells its demand and gets its share.
    ///
    /// `live_entries` counts the entries that may start requests of the workspace. An equal part is set aside for each
    /// of them that holds no share, so entries without demand should report too: what is set aside for a silent one
    /// nobody can use.
    ///
    /// For the first seconds a home gives none: an earlier home's shares, unknown here, may still be in use.
    pub fn report(
        &mut self,
        now: MonoTime,
        entry: &InstanceId,
        demand: Demand,
        live_entries: usize,
    ) -> Share {
        self.forget_old(now);
        let me = self.entries.entry(entry.clone()).or_default();
        me.demand = demand;
        me.reported = now;
        let first = *self.first_report.get_or_insert(now);
        if live_entries > 1 && now.since(first) < SHARE_HELD {
            return self.no_share(live_entries);
        }
        let live = live_entries.max(self.entries.len()).max(1);
        let limits = self.limits;
        let rate = |limit, wanted: fn(&Demand) -> f64, granted: fn(&Entry) -> &Granted| {
            self.part(entry, limit?, live, wanted, granted)
        };
        let requests = rate(limits.requests_per_s, |d| d.requests_per_s, |e| &e.requests);
        let cost = rate(limits.cost_per_s, |d| d.cost_per_s, |e| &e.cost);
        let concurrency = limits
            .concurrency
            .map(|limit| self.whole_part(now, entry, limit, live));
        self.note(now, entry, live, requests, concurrency, cost);
        Share {
            requests_per_s: requests,
            concurrency,
            cost_per_s: cost,
            expires_in: SHARE_LASTS,
        }
    }

    fn no_share(&self, live_entries: usize) -> Share {
        let n = live_entries.max(1) as f64;
        Share {
            requests_per_s: self.limits.requests_per_s.map(|limit| limit / n),
            concurrency: self.limits.concurrency.map(|limit| f64::from(limit) / n),
            cost_per_s: self.limits.cost_per_s.map(|limit| limit / n),
            expires_in: Duration::ZERO,
        }
    }

    fn forget_old(&mut self, now: MonoTime) {
        for entry in self.entries.values_mut() {
            entry.requests.expire(now);
            entry.concurrency.expire(now);
            entry.cost.expire(now);
        }
        self.entries
            .retain(|_, e| now.since(e.reported) < FORGET_ENTRY_AFTER);
    }

    fn note(
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
        // Requests started under a larger share go on after it shrank, and take room until they end.
        let running = me.demand.concurrency.floor().min(me.concurrency.most());
        let held = me.demand.held.unwrap_or_default();
        me.requests.give(
            now,
            requests,
            limits.requests_per_s.map(|l| l / n),
            held.requests_per_s,
        );
        me.cost
            .give(now, cost, limits.cost_per_s.map(|l| l / n), held.cost_per_s);
        me.concurrency.give(
            now,
            concurrency.map(|share| share.max(running)),
            limits.concurrency.map(|l| (f64::from(l) / n).floor()),
            held.concurrency,
        );
    }

    /// This entry's share of a limit that divides evenly.
    fn part(
        &self,
        me: &InstanceId,
        limit: f64,
        live: usize,
        wanted: fn(&Demand) -> f64,
        granted: fn(&Entry) -> &Granted,
    ) -> Option<f64> {
        let equal = limit / live as f64;
        let room = self.room(me, limit, equal, live, granted);
        let demands: Vec<f64> = self
            .holders(me, granted)
            .map(|(_, e)| wanted(&e.demand))
            .collect();
        let pool = limit - equal * (live - demands.len().min(live)) as f64;
        let mine = wanted(&self.entries.get(me)?.demand);
        Some(fair_part(pool, mine, &demands, equal * LEAST_PART).clamp(0.0, room))
    }

    /// This entry's share of a limit that is given in whole units.
    ///
    /// Units left over after dividing go in turn to those that want more. Without the turns, a limit below the number
    /// of entries would leave some entries refusing everything for as long as the others stay busy.
    fn whole_part(&mut self, now: MonoTime, me: &InstanceId, limit: u32, live: usize) -> f64 {
        let limit = f64::from(limit);
        let equal = (limit / live as f64).floor();
        let room = self
            .room(me, limit, equal, live, |e| &e.concurrency)
            .floor();
        let holders: Vec<(InstanceId, f64, MonoTime)> = self
            .holders(me, |e| &e.concurrency)
            .map(|(id, e)| (id.clone(), wanted_units(&e.demand), e.last_extra))
            .collect();
        let pool = limit - equal * (live - holders.len().min(live)) as f64;
        let demands: Vec<f64> = holders.iter().map(|h| h.1).collect();
        let level = fair_level(pool, &demands);
        let base = |mine: f64| mine.min(level).floor();
        let given: f64 = demands.iter().map(|&mine| base(mine)).sum();
        let mut in_turn: Vec<&(InstanceId, f64, MonoTime)> =
            holders.iter().filter(|h| h.1 > base(h.1)).collect();
        in_turn.sort_by_key(|h| (h.2, &h.0));
        let left_over = (pool - given).max(0.0) as usize;
        let unwanted = if in_turn.is_empty() {
            left_over / holders.len().max(1)
        } else {
            0
        };
        let extra = in_turn.iter().take(left_over).any(|h| h.0 == *me);
        let mine = holders
            .iter()
            .find(|h| h.0 == *me)
            .map_or(0.0, |h| base(h.1));
        let on_top = if extra { 1.0 } else { unwanted as f64 };
        let share = (mine + on_top).clamp(0.0, room);
        if extra
            && share > mine
            && let Some(entry) = self.entries.get_mut(me)
        {
            entry.last_extra = now;
        }
        share
    }

    /// The entries that hold a share, and this one.
    fn holders<'a>(
        &'a self,
        me: &'a InstanceId,
        granted: fn(&Entry) -> &Granted,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a Entry)> {
        self.entries
            .iter()
            .filter(move |(id, e)| *id == me || !granted(e).is_none())
    }

    /// What is left for this entry beside the others' shares and the equal parts set aside.
    fn room(
        &self,
        me: &InstanceId,
        limit: f64,
        equal: f64,
        live: usize,
        granted: fn(&Entry) -> &Granted,
    ) -> f64 {
        let others = self.holders(me, granted).filter(|(id, _)| *id != me);
        let (count, held) = others.fold((0, 0.0), |(count, held), (_, e)| {
            (count + 1, held + granted(e).most())
        });
        let without = live.saturating_sub(count + 1) as f64;
        (limit - held - without * equal).max(0.0)
    }
}

/// Units of concurrency to give an entry if there are enough: room to grow where it was refused some.
fn wanted_units(demand: &Demand) -> f64 {
    let running = demand.concurrency.floor();
    if demand.concurrency > running {
        running * 2.0 + 1.0
    } else {
        running
    }
}

/// The number of units up to which each holder gets what it wants, so that all together get `pool`.
///
/// Not in proportion to what is wanted, as for rates: the units wanted are known only as far as an entry could grow
/// from what it has, so proportions would stay for ever as they once were.
fn fair_level(pool: f64, demands: &[f64]) -> f64 {
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

/// One holder's part of `pool`: all that is wanted and an equal part of the rest, or when too much is wanted, the
/// least part and a part of the rest in proportion to what is wanted above it.
fn fair_part(pool: f64, mine: f64, demands: &[f64], least: f64) -> f64 {
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
