//! Has requests served by another instance while this one reaches no upstream of their service.
//!
//! The request goes to the other instance's address for callers with all of its headers, so that it is
//! admitted, limited, retried and accounted there like a caller's own. The answer is returned
//! unchanged as it arrives. A request crosses at most one instance: the other one refuses it if it
//! reaches no upstream either.

use std::time::Duration;

use futures::stream;
use http::{Request, Response, Uri, uri::PathAndQuery};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use rand::seq::IndexedRandom;
use tc_protocol::{Member, MemberState, RunState};
use tc_upstream::{CallError, ClientSettings, RawBody, RawCall, UpstreamClient, remove_hop_by_hop};

use crate::run::{AnswerBody, IncompleteBody, Refusal, RoutedRequest, RunContext};

/// Timeout for connecting to another instance, which is a few milliseconds away.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of instances tried. One that has just died is in the member list for about a second.
const MAX_PEERS: usize = 3;
/// Added to the request's remaining time, so that the answer of the other instance to a timeout arrives.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);
/// Factor by which an instance of the own failure domain is preferred.
const DOMAIN_PREFERENCE: f64 = 4.0;

/// Sends requests to other instances.
pub(crate) struct PeerRequests {
    client: UpstreamClient,
}

impl PeerRequests {
    pub(crate) fn new(max_response_bytes: usize) -> Self {
        // Connections to instances say nothing about the reachability of upstreams, so that they
        // have a client of their own.
        Self {
            client: UpstreamClient::new(ClientSettings {
                connect_timeout: CONNECT_TIMEOUT,
                max_response_bytes,
                ..ClientSettings::default()
            }),
        }
    }
}

/// Returns true if another instance is to serve the request.
pub(crate) fn is_for_peer(cx: &RunContext, req: &RoutedRequest) -> bool {
    let is_available = |member: &Member| member.state == MemberState::Alive;
    !req.head.is_from_peer
        && cx.upstream_reach.is_unreachable(&req.service)
        && cx.mesh.members().iter().any(is_available)
}

/// Has another instance serve the request.
pub(crate) async fn serve_by_peer(
    cx: &RunContext,
    req: RoutedRequest,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut failed = Vec::new();
    while failed.len() < MAX_PEERS {
        let Some(peer) = choose_peer(cx, &failed) else {
            break;
        };
        req.runs.record_send();
        match cx
            .peer_requests
            .client
            .exchange_raw(call(cx, &req, &peer))
            .await
        {
            Ok(reply) => {
                let status = reply.head.status;
                log::info!(request = &*req.head.request, peer = peer.id.as_str(), status = status.as_u16(), after_ms = req.arrived.elapsed().as_millis() as u64; "another instance answers a request");
                metrics::counter!("tc_peer_requests_total", "result" => "answered").increment(1);
                let mut answer = Response::new(streamed_body(reply.body, req));
                *answer.status_mut() = status;
                *answer.headers_mut() = reply.head.headers;
                remove_hop_by_hop(answer.headers_mut());
                return Ok(answer);
            }
            Err(error) => {
                let may_have_run = error.run_state != RunState::NotRun;
                log::info!(request = &*req.head.request, peer = peer.id.as_str(), not_run = !may_have_run, error = error.to_string().as_str(); "another instance did not answer a request");
                metrics::counter!("tc_peer_requests_total", "result" => "failed").increment(1);
                cx.mesh.report_failed_call(&peer.id);
                if may_have_run {
                    return Err(unknown_outcome(&req));
                }
                req.runs.record_not_run();
                failed.push(peer);
            }
        }
    }
    Err(Refusal::not_run_transient(
        "this instance reaches no upstream and no other instance",
    ))
}

fn unknown_outcome(req: &RoutedRequest) -> Refusal {
    if req.time_left().is_zero() {
        Refusal::timed_out()
    } else {
        Refusal::outcome_unknown("another instance broke off and may have run the request")
    }
}

/// Chooses an instance at random, in proportion to its strength, with a preference for those of the
/// own failure domain.
fn choose_peer(cx: &RunContext, failed: &[Member]) -> Option<Member> {
    let members = cx.mesh.members();
    let me = cx.mesh.me();
    let is_failed = |member: &Member| failed.iter().any(|failed| failed.id == member.id);
    let candidates: Vec<&Member> = members
        .iter()
        .filter(|member| member.state == MemberState::Alive && member.id != me.id)
        .filter(|member| !is_failed(member))
        .collect();
    let weight = |member: &&Member| {
        let is_near = member.failure_domain == me.failure_domain;
        let preference = if is_near { DOMAIN_PREFERENCE } else { 1.0 };
        f64::from(member.strength.max(1)) * preference
    };
    let chosen = candidates.choose_weighted(&mut rand::rng(), weight).ok()?;
    Some((*chosen).clone())
}

fn call(cx: &RunContext, req: &RoutedRequest, peer: &Member) -> RawCall {
    let path = req.parts.uri.path_and_query();
    let path = path.cloned().unwrap_or(PathAndQuery::from_static("/"));
    let remaining = req.time_left();
    let mut request = Request::new(Full::new(req.body.clone()));
    *request.method_mut() = req.parts.method.clone();
    *request.uri_mut() = Uri::from(path);
    *request.headers_mut() = (cx.codec.peer_headers)(&req.parts.headers, remaining);
    RawCall {
        upstream: peer.id.as_str().into(),
        address: peer.caller_address,
        request,
        remaining: remaining + RESPONSE_GRACE,
        reuse: false,
        is_wanted: Box::new(|| true),
    }
}

/// State of an answer that is being returned: its body, and the request, which counts as held until the
/// end.
struct ReturnedAnswer {
    body: RawBody,
    req: RoutedRequest,
}

/// Returns the body of an answer as it arrives. One that breaks off ends with an error, so that it does not
/// look complete.
fn streamed_body(body: RawBody, req: RoutedRequest) -> AnswerBody {
    let frames = stream::unfold(Some(ReturnedAnswer { body, req }), |state| async move {
        let mut answer = state?;
        match answer.body.chunk().await? {
            Ok(chunk) => Some((Ok(Frame::data(chunk)), Some(answer))),
            Err(error) => {
                answer.log_failure(&error);
                Some((Err(IncompleteBody), None))
            }
        }
    });
    StreamBody::new(frames).boxed_unsync()
}

impl ReturnedAnswer {
    fn log_failure(&self, error: &CallError) {
        log::info!(request = &*self.req.head.request, error = error.to_string().as_str(); "the answer of another instance ended before it was complete");
    }
}
