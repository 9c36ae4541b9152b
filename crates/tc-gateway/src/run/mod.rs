//! Runs one routed request: its stages first, then the request itself, then the answer.

mod attempt;
mod attempts;
mod buffered;
mod crashes;
mod fingerprint;
mod hedge;
mod home_request;
mod open_stream;
mod outlooks;
mod piece_check;
mod possible_runs;
mod prompt_times;
mod refusal;
mod relay;
mod resumption;
mod room;
mod send_failure;
mod stages;
mod stream;
mod stream_fault;
mod target;
mod urgency;

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode, request::Parts};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use tc_fleet::Mesh;
use tc_protocol::{
    MemberState, ServiceName, UpstreamVersion, WorkspaceName,
    routing::{RegisteredUpstream, Route, RoutedWorkspace, StreamOrigin},
};
use tc_upstream::UpstreamClient;
use thiserror::Error;
use tokio::{sync::watch::Receiver, time::Instant};

use crate::{
    backoffs::UpstreamBackoffs,
    call::RequestHead,
    codec::PlatformCodec,
    cold::ColdSends,
    engines::{EngineHomes, RunReportSender},
    freeze::{SuspendedTime, TimeAllowed},
    held_bytes::{HeldBytes, HeldGuard},
    homes::{BatchHomes, ResultReleaser},
    limits::LimitedSends,
    origins::StreamOrigins,
    peer_requests::PeerRequests,
    retry_budgets::RetryBudgets,
    unknown_headers::UnknownHeaders,
    upstream_reach::UpstreamReach,
    upstream_stats::UpstreamStats,
    world::WorldCell,
};

pub(crate) use outlooks::SharedOutlooks;
pub(crate) use possible_runs::PossibleRuns;
pub(crate) use prompt_times::SharedPromptTimes;
pub(crate) use refusal::{Refusal, refusal_answer};
pub(crate) use room::SharedRoomTimes;
pub(crate) use urgency::urgency_scales;

/// Number of route priorities within one workspace priority. Routes use 0 to 2. With a larger number, a workspace
/// could wait for a long time only because the priority value of another one is one lower.
const ROUTE_PRIORITIES: u8 = 3;

/// Body of an answer to a caller. An error closes the caller's connection, so that an incomplete answer never looks
/// complete.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, IncompleteBody>;

/// The upstream's answer ended early after its start had been forwarded to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the answer ended before it was complete")]
pub(crate) struct IncompleteBody;

/// Returns a body whose bytes are all available.
pub(crate) fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// State shared by all requests of this instance.
pub(crate) struct RunContext {
    pub(crate) codec: PlatformCodec,
    pub(crate) world: Arc<WorldCell>,
    pub(crate) mesh: Mesh,
    pub(crate) homes: Arc<BatchHomes>,
    pub(crate) engines: Arc<EngineHomes>,
    pub(crate) run_reports: RunReportSender,
    pub(crate) releaser: ResultReleaser,
    pub(crate) upstream_stats: Arc<UpstreamStats>,
    pub(crate) upstream_reach: Arc<UpstreamReach>,
    pub(crate) peer_requests: PeerRequests,
    pub(crate) cold: Arc<ColdSends>,
    pub(crate) limits: Arc<LimitedSends>,
    pub(crate) backoffs: Arc<UpstreamBackoffs>,
    pub(crate) unknown_headers: Arc<UnknownHeaders>,
    pub(crate) retry_budgets: Arc<RetryBudgets>,
    pub(crate) origins: Arc<StreamOrigins>,
    pub(crate) outlooks: SharedOutlooks,
    pub(crate) prompt_times: SharedPromptTimes,
    pub(crate) room_times: SharedRoomTimes,
    pub(crate) client: UpstreamClient,
    pub(crate) held_bytes: Arc<HeldBytes>,
    pub(crate) suspended: SuspendedTime,
    /// Whether the member list of this instance agrees with that of another one; also true once it has waited long
    /// enough for that.
    pub(crate) members_settled: Receiver<bool>,
}

impl RunContext {
    /// Waits after startup until the member list has settled, so that the home of each service is known.
    ///
    /// When hundreds of instances start at once, each knows only some of the others and picks one of those as the
    /// home of a service. Dozens of homes then send each upstream more calls than it takes: after every power loss
    /// this caused three seconds of refusals and tens of thousands of refused calls.
    pub(crate) async fn wait_for_membership(&self) {
        let mut settled = self.members_settled.clone();
        // Fails only when the process is shutting down.
        let _ = settled.wait_for(|settled| *settled).await;
    }

    /// Returns the number of instances that are not known to be dead.
    pub(crate) fn instances(&self) -> usize {
        let members = self.mesh.members();
        members
            .iter()
            .filter(|m| m.state != MemberState::Dead)
            .count()
    }
}

