//! Return times of refused requests to services without a home.
//!
//! Each instance knows the upstreams from the answers to its own requests only, and sees a part of the load. So it
//! promises its part of the capacity and no more: the promises of all instances together do not exceed the whole.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use tc_protocol::{Fingerprint, MonoTime};

use crate::LoadEstimate;

/// Part of its remaining time for which a caller waits at most before it returns.
const MAX_RETURN_FRACTION: f64 = 1.0 / 3.0;
/// Time after the promised one by which a caller returns: a new connection.
const GRACE: Duration = Duration::from_millis(500);
/// Time before the promised one from which on a caller is back in time.
const EARLY: Duration = Duration::from_millis(100);
/// Upper bound of a return time. A caller cannot use a later one.
const MAX_RETURN_TIME: Duration = Duration::from_mins(1);
/// Maximum number of promises. Further refused requests get a return time without a place.
const MAX_PROMISES: usize = 4_096;
/// Maximum age of an upstream's report that says when there will be room.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// When the upstreams of a service have room, as one instance knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceRoom {
    /// Mean time until the queue of an upstream is done.
    wait: Duration,
    /// Requests per second that all upstreams complete.
    requests_per_s: f64,
    /// Least time until a further request would be done; `None` if an upstream may have a free slot.
    soonest_end: Option<Duration>,
}

impl ServiceRoom {
    /// Returns the room of upstreams, each with its registered number of slots, or `None` if nothing recent is known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_policy::{LoadEstimate, ServiceRoom, UpstreamLoad};
    /// use tc_protocol::MonoTime;
    /// let now = MonoTime::from_millis(1_000);
    /// let mut load = LoadEstimate::default();
    /// assert_eq!(ServiceRoom::of(now, [(&load, 4)]), None);
    /// load.record_report(now, UpstreamLoad { running: 4, waiting: 8, slots: 4, ..Default::default() });
    /// load.record_time(now, Duration::from_millis(150));
    /// let room = ServiceRoom::of(now, [(&load, 4)]).expect("its load is known");
    /// // Three rounds of 50 ms: two for the queue and one for a further request.
    /// assert_eq!(room.soonest_end().map(|end| end.as_millis()), Some(150));
    /// ```
    #[must_use]
    pub fn of<'a>(
        now: MonoTime,
        upstreams: impl IntoIterator<Item = (&'a LoadEstimate, u32)>,
    ) -> Option<Self> {
        let upstreams: Vec<_> = upstreams.into_iter().collect();
        let usual_s = mean_slot_time_s(now, &upstreams)?;
        let (mut wait_s, mut reports, mut requests_per_s) = (0.0, 0_u32, 0.0);
        let mut soonest_end_s = Some(f64::INFINITY);
        for (load, registered) in upstreams {
            let slots = f64::from(load.slots(registered));
            let call_s = load
                .slot_time(now)
                .map_or(usual_s, |time| time.as_secs_f64());
            requests_per_s += slots / call_s;
            let Some((requests, age)) = load.reported(now) else {
                soonest_end_s = None;
                continue;
            };
            let queue_s = |requests: f64| (requests - slots).max(0.0) / slots * call_s;
            if age < MAX_REPORT_AGE {
                wait_s += queue_s(requests);
                reports += 1;
            }
            // Requests left if none has been sent since the report.
            let left = requests - age.as_secs_f64() * slots / call_s;
            let end_s = (left >= slots).then(|| queue_s(left) + call_s);
            soonest_end_s = soonest_end_s.and_then(|soonest| Some(end_s?.min(soonest)));
        }
        let wait_s = wait_s / f64::from(reports);
        (wait_s.is_finite() && wait_s > 0.0).then(|| Self {
            wait: seconds(wait_s),
            requests_per_s,
            soonest_end: soonest_end_s.map(seconds),
        })
    }

    /// Returns the least time until a further request would be done; `None` if an upstream may have a free slot.
    #[must_use]
    pub const fn soonest_end(&self) -> Option<Duration> {
        self.soonest_end
    }
}

/// Returns the mean time for which a request occupies a slot, over the upstreams for which it is known.
fn mean_slot_time_s(now: MonoTime, upstreams: &[(&LoadEstimate, u32)]) -> Option<f64> {
    let times = upstreams.iter().filter_map(|(load, _)| load.slot_time(now));
    let (sum, count) = times.fold((0.0, 0_u32), |(sum, count), time| {
        (sum + time.as_secs_f64(), count + 1)
    });
    (count > 0).then(|| sum / f64::from(count))
}

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s.clamp(0.0, MAX_RETURN_TIME.as_secs_f64()))
}

/// A request to a service without a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomRequest {
    /// Hash of what is the same in every attempt of the request.
    pub fingerprint: Fingerprint,
    /// Priority, 0 being the most urgent.
    pub rank: u8,
    /// Time within which the answer is needed.
    pub remaining: Duration,
    /// Time that the caller has left, over all of its attempts.
    pub callers_remaining: Duration,
}

