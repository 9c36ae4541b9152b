//! Admission of callers' requests: from the header to the start of the run.

use std::{
    pin::Pin,
    sync::{
        Arc, Mutex, OnceLock,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, request::Parts};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tc_protocol::{MonoTime, routing::Route};
use tokio::time::Instant;

use super::{Connections, destination::Destination, request_body::read_body};
use crate::{
    call::RequestHead,
    freeze::TimeAllowed,
    peer_requests::{is_for_peer, serve_by_peer},
    routing::target_service,
    run::{
        AnswerBody, IncompleteBody, PossibleRuns, Refusal, RoutedRequest, RunContext,
        refusal_answer, run,
    },
    stop::StopState,
    world::{ActiveConfig, WorldPart},
};

/// Maximum wait of a request for the first configuration and list of upstreams after a process
/// start. Hundreds of instances that start together after a power loss have them within a second,
/// and half of the callers would retry only once.
const INITIAL_STATE_WAIT: Duration = Duration::from_millis(800);
/// Retry delay sent to callers when this instance has no configuration, or none that it can rely on.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Delay after which callers of a stopping instance should retry at another instance.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Serves callers' requests.
#[derive(Clone)]
pub(crate) struct CallerService {
    pub(crate) cx: Arc<RunContext>,
    pub(crate) connections: Connections,
    pub(crate) stop: Arc<StopState>,
    /// Maximum time from the store's acknowledgement of a configuration until every instance applies it.
    pub(crate) config_apply_limit: Duration,
}

/// A caller's request whose headers have been decoded.
struct ReceivedRequest {
    arrived: Instant,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    runs: PossibleRuns,
}

/// Counts a request as in flight until its response has been sent or its caller has disconnected.
struct InFlightRequest(Arc<AtomicUsize>);

impl InFlightRequest {
    fn start(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A response body that counts its request as in flight until it has been sent. It preserves the
/// size hint, so that a complete response is sent with a length instead of in chunks.
struct CountedBody {
    body: AnswerBody,
    _in_flight: InFlightRequest,
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl CallerService {
    /// Answers one request.
    pub(crate) async fn answer(self, req: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let in_flight_request = InFlightRequest::start(&self.connections.in_flight);
        let (parts, body) = req.into_parts();
        let mut answer = match (self.cx.codec.read_request)(&parts) {
            Ok(head) => {
                let received = ReceivedRequest {
                    arrived,
                    parts,
                    head,
                    body,
                    runs: PossibleRuns::default(),
                };
                self.serve(received).await
            }
            Err(error) => {
                log::info!(error = error.to_string().as_str(), path = parts.uri.path(); "a request header cannot be decoded");
                let reason = "a header of the request is missing or cannot be read";
                let refusal = Refusal::without_retry(StatusCode::BAD_REQUEST, reason);
                refusal_answer(&self.cx.codec, "", &refusal)
            }
        };
        if self.stop.is_stopping() {
            // Makes the caller open its next connection to another instance before this one closes.
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer.map(|body| {
            CountedBody {
                body,
                _in_flight: in_flight_request,
            }
            .boxed_unsync()
        })
    }

    /// Serves one request until it is answered or, if the process stops first, until an answer is due.
    async fn serve(&self, received: ReceivedRequest) -> Response<AnswerBody> {
        let arrived = received.arrived;
        let request = Arc::clone(&received.head.request);
        let runs = received.runs.clone();
        let refusal = tokio::select! {
            biased;
            answer = self.admit_and_run(received) => return answer,
            () = self.stop.answers_due() => unfinished(&runs),
        };
        log::info!(request = &*request, status = refusal.status.as_u16(), reason = refusal.reason, after_ms = arrived.elapsed().as_millis() as u64; "request unfinished at the end of the shutdown");
        refusal_answer(&self.cx.codec, &request, &refusal)
    }

    async fn admit_and_run(&self, received: ReceivedRequest) -> Response<AnswerBody> {
        let request = Arc::clone(&received.head.request);
        let served = match self.admit(received).await {
            Ok(routed) if is_for_peer(&self.cx, &routed) => serve_by_peer(&self.cx, routed).await,
            Ok(routed) => Ok(run(Arc::clone(&self.cx), routed).await),
            Err(refusal) => {
                self.log_refusal(&request, &refusal);
                Err(refusal)
            }
        };
        served.unwrap_or_else(|refusal| refusal_answer(&self.cx.codec, &request, &refusal))
    }

    /// Decides whether a request may run, and reads its body.
    async fn admit(&self, received: ReceivedRequest) -> Result<RoutedRequest, Refusal> {
        let ReceivedRequest {
            arrived,
            parts,
            head,
            body,
            runs,
        } = received;
        let Destination {
            config,
            route,
            workspace,
        } = self.find_destination(&parts, &head).await?;
        // A stream that is resumed goes to the service that began it while the weights stay the same.
        let resumes = head.resumes.as_ref().filter(|_| route.kind.is_stream());
        let service = target_service(&route, resumes.unwrap_or(&head.request))
            .cloned()
            .ok_or_else(|| Refusal::not_run_transient("the route names no service"))?;
        let suspended = self.cx.suspended;
        let time_limit = head.remaining.unwrap_or(route.timeout).min(route.timeout);
        let deadline = arrived + time_limit;
        self.check_may_start(&route, deadline)?;
        let allowed = TimeAllowed::until(deadline, suspended);
        let mut body_guard = self.cx.held_bytes.guard();
        let max_bytes = config.routing.limits.body_bytes;
        let body = read_body(body, max_bytes, deadline, &mut body_guard).await?;
        // The shutdown may have begun while the body was read.
        self.check_may_start(&route, deadline)?;
        Ok(RoutedRequest {
            head,
            parts,
            body,
            _held: body_guard,
            route,
            service,
            workspace,
            arrived,
            config_version: config.routing.version,
            waiting_since: Mutex::new(arrived),
            answered_after: OnceLock::new(),
            allowed,
            origin: None,
            runs,
        })
    }

    /// Refuses a request that could outlast this process while it stops.
    fn check_may_start(&self, route: &Route, deadline: Instant) -> Result<(), Refusal> {
        let time_limit = deadline.saturating_duration_since(Instant::now());
        if self.stop.may_start(route.kind.is_stream(), time_limit) {
            Ok(())
        } else {
            Err(stopping())
        }
    }

    /// Finds where a request goes.
    ///
    /// A refusal is final only if the active configuration includes every change that the store had
    /// accepted by one `config_apply_limit` ago. Otherwise the store may have had the route or the key
    /// for longer than that, and the caller should try another instance.
    async fn find_destination(
        &self,
        parts: &Parts,
        head: &RequestHead,
    ) -> Result<Destination, Refusal> {
        if let Ok(destination) = Destination::find(self.config().await?, parts, head) {
            return Ok(destination);
        }
        self.cx.world.wait_until_fresh().await;
        Destination::find(self.config().await?, parts, head).map_err(|refusal| {
            let age = self.cx.world.confirmation_age(WorldPart::Config);
            if age.is_some_and(|age| age < self.config_apply_limit) {
                return refusal;
            }
            Refusal::not_run(
                "the store may have a newer configuration",
                NO_CONFIG_RETRY_AFTER,
            )
        })
    }

    /// Logs a request that `admit` refused, with the version of the active configuration, the time
    /// since this instance decoded it and the age of its confirmation. The first two are zero
    /// without a configuration.
    ///
    /// A refusal by an outdated version with a recent confirmation means that a confirmation was
    /// passed on without the change; with an old one, that nothing reached this instance.
    fn log_refusal(&self, request: &str, refusal: &Refusal) {
        let now = MonoTime::now();
        let world = self.cx.world.load();
        let config = world.config.as_ref();
        let age = config.map(|config| now.since(config.decoded_at));
        let confirmed = self.cx.world.part_confirmed(WorldPart::Config);
        log::info!(
            request = request,
            status = refusal.status.as_u16(),
            reason = refusal.reason,
            version = config.map_or(0, |config| config.routing.version),
            version_age_ms = age.unwrap_or_default().as_millis() as u64,
            confirmed_age_ms = now.since(confirmed).as_millis() as u64;
            "a request is not admitted"
        );
    }

    async fn config(&self) -> Result<Arc<ActiveConfig>, Refusal> {
        if !self.cx.world.load().is_known() {
            crate::world::wait_until_known(&self.cx.world, INITIAL_STATE_WAIT).await;
        }
        let world = self.cx.world.load();
        world.config.clone().ok_or_else(|| {
            Refusal::not_run(
                "this instance has no configuration yet",
                NO_CONFIG_RETRY_AFTER,
            )
        })
    }
}

fn stopping() -> Refusal {
    Refusal::not_run("this instance is stopping", STOPPING_RETRY_AFTER)
}

/// Returns the answer to a request that is unfinished when the process exits.
fn unfinished(runs: &PossibleRuns) -> Refusal {
    if runs.any() {
        Refusal::outcome_unknown("this instance stopped before the request was answered")
    } else {
        stopping()
    }
}
