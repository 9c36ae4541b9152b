//! Return times of refused requests, for bursts above the capacity whose callers each retry once.
//!
//! Every refused request gets a place in the expected schedule of the capacity that on-time work leaves over. The
//! place keeps later ones from being promised the same capacity, and goes before theirs when its caller returns.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use tc_protocol::{Fingerprint, MonoTime, ServiceName, routing::StageChain};

use super::outlook::HomeOutlook;
use crate::StageGraph;

/// Part of the remaining time that the stages may be expected to take when a refused request returns. It is below the
/// one for admission, because the load changes until then.
pub(super) const RETURN_FRACTION: f64 = 0.6;
/// Part of its remaining time for which a caller waits at most before it returns.
const MAX_RETURN_FRACTION: f64 = 1.0 / 3.0;
/// Time after the promised one by which a caller returns: a new connection and the way back to this home.
const GRACE: Duration = Duration::from_millis(500);
/// Width of the intervals by which promised pieces are summed.
const SLOT_WIDTH: Duration = Duration::from_millis(100);
/// Maximum number of promises. Further refused requests get a return time without a place.
const MAX_PROMISES: usize = 16_384;
/// Upper bound of a return time. A caller cannot use a later one.
pub(super) const MAX_RETURN_TIME: Duration = Duration::from_mins(1);

/// Time constant of the average of offered work.
const OFFERED_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Maximum age of a home's report that is still used.
const MAX_LOAD_AGE: Duration = Duration::from_millis(500);

/// Number of the interval of [`SLOT_WIDTH`] that contains a time.
type Slot = u64;

#[derive(Clone, Debug)]
struct Promise {
    returns_at: MonoTime,
    pieces: Vec<(ServiceName, u32)>,
}

/// Load of a service.
#[derive(Clone, Debug, Default)]
struct ServiceLoad {
    /// Time of the home's report.
    at: MonoTime,
    base_latency: Duration,
    on_time_pieces: u32,
    late_pieces: u32,
    pieces_per_s: f64,
    /// Part of the capacity that on-time work leaves over, as reported by the home.
    spare_capacity: f64,
    dependent_pieces: BTreeMap<ServiceName, u32>,
    /// Pieces of first attempts.
    offered: Offered,
}

impl ServiceLoad {
    /// Returns the pieces per second that work of first attempts leaves over.
    ///
    /// The home's report lags by a second behind the end of a burst, which is most of the time that callers wait.
    fn spare_rate(&self, now: MonoTime) -> f64 {
        let reported = self.pieces_per_s * self.spare_capacity;
        let unclaimed = self.pieces_per_s - self.offered.per_second(now);
        reported.max(unclaimed).max(f64::MIN_POSITIVE)
    }
}

/// Exponentially decaying sum of offered pieces.
#[derive(Clone, Copy, Debug, Default)]
struct Offered {
    pieces: f64,
    at: MonoTime,
}

impl Offered {
    fn add(&mut self, now: MonoTime, pieces: f64) {
        self.pieces = self.decayed(now) + pieces;
        self.at = now;
    }

    fn per_second(&self, now: MonoTime) -> f64 {
        self.decayed(now) / OFFERED_TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: MonoTime) -> f64 {
        let elapsed = now.since(self.at).as_secs_f64() / OFFERED_TIME_CONSTANT.as_secs_f64();
        self.pieces * (-elapsed).exp()
    }
}

/// A return that was promised, with the time of its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PromisedReturn {
    returns_at: MonoTime,
}

/// Promises made to refused requests that have not returned yet.
///
/// A promise that is not taken up expires. The promises are lost with the home; returning requests are then treated
/// as new.
#[derive(Clone, Debug, Default)]
pub(super) struct ReturnTimes {
    loads: BTreeMap<ServiceName, ServiceLoad>,
    promises: HashMap<Fingerprint, Promise>,
    by_return: BTreeSet<(MonoTime, Fingerprint)>,
    /// Promised pieces by service and interval of the return.
    pieces: BTreeMap<ServiceName, BTreeMap<Slot, u32>>,
}

impl ReturnTimes {
    /// Records the load of a service.
    pub(super) fn record_outlook(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        outlook: &HomeOutlook,
    ) {
        let load = self.loads.entry(service.clone()).or_default();
        load.at = now;
        load.base_latency = outlook.base_latency;
        load.on_time_pieces = outlook.in_time.total();
        load.late_pieces = outlook.waiting.saturating_sub(load.on_time_pieces);
        load.pieces_per_s = outlook.pieces_per_s;
        load.spare_capacity = outlook.spare_capacity;
        let incoming = outlook.dependent_pieces.iter();
        load.dependent_pieces = incoming
            .map(|(service, pieces)| (service.clone(), pieces.total))
            .collect();
    }

    /// Records the first attempt of a request, admitted or not.
    pub(super) fn record_arrival(&mut self, now: MonoTime, graph: &StageGraph<'_>) {
        for (stage, spec) in graph.stages().iter().enumerate() {
            let load = self.loads.entry(spec.service.clone()).or_default();
            load.offered.add(now, f64::from(graph.pieces(stage)));
        }
    }

