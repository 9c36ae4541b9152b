//! Return times of requests that plain services have no room for: see [`tc_policy::RoomTimes`].

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use tc_policy::{Arrived, RoomRequest, RoomShare, RoomTimes, ServiceRoom};
use tc_protocol::{MonoTime, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

use super::{Refusal, RoutedRequest, RunContext};

/// Thread-safe [`RoomTimes`] per service.
#[derive(Debug, Default)]
pub(crate) struct SharedRoomTimes(Mutex<HashMap<ServiceName, RoomTimes>>);

impl SharedRoomTimes {
    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, RoomTimes>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request whose service has no home and needs no stages.
pub(super) struct PlainArrival {
    req: RoomRequest,
    arrived: Arrived,
}

impl PlainArrival {
    /// Records a request to a plain service, and refuses it if no upstream can answer it in time. Returns `None` for
    /// requests with stages or a prompt, whose homes decide.
    pub(super) fn record(cx: &RunContext, req: &RoutedRequest) -> Result<Option<Self>, Refusal> {
        if !req.route.stages.is_empty() || req.head.prompt.is_some() {
            return Ok(None);
        }
        let now = MonoTime::now();
        let room_request = room_request(req);
        let arrived = {
            let mut times = cx.room_times.lock();
            let times = times.entry(req.service.clone()).or_default();
            times.record_arrival(now, &room_request)
        };
        if arrived.has_kept_place {
            metrics::counter!("tc_promised_returns_total", "result" => "returned").increment(1);
            log::info!(request = &*req.head.request, service = req.service.as_str(); "request has returned at its time");
        }
        let arrival = Self {
            req: room_request,
            arrived,
        };
        if arrival.is_hopeless(cx, req, now) {
            let refusal =
                Refusal::awaiting_room("upstreams are full for longer than the request has");
            return Err(arrival.with_return_time(cx, req, refusal));
        }
        Ok(Some(arrival))
    }

    fn is_hopeless(&self, cx: &RunContext, req: &RoutedRequest, now: MonoTime) -> bool {
        let Some(room) = service_room(cx, req).filter(|room| room.soonest_end().is_some()) else {
            return false;
        };
        let share = room_share(cx);
        let times = cx.room_times.lock();
        times
            .get(&req.service)
            .is_some_and(|times| times.is_hopeless(now, &room, share, &self.req, self.arrived))
    }

    /// Sets the time after which a request that found no room is to return, if it is known.
    pub(super) fn with_return_time(
        &self,
        cx: &RunContext,
        req: &RoutedRequest,
        refusal: Refusal,
    ) -> Refusal {
        if !refusal.awaits_room {
            return refusal;
        }
        let Some(room) = service_room(cx, req) else {
            return refusal;
        };
        let share = room_share(cx);
        let left = room_request(req);
        let (retry_after, promised) = {
            let mut times = cx.room_times.lock();
            let times = times.entry(req.service.clone()).or_default();
            let now = MonoTime::now();
            let retry_after = times.promise(now, &room, share, &left, self.arrived);
            (retry_after, times.len())
        };
        let service = req.service.as_str().to_owned();
        metrics::histogram!("tc_return_time_ms", "service" => service)
            .record(retry_after.as_secs_f64() * 1_000.0);
        log::info!(request = &*req.head.request, service = req.service.as_str(), rank = left.rank, retry_after_ms = retry_after.as_millis() as u64, promised = promised; "request refused: no upstream has room");
        Refusal {
            retry_after: Some(retry_after),
            ..refusal
        }
    }
}

fn room_request(req: &RoutedRequest) -> RoomRequest {
    let remaining = req.time_left();
    let callers_limit = req.head.remaining;
    RoomRequest {
        fingerprint: req.fingerprint(),
        rank: req.priority(),
        remaining,
        callers_remaining: callers_limit.map_or(remaining, |limit| {
            limit.saturating_sub(req.arrived.elapsed())
        }),
    }
}

fn service_room(cx: &RunContext, req: &RoutedRequest) -> Option<ServiceRoom> {
    let world = cx.world.load();
    let all = world.upstreams.of_service(req.service.as_str());
    cx.upstream_stats.room(all)
}

fn room_share(cx: &RunContext) -> RoomShare {
    let id = xxh3_64(cx.mesh.me().id.as_str().as_bytes());
    RoomShare {
        instances: cx.instances(),
        phase: id as f64 / u64::MAX as f64,
    }
}
