//! Calls from the home of a batch service to upstreams.

use std::{
    collections::{BTreeSet, HashMap},
    pin::pin,
    sync::Arc,
    time::Duration,
};

use tc_policy::{BatchCall, CallEnd, Senders};
use tc_protocol::{
    MonoTime, RunState, UpstreamId,
    routing::{PieceRequest, ResultHandle},
};
use tc_upstream::{CallErrorKind, RawCall};
use tokio::time::{sleep, timeout};

use super::{
    HomeContext,
    home::{BatchHome, address_of},
};
use crate::{call::Acceptance, world::World};

/// Timeout of a call that frees results. Upstreams answer it at once, and repeating it is harmless.
const FREE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of times that results are freed if the call fails.
const FREE_ATTEMPTS: u32 = 2;

/// Maximum size of the answer to a batch call, which names a result or a failure for each piece.
const MAX_BATCH_ANSWER_BYTES: usize = 1 << 20;
/// Maximum size of the answer to a call that frees results.
const MAX_FREE_ANSWER_BYTES: usize = 16 << 10;
/// Maximum number of request identifiers in the log line of a batch call.
const MAX_LOGGED_REQUESTS: usize = 32;

/// What the log line of a batch call says about the decision to make it.
struct CallBasis {
    /// Identifiers of the requests whose pieces are made.
    requests: String,
    /// Revision of the list of upstreams.
    list_revision: String,
    /// Age of the confirmation of the store's state.
    confirmed_age: Duration,
    decided_at: MonoTime,
}

impl CallBasis {
    fn new(cx: &HomeContext, world: &World, pieces: &[PieceRequest]) -> Self {
        let decided_at = MonoTime::now();
        let requests: BTreeSet<&str> = pieces.iter().map(|piece| &*piece.request).collect();
        let requests: Vec<&str> = requests.into_iter().take(MAX_LOGGED_REQUESTS).collect();
        Self {
            requests: requests.join(","),
            list_revision: world.upstreams.revision().to_string(),
            confirmed_age: decided_at.since(cx.world.confirmed()),
            decided_at,
        }
    }

    fn took_ms(&self) -> u64 {
        MonoTime::now().since(self.decided_at).as_millis() as u64
    }
}

/// Makes one batch call and returns how it ended.
pub(super) async fn make_pieces(home: &BatchHome, mut call: BatchCall) -> CallEnd {
    let (cx, service) = (&*home.cx, &home.service);
    cx.world.wait_until_fresh().await;
    if !home.is_call_wanted(&mut call) {
        return CallEnd::Withdrawn;
    }
    let world = cx.world.load();
    let basis = CallBasis::new(cx, &world, &call.pieces);
    let Some(address) = address_of(&world, service, &call.upstream) else {
        log::info!(service = service.as_str(), upstream = call.upstream.as_str(), requests = basis.requests.as_str(), list_revision = basis.list_revision.as_str(); "batch call withdrawn: its upstream takes no more work");
        return CallEnd::NotRun;
    };
    if let Some(remaining) = cx.backoffs.remaining(&call.upstream) {
        return CallEnd::BackingOff(remaining);
    }
    let raw = RawCall {
        upstream: call.upstream.clone(),
        address,
        request: (cx.codec.batch_call)(&call.pieces, &call.upstream),
        remaining: call.timeout,
        // Answers do not identify their call, so on a kept-alive connection a late duplicate would be taken for the
        // answer to the next call.
        reuse: false,
        is_wanted: cx.world.still_takes_work(call.upstream.clone()),
    };
    let mut exchange = pin!(cx.client.exchange_raw(raw));
    let answered = timeout(call.overdue_after, exchange.as_mut()).await.ok();
    if answered.is_none() {
        log::info!(service = service.as_str(), upstream = call.upstream.as_str(), requests = basis.requests.as_str(), pieces = call.pieces.len(), took_ms = basis.took_ms(); "batch call overdue; other upstreams may make its pieces");
    }
    let answered = match answered {
        Some(answered) => answered,
        None => exchange.await,
    };
    let mut reply = match answered {
        Ok(reply) => reply,
        Err(error) => {
            log::warn!(service = service.as_str(), upstream = call.upstream.as_str(), requests = basis.requests.as_str(), pieces = call.pieces.len(), list_revision = basis.list_revision.as_str(), confirmed_age_ms = basis.confirmed_age.as_millis() as u64, took_ms = basis.took_ms(), error = error.to_string().as_str(); "batch call failed");
            return match (error.kind, error.run_state) {
                (CallErrorKind::Withdrawn, _) => CallEnd::NotRun,
                (CallErrorKind::Connect, RunState::NotRun) => CallEnd::Unreachable,
                (_, RunState::NotRun) => CallEnd::Failed,
                _ => CallEnd::AnswerLost,
            };
        }
    };
    let head = (cx.codec.read_answer)(&reply.head);
    log::info!(service = service.as_str(), upstream = call.upstream.as_str(), requests = basis.requests.as_str(), pieces = call.pieces.len(), status = reply.head.status.as_u16(), accepted = (head.acceptance == Acceptance::Yes), list_revision = basis.list_revision.as_str(), confirmed_age_ms = basis.confirmed_age.as_millis() as u64, connected_after_ms = reply.connected_after.as_millis() as u64, took_ms = basis.took_ms(); "batch call answered");
    cx.upstream_stats.record_load(&call.upstream, head.load);
    cx.unknown_headers
        .record(&call.upstream, &head.unknown_headers);
    if head.announces_leaving() {
        cx.world.mark_leaving(&call.upstream);
    }
    if let Some(announced) = head.announced_limit(reply.head.status) {
        cx.limits.observe(&call.upstream, announced);
    }
    let senders = Senders {
        count: 1,
        is_windowed: false,
    };
    let backoff = cx.backoffs.observe(&call.upstream, &head, senders);
    if head.acceptance != Acceptance::Yes {
        return backoff.map_or(CallEnd::NotRun, CallEnd::RefusedWithBackoff);
    }
    reply.body.limit(MAX_BATCH_ANSWER_BYTES);
    let body = reply.body.collect().await.ok();
    let results = body.and_then(|body| (cx.codec.read_batch)(&body));
    match results {
        Some(results) if reply.head.status.is_success() && results.len() == call.pieces.len() => {
            home.count_failures(&results);
            CallEnd::Answered(results)
        }
        _ => {
            log::warn!(service = service.as_str(), upstream = call.upstream.as_str(), status = reply.head.status.as_u16(); "answer to a batch call is invalid");
            if reply.head.status.is_success() {
                CallEnd::AnswerLost
            } else {
                CallEnd::Failed
            }
        }
    }
}