    /// Returns the expected times of the stages in the capacity that first attempts leave over, or `None` if the load of
    /// a service is not known. Promised work goes first: all of it, or for a returning request that with an earlier
    /// place.
    pub(super) fn stage_times(
        &self,
        now: MonoTime,
        graph: &StageGraph<'_>,
        place: Option<PromisedReturn>,
    ) -> Option<Vec<Duration>> {
        let mut times = vec![Duration::ZERO; graph.stages().len()];
        for &stage in graph.order() {
            let spec = &graph.stages()[stage];
            if graph.is_complete(stage) {
                continue;
            }
            let load = self.loads.get(&spec.service)?;
            if now.since(load.at) >= MAX_LOAD_AGE || load.pieces_per_s <= 0.0 {
                return None;
            }
            let incoming: u32 = self
                .loads
                .values()
                .filter_map(|before| before.dependent_pieces.get(&spec.service))
                .sum();
            let promised = self.promised_pieces(&spec.service, place);
            let ahead = f64::from(load.late_pieces) + f64::from(incoming) + f64::from(promised);
            let wait =
                f64::from(load.on_time_pieces) / load.pieces_per_s + ahead / load.spare_rate(now);
            let wait = Duration::from_secs_f64(wait.clamp(0.0, MAX_RETURN_TIME.as_secs_f64()));
            let until_arrival = graph.critical_path_before(stage, &times);
            times[stage] = load.base_latency + wait.saturating_sub(until_arrival);
        }
        Some(times)
    }

    /// Removes the promise of a request that has returned. One that is back before its time has none yet.
    pub(super) fn take_up(
        &mut self,
        now: MonoTime,
        request: Fingerprint,
    ) -> Option<PromisedReturn> {
        self.remove_expired(now);
        let promise = self.remove(request)?;
        (now.after(SLOT_WIDTH) >= promise.returns_at).then_some(PromisedReturn {
            returns_at: promise.returns_at,
        })
    }

    /// Returns the promised pieces of a service, or those that were promised an earlier time.
    fn promised_pieces(&self, service: &ServiceName, before: Option<PromisedReturn>) -> u32 {
        let Some(slots) = self.pieces.get(service) else {
            return 0;
        };
        let end = before.map_or(Slot::MAX, |promise| slot(promise.returns_at));
        slots.range(..end).map(|(_, pieces)| *pieces).sum()
    }

    /// Returns the time after which a refused request is to return, given the wait until its turn, and keeps its place
    /// if its caller returns at all. A caller that was told a time beyond the longest one that it waits returns then.
    pub(super) fn promise(
        &mut self,
        now: MonoTime,
        chain: &StageChain,
        graph: &StageGraph<'_>,
        wait: Duration,
    ) -> Duration {
        let request = chain.fingerprint;
        self.remove_expired(now);
        self.remove(request);
        let return_in = wait.min(MAX_RETURN_TIME);
        let returns_at = now.after(return_in.min(chain.remaining.mul_f64(MAX_RETURN_FRACTION)));
        if self.promises.len() >= MAX_PROMISES {
            return return_in;
        }
        let stages = graph.stages().iter().enumerate();
        let pieces = stages.map(|(stage, spec)| (spec.service.clone(), graph.pieces(stage)));
        let pieces: Vec<_> = pieces.filter(|(_, pieces)| *pieces > 0).collect();
        for (service, pieces) in &pieces {
            let slots = self.pieces.entry(service.clone()).or_default();
            let promised = slots.entry(slot(returns_at)).or_default();
            *promised = promised.saturating_add(*pieces);
        }
        self.by_return.insert((returns_at, request));
        self.promises
            .insert(request, Promise { returns_at, pieces });
        return_in
    }

    /// Returns the number of promises that are not taken up yet.
    pub(super) fn len(&self) -> usize {
        self.promises.len()
    }

    fn remove_expired(&mut self, now: MonoTime) {
        while let Some((returns_at, request)) = self.by_return.first().copied()
            && now.since(returns_at) > GRACE
        {
            self.remove(request);
        }
    }

    fn remove(&mut self, request: Fingerprint) -> Option<Promise> {
        let promise = self.promises.remove(&request)?;
        self.by_return.remove(&(promise.returns_at, request));
        let slot = slot(promise.returns_at);
        for (service, pieces) in &promise.pieces {
            let Some(slots) = self.pieces.get_mut(service) else {
                continue;
            };
            let left = slots
                .get(&slot)
                .map_or(0, |promised| promised.saturating_sub(*pieces));
            if left > 0 {
                slots.insert(slot, left);
            } else {
                slots.remove(&slot);
            }
            if slots.is_empty() {
                self.pieces.remove(service);
            }
        }
        Some(promise)
    }
}

fn slot(at: MonoTime) -> Slot {
    at.0 / SLOT_WIDTH.as_micros() as u64
}