/// Returns the text that stands for a version in log lines; empty if it is not known.
pub(crate) fn version_label(version: Option<&UpstreamVersion>) -> &str {
    version.map_or("", UpstreamVersion::as_str)
}

/// A request for which a route was found and which may run.
pub(crate) struct RoutedRequest {
    pub(crate) head: RequestHead,
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    /// Counts the body as held.
    pub(crate) _held: HeldGuard,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<Arc<RoutedWorkspace>>,
    pub(crate) arrived: Instant,
    /// Version of the configuration under which the request was admitted.
    pub(crate) config_version: u64,
    /// When the caller last got an event, or sent its request.
    pub(crate) waiting_since: Mutex<Instant>,
    /// Time from arrival to the first byte of the first answer.
    pub(crate) answered_after: OnceLock<Duration>,
    /// Time left until the timeout of the caller or the route.
    pub(crate) allowed: TimeAllowed,
    /// Origin of the stream that the request resumes.
    pub(crate) origin: Option<StreamOrigin>,
    pub(crate) runs: PossibleRuns,
}

impl RoutedRequest {
    pub(crate) fn time_left(&self) -> Duration {
        self.allowed.left()
    }

    /// Returns the time until the caller disconnects if no event arrives: the remaining time of the request or, if
    /// shorter, what is left of the longest time for which callers wait for an event.
    fn time_to_next_event(&self) -> Duration {
        let left = self.time_left();
        let timeout = self.route.first_event_timeout.unwrap_or(left);
        left.min(timeout.saturating_sub(self.waiting_since().elapsed()))
    }

    /// Records that events are sent to the caller.
    fn record_events(&self) {
        *self.waiting_since() = Instant::now();
    }

    fn waiting_since(&self) -> MutexGuard<'_, Instant> {
        self.waiting_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs and counts the first byte of an upstream's answer.
    fn record_answer(&self, upstream: &RegisteredUpstream, status: StatusCode, sends: u32) {
        let after = self.arrived.elapsed();
        // Later ones resume the stream.
        let _ = self.answered_after.set(after);
        let service = self.service.as_str().to_owned();
        metrics::counter!("tc_routed_answers_total", "service" => service.clone()).increment(1);
        metrics::histogram!("tc_routed_first_byte_ms", "service" => service)
            .record(after.as_secs_f64() * 1_000.0);
        log::info!(
            request = &*self.head.request,
            route = &*self.route.name,
            upstream = upstream.id.as_str(),
            version = version_label(upstream.version.as_ref()),
            status = status.as_u16(),
            sends = sends,
            after_ms = after.as_millis() as u64;
            "an upstream answers"
        );
    }

    /// Returns the name of the workspace; empty if the request needed no key.
    fn workspace_name(&self) -> WorkspaceName {
        let workspace = self.workspace.as_ref();
        workspace.map_or_else(|| "".into(), |workspace| workspace.name.clone())
    }

    /// Returns the priority of the request, 0 being the most urgent: by workspace first, then by route.
    fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|w| w.priority);
        combined_priority(workspace, &self.route)
    }
}

/// Returns the priority of the requests of a workspace with this priority on a route.
fn combined_priority(workspace: Option<u8>, route: &Route) -> u8 {
    let route_priority = route.priority.min(ROUTE_PRIORITIES - 1);
    match workspace {
        Some(priority) => priority
            .saturating_mul(ROUTE_PRIORITIES)
            .saturating_add(route_priority),
        None => route_priority,
    }
}

/// Runs a request until its answer is complete or, for a stream, until its first event.
pub(crate) async fn run(cx: Arc<RunContext>, mut req: RoutedRequest) -> Response<AnswerBody> {
    if let Err(refusal) = prepare(&cx, &mut req).await {
        refusal.log(&req);
        return refusal_answer(&cx.codec, &req.head.request, &refusal);
    }
    let req = Arc::new(req);
    let answered = if req.route.kind.is_stream() {
        stream::run(Arc::clone(&cx), Arc::clone(&req)).await
    } else {
        buffered::run(&cx, &req).await
    };
    answered.unwrap_or_else(|refusal| {
        refusal.log(&req);
        refusal_answer(&cx.codec, &req.head.request, &refusal)
    })
}

/// Finds what binds a request, and refuses one that is known to crash upstreams before any work is done for it.
async fn prepare(cx: &RunContext, req: &mut RoutedRequest) -> Result<(), Refusal> {
    let bound = resumption::bind_to_origin(cx, req).await;
    cx.retry_budgets.record_request(&req.service);
    bound?;
    crashes::refuse_quarantined(cx, req)
}