/// Frees results at their upstreams and calls `on_freed` with those of each upstream that has answered. If a call is
/// lost, its results take capacity until they expire.
///
/// Upstreams that take no more work are not called: no new piece may use the capacity that would be freed there.
pub(super) fn free_at_upstreams(
    cx: &Arc<HomeContext>,
    handles: &[ResultHandle],
    on_freed: impl Fn(&[ResultHandle]) + Clone + Send + Sync + 'static,
) {
    let world = cx.world.load();
    let mut by_upstream: HashMap<UpstreamId, Vec<ResultHandle>> = HashMap::new();
    for handle in handles {
        let holder = world.upstreams.upstream_of_result(handle);
        if let Some(upstream) = holder.filter(|upstream| upstream.takes_work()) {
            let of_upstream = by_upstream.entry(upstream.id.clone()).or_default();
            of_upstream.push(handle.clone());
        }
    }
    for (id, handles) in by_upstream {
        let (cx, on_freed) = (Arc::clone(cx), on_freed.clone());
        tokio::spawn(async move {
            for _ in 0..FREE_ATTEMPTS {
                if free_at_upstream(&cx, &id, &handles).await {
                    on_freed(&handles);
                    return;
                }
            }
            log::debug!(upstream = id.as_str(), results = handles.len(); "results could not be freed; they expire on their own");
        });
    }
}

/// Returns true if the upstream has freed the results.
async fn free_at_upstream(cx: &HomeContext, id: &UpstreamId, handles: &[ResultHandle]) -> bool {
    while let Some(remaining) = cx.backoffs.remaining(id) {
        sleep(remaining).await;
    }
    cx.world.wait_until_fresh().await;
    let world = cx.world.load();
    let upstream = world.upstreams.upstream(id);
    let Some(upstream) = upstream.filter(|upstream| upstream.takes_work()) else {
        return false;
    };
    let raw = RawCall {
        upstream: id.clone(),
        address: upstream.address,
        request: (cx.codec.free_call)(handles, &upstream.id),
        remaining: FREE_TIMEOUT,
        reuse: true,
        is_wanted: cx.world.still_takes_work(id.clone()),
    };
    match cx.client.exchange_raw(raw).await {
        Ok(mut reply) => {
            // The body is read so that the connection can be reused; its content does not matter.
            reply.body.limit(MAX_FREE_ANSWER_BYTES);
            let _ = reply.body.collect().await;
            reply.head.status.is_success()
        }
        Err(error) => {
            log::debug!(upstream = id.as_str(), results = handles.len(), error = error.to_string().as_str(); "call that frees results failed");
            false
        }
    }
}