/// The instances that share a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomShare {
    /// Number of instances.
    pub instances: usize,
    /// Fixed number of this instance between 0 and 1, so that instances do not promise the same moment.
    pub phase: f64,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrived {
    /// Whether it was refused before, and is back at the time that it was given.
    pub has_kept_place: bool,
    was_refused: bool,
}

/// Promises made to the refused requests of a service that have not returned yet.
///
/// A promise that is not taken up expires. The promises are lost with the instance, and a caller may return to another
/// one; returning requests are then treated as new.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{LoadEstimate, RoomRequest, RoomShare, RoomTimes, ServiceRoom, UpstreamLoad};
/// use tc_protocol::{Fingerprint, MonoTime};
/// let now = MonoTime::from_millis(1_000);
/// let mut load = LoadEstimate::default();
/// load.record_report(now, UpstreamLoad { running: 4, waiting: 8, slots: 4, ..Default::default() });
/// load.record_time(now, Duration::from_millis(150));
/// let room = ServiceRoom::of(now, [(&load, 4)]).expect("its load is known");
/// let share = RoomShare { instances: 1, phase: 0.0 };
/// let req = RoomRequest {
///     fingerprint: Fingerprint(1),
///     rank: 0,
///     remaining: Duration::from_millis(800),
///     callers_remaining: Duration::from_millis(1_500),
/// };
/// let mut times = RoomTimes::default();
/// let arrived = times.record_arrival(now, &req);
/// assert!(!times.is_hopeless(now, &room, share, &req, arrived));
/// assert_eq!(times.promise(now, &room, share, &req, arrived).as_millis(), 100);
/// let back = times.record_arrival(MonoTime::from_millis(1_100), &req);
/// assert!(back.has_kept_place);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RoomTimes {
    promises: HashMap<Fingerprint, Promise>,
    by_return: BTreeSet<(MonoTime, Fingerprint)>,
    /// Latest time at which room was promised.
    last: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct Promise {
    returns_at: MonoTime,
    rank: u8,
}

impl RoomTimes {
    /// Records an attempt and takes up its place if it has returned at its time.
    pub fn record_arrival(&mut self, now: MonoTime, req: &RoomRequest) -> Arrived {
        self.remove_expired(now);
        let promise = self.remove(req.fingerprint);
        Arrived {
            has_kept_place: promise.is_some_and(|p| now.after(EARLY) >= p.returns_at),
            was_refused: promise.is_some(),
        }
    }

    /// Returns true if no upstream can answer the request in time. Requests of at least its rank that are due to return
    /// go before it, unless it has returned at its own time.
    #[must_use]
    pub fn is_hopeless(
        &self,
        now: MonoTime,
        room: &ServiceRoom,
        share: RoomShare,
        req: &RoomRequest,
        arrived: Arrived,
    ) -> bool {
        let Some(soonest_end) = room.soonest_end else {
            return false;
        };
        let due = if arrived.has_kept_place {
            0
        } else {
            self.due_before(now.after(soonest_end), req.rank)
        };
        let promised = due as f64 / own_rate(room, share);
        soonest_end + seconds(promised) > req.remaining
    }

    /// Returns the time after which a refused request is to return, and keeps its place until then.
    ///
    /// A request that is refused again gets a time but no place: most callers return once. Callers that are given a time
    /// beyond the longest one for which they wait return after that one.
    pub fn promise(
        &mut self,
        now: MonoTime,
        room: &ServiceRoom,
        share: RoomShare,
        req: &RoomRequest,
        arrived: Arrived,
    ) -> Duration {
        self.remove_expired(now);
        let interval_s = own_rate(room, share).recip();
        let ahead = self.promises.len() as f64 + share.phase;
        let turn = now.after(room.wait + seconds(ahead * interval_s));
        let returns_at = turn.max(self.last.after(seconds(interval_s)));
        let wait = returns_at.since(now).min(MAX_RETURN_TIME);
        if arrived.was_refused || self.promises.len() >= MAX_PROMISES {
            return wait;
        }
        let patience = req.callers_remaining.mul_f64(MAX_RETURN_FRACTION);
        if wait <= patience {
            self.last = returns_at;
        }
        let returns_at = returns_at.min(now.after(patience));
        let promise = Promise {
            returns_at,
            rank: req.rank,
        };
        self.remove(req.fingerprint);
        self.by_return.insert((returns_at, req.fingerprint));
        self.promises.insert(req.fingerprint, promise);
        wait
    }

    /// Returns the number of promises that are not taken up yet.
    #[must_use]
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Returns true if no promise is left to be taken up.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    fn due_before(&self, end: MonoTime, rank: u8) -> usize {
        let due = self.by_return.iter().take_while(|(at, _)| *at <= end);
        due.filter(|(_, request)| self.promises.get(request).is_some_and(|p| p.rank <= rank))
            .count()
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
        Some(promise)
    }
}

/// Returns the requests per second that are this instance's part of the capacity.
fn own_rate(room: &ServiceRoom, share: RoomShare) -> f64 {
    room.requests_per_s / share.instances.max(1) as f64
}
