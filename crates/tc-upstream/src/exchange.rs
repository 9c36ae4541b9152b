//! One exchange: a connection, a request sent, an answer's header received.

use std::io;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header, response, uri::PathAndQuery};
use http_body_util::Full;
use tc_protocol::{Outcome, RunState};

use crate::{
    client::Shared,
    connection::{Answer, Connection, Failure, Traffic, dial},
    error::{CallError, CallErrorKind},
    site::CallSite,
};

/// Idle connections tried before a new one is made, so that a restarted upstream's dead ones cost little time.
const IDLE_TRIES: usize = 4;
/// Error numbers of "too many open files", in this process and on this machine.
const NO_FILES: [i32; 2] = [24, 23];

/// Whether an exchange may use a kept connection, and for what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// A connection kept for this traffic.
    Kept(Traffic),
    /// Only a new one.
    Never,
}

/// An answer's header, with its body still on the connection.
#[derive(Debug)]
pub(crate) struct Exchanged {
    pub(crate) head: response::Parts,
    pub(crate) answer: Answer,
    /// Whether the connection had carried another exchange before.
    pub(crate) reused: bool,
}

/// Builds a request with the headers every call carries.
pub(crate) fn build_request(
    site: &CallSite,
    method: Method,
    path: PathAndQuery,
    mut headers: HeaderMap,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, CallError> {
    let host = HeaderValue::from_str(&site.address.to_string())
        .map_err(|e| site.unsendable(e.to_string()))?;
    headers.insert(header::HOST, host);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from(path);
    *request.headers_mut() = headers;
    Ok(request)
}

/// Sends a request and waits for the answer's header.
pub(crate) async fn exchange(
    shared: &Shared,
    site: &CallSite,
    reuse: Reuse,
    mut request: Request<Full<Bytes>>,
) -> Result<Exchanged, CallError> {
    let mut idle_tries = 0;
    loop {
        if site.time_left().is_zero() {
            return Err(site.failed(&Failure::TimedOut, RunState::NotRun));
        }
        let may_reuse = idle_tries < IDLE_TRIES;
        idle_tries += 1;
        let mut connection = connect(shared, site, reuse, may_reuse).await?;
        let failed = match connection.send(request, site.deadline).await {
            Ok(response) => return Ok(received(shared, connection, response)),
            Err(failed) => failed,
        };
        // An idle connection may turn out to be closed just as the request is handed to it. Only when the
        // connection gives the request back and no byte has left can it be sent again: anything else would run a
        // call twice, noticed as two runs of one attempt at the upstream.
        match failed.unsent {
            Some(unsent) if connection.is_reused() && !connection.has_written() => request = unsent,
            _ => return Err(send_error(site, &connection, &failed.failure)),
        }
    }
}

fn received(
    shared: &Shared,
    connection: Connection,
    response: http::Response<hyper::body::Incoming>,
) -> Exchanged {
    let (head, body) = response.into_parts();
    let reused = connection.is_reused();
    Exchanged {
        head,
        answer: Answer::new(connection, body, shared.settings.max_response_bytes),
        reused,
    }
}

async fn connect(
    shared: &Shared,
    site: &CallSite,
    reuse: Reuse,
    may_reuse: bool,
) -> Result<Connection, CallError> {
    if let Reuse::Kept(traffic) = reuse
        && may_reuse
        && let Some(mut kept) = shared.idle.take(site.address, traffic)
        && kept.is_usable().await
    {
        return Ok(kept);
    }
    metrics::counter!("tc_upstream_connects_total").increment(1);
    let limit = shared.settings.connect_timeout.min(site.time_left());
    dial(site.address, &shared.settings, limit)
        .await
        .map_err(|e| connect_error(site, &e))
}

/// No byte was sent, so the call did not run, whatever the cause.
fn connect_error(site: &CallSite, error: &io::Error) -> CallError {
    if site.time_left().is_zero() {
        return site.failed(&Failure::TimedOut, RunState::NotRun);
    }
    let outcome = match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Outcome::Died,
        io::ErrorKind::TimedOut => Outcome::TimedOut,
        // Our own shortage must not be held against the upstream, or one instance short of files would have all
        // its upstreams ejected.
        io::ErrorKind::AddrNotAvailable => Outcome::Unused,
        _ if error.raw_os_error().is_some_and(|n| NO_FILES.contains(&n)) => Outcome::Unused,
        _ => Outcome::Failed,
    };
    site.error(
        CallErrorKind::Connect,
        RunState::NotRun,
        outcome,
        error.to_string(),
    )
}

/// Nothing written proves that the call did not run; anything else proves nothing.
fn send_error(site: &CallSite, connection: &Connection, failure: &Failure) -> CallError {
    if connection.has_written() {
        return site.failed(failure, RunState::Unknown);
    }
    let (kind, outcome) = failure.classify();
    let kind = match kind {
        CallErrorKind::Broken => CallErrorKind::Connect,
        other => other,
    };
    site.error(kind, RunState::NotRun, outcome, failure.to_string())
}
