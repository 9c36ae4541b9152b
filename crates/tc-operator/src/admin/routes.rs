//! From a request to its answer.

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;
use tc_protocol::RequestId;

use super::{AdminPorts, DrainError, DrainTarget, ErrorReport, paths};
use crate::Secret;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const PROMETHEUS: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const CHALLENGE: HeaderValue = HeaderValue::from_static("Bearer");

type Answer = Response<Full<Bytes>>;

/// Target of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Route {
    Status,
    Upstreams,
    Workspaces,
    Explain(RequestId),
    Drain(DrainTarget),
    Metrics,
    Health,
}

impl Route {
    fn of(path: &str) -> Option<Self> {
        let after = |prefix| path.strip_prefix(prefix).filter(|id| is_identifier(id));
        match path {
            paths::STATUS => Some(Self::Status),
            paths::UPSTREAMS => Some(Self::Upstreams),
            paths::WORKSPACES => Some(Self::Workspaces),
            paths::METRICS => Some(Self::Metrics),
            paths::HEALTH => Some(Self::Health),
            _ => None,
        }
        .or_else(|| Some(Self::Explain(after(paths::EXPLAIN)?.into())))
        .or_else(|| {
            let id = after(paths::DRAIN_UPSTREAM)?.into();
            Some(Self::Drain(DrainTarget::Upstream(id)))
        })
        .or_else(|| {
            let id = after(paths::DRAIN_INSTANCE)?.into();
            Some(Self::Drain(DrainTarget::Instance(id)))
        })
    }

    fn allowed(&self) -> &'static str {
        match self {
            Self::Drain(_) => "POST, DELETE",
            _ => "GET",
        }
    }
}

/// Identifiers need no escaping in a path, so anything else in one is no identifier.
fn is_identifier(text: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().all(plain)
}

/// Answers one request.
pub(super) async fn answer<B>(req: Request<B>, ports: &AdminPorts, token: &Secret) -> Answer {
    let Some(route) = Route::of(req.uri().path()) else {
        // Whoever has no token learns nothing of which paths there are.
        if !is_authorized(&req, token) {
            return unauthorized();
        }
        return error(StatusCode::NOT_FOUND, "there is no such path");
    };
    if route != Route::Health && !is_authorized(&req, token) {
        return unauthorized();
    }
    dispatch(route, req.method(), ports).await
}

async fn dispatch(route: Route, method: &Method, ports: &AdminPorts) -> Answer {
    match (route, method) {
        (Route::Status, &Method::GET) => json(&(ports.status)(()).await),
        (Route::Upstreams, &Method::GET) => json(&(ports.upstreams)(()).await),
        (Route::Workspaces, &Method::GET) => json(&(ports.workspaces)(()).await),
        (Route::Explain(id), &Method::GET) => match (ports.explain)(id).await {
            Some(explanation) => json(&explanation),
            None => error(
                StatusCode::NOT_FOUND,
                "nothing is kept of this request: its instance is gone or has forgotten it",
            ),
        },
        (Route::Drain(target), &Method::POST) => drained((ports.drain)((target, true)).await),
        (Route::Drain(target), &Method::DELETE) => drained((ports.drain)((target, false)).await),
        (Route::Metrics, &Method::GET) => respond(StatusCode::OK, PROMETHEUS, (ports.metrics)()),
        (Route::Health, &Method::GET) => respond(StatusCode::OK, JSON, "{\"health\":\"ok\"}\n"),
        (route, _) => {
            let mut answer = error(StatusCode::METHOD_NOT_ALLOWED, "wrong method");
            let allowed = HeaderValue::from_static(route.allowed());
            answer.headers_mut().insert(header::ALLOW, allowed);
            answer
        }
    }
}

fn drained(outcome: Result<(), DrainError>) -> Answer {
    match outcome {
        Ok(()) => respond(StatusCode::OK, JSON, "{}\n"),
        Err(e) => {
            let status = match e {
                DrainError::NotFound => StatusCode::NOT_FOUND,
                DrainError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
                DrainError::Refused(_) => StatusCode::CONFLICT,
            };
            error(status, &e.to_string())
        }
    }
}

fn is_authorized<B>(req: &Request<B>, token: &Secret) -> bool {
    let header = req.headers().get(header::AUTHORIZATION);
    let guess = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    guess.is_some_and(|guess| token.is(guess))
}

fn unauthorized() -> Answer {
    let mut answer = error(StatusCode::UNAUTHORIZED, "no or a wrong operator token");
    let headers = answer.headers_mut();
    headers.insert(header::WWW_AUTHENTICATE, CHALLENGE);
    answer
}

fn error(status: StatusCode, problem: &str) -> Answer {
    let report = ErrorReport {
        error: problem.to_owned(),
    };
    encoded(status, &report)
}

fn json(value: &impl Serialize) -> Answer {
    encoded(StatusCode::OK, value)
}

fn encoded(status: StatusCode, value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => respond(status, JSON, body),
        Err(e) => {
            log::error!("an admin answer cannot be encoded: {e}");
            respond(
                StatusCode::INTERNAL_SERVER_ERROR,
                JSON,
                "{\"error\":\"internal\"}\n",
            )
        }
    }
}

fn respond(status: StatusCode, content_type: HeaderValue, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, content_type);
    answer
}
