//! A single exchange: gets a connection, sends a request and receives the response header.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Uri, header, response, uri::PathAndQuery};
use http_body_util::Full;
use tc_protocol::{Outcome, RunState};

use crate::{
    call_context::CallContext,
    client::Shared,
    connection::{Connection, Failure, ResponseBody, Traffic, dial},
    error::{CallError, CallErrorKind},
};

/// Number of idle connections to try before opening a new one. Limits the time lost on the dead connections of a
/// restarted upstream.
const MAX_IDLE_ATTEMPTS: usize = 4;
/// Error numbers for "too many open files": EMFILE (in this process) and ENFILE (on this machine).
const FILE_LIMIT_ERRNOS: [i32; 2] = [24, 23];

/// Whether an exchange may use an idle connection, and of which traffic type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// May use an idle connection of this traffic type.
    Idle(Traffic),
    /// Always opens a new connection.
    Never,
}

/// A response header, and the body that has yet to be read from the connection.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) head: response::Parts,
    pub(crate) body: ResponseBody,
    /// Whether the connection carried another exchange before this one.
    pub(crate) reused: bool,
    /// Time from the start of the call until the request could be written.
    pub(crate) connected_after: Duration,
}

/// Builds a request with the `Host` header set.
pub(crate) fn build_request(
    context: &CallContext,
    method: Method,
    path: PathAndQuery,
    mut headers: HeaderMap,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, CallError> {
    let host = HeaderValue::from_str(&context.address.to_string())
        .map_err(|e| context.unsendable(e.to_string()))?;
    headers.insert(header::HOST, host);
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::from(path);
    *request.headers_mut() = headers;
    Ok(request)
}

/// Sends a request and waits for the response header.
pub(crate) async fn exchange(
    shared: &Shared,
    context: &CallContext,
    reuse: Reuse,
    request: Request<Full<Bytes>>,
) -> Result<ReceivedResponse, CallError> {
    exchange_if(shared, context, reuse, request, || true).await
}

/// Sends a request if it is still wanted once a connection is open, and waits for the response header.
pub(crate) async fn exchange_if(
    shared: &Shared,
    context: &CallContext,
    reuse: Reuse,
    mut request: Request<Full<Bytes>>,
    is_wanted: impl Fn() -> bool,
) -> Result<ReceivedResponse, CallError> {
    let mut idle_attempts = 0;
    loop {
        if context.remaining().is_zero() {
            return Err(context.failed(&Failure::TimedOut, RunState::NotRun));
        }
        let allow_idle = idle_attempts < MAX_IDLE_ATTEMPTS;
        idle_attempts += 1;
        let mut connection = connect(shared, context, reuse, allow_idle).await?;
        if !is_wanted() {
            return Err(withdrawn(context));
        }
        let connected_after = context.started.elapsed();
        let send_failure = match connection.send(request, context.deadline).await {
            Ok(response) => {
                return Ok(into_received(shared, connection, response, connected_after));
            }
            Err(send_failure) => send_failure,
        };
        // The upstream may close an idle connection just as the request is sent on it. The request is sent again only
        // if the connection returned it and no byte was written. Otherwise the upstream could run one attempt twice.
        match send_failure.unsent {
            Some(unsent) if connection.is_reused() && !connection.has_written() => request = unsent,
            _ => return Err(send_error(context, &connection, &send_failure.failure)),
        }
    }
}

fn into_received(
    shared: &Shared,
    connection: Connection,
    response: http::Response<hyper::body::Incoming>,
    connected_after: Duration,
) -> ReceivedResponse {
    let (head, body) = response.into_parts();
    let reused = connection.is_reused();
    let max_bytes = shared.settings.max_response_bytes;
    ReceivedResponse {
        body: ResponseBody::new(connection, &head, body, max_bytes),
        head,
        reused,
        connected_after,
    }
}

async fn connect(
    shared: &Shared,
    context: &CallContext,
    reuse: Reuse,
    allow_idle: bool,
) -> Result<Connection, CallError> {
    if let Reuse::Idle(traffic) = reuse
        && allow_idle
        && (shared.dial_filter)(context.address)
        && let Some(mut connection) = shared.idle.take(context.address, traffic)
        && connection.is_usable().await
    {
        return Ok(connection);
    }
    metrics::counter!("tc_upstream_connects_total").increment(1);
    let limit = shared.settings.connect_timeout.min(context.remaining());
    dial_observed(shared, context.address, limit)
        .await
        .map_err(|e| connect_error(context, &e))
}

/// Opens a connection and reports the result to the observer.
///
/// A connect that was cut short by the deadline of its call is not reported: the upstream may well be reachable.
pub(crate) async fn dial_observed(
    shared: &Shared,
    address: SocketAddr,
    limit: Duration,
) -> io::Result<Connection> {
    let dialed = if (shared.dial_filter)(address) {
        dial(address, &shared.settings, limit).await
    } else {
        Err(io::ErrorKind::ConnectionRefused.into())
    };
    let is_cut_short = limit < shared.settings.connect_timeout
        && matches!(&dialed, Err(error) if error.kind() == io::ErrorKind::TimedOut);
    if !is_cut_short {
        (shared.dial_observer)(address, dialed.is_ok());
    }
    dialed
}

/// Returns the error for a failed connect. No byte was sent, so the call did not run, whatever the cause.
fn connect_error(context: &CallContext, error: &io::Error) -> CallError {
    if context.remaining().is_zero() {
        return context.failed(&Failure::TimedOut, RunState::NotRun);
    }
    let outcome = match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => Outcome::Died,
        io::ErrorKind::TimedOut => Outcome::TimedOut,
        // A resource shortage in this instance must not count as a failure of the upstream. Otherwise an instance
        // that runs out of file descriptors would have all its upstreams ejected.
        io::ErrorKind::AddrNotAvailable => Outcome::Unused,
        _ if error
            .raw_os_error()
            .is_some_and(|n| FILE_LIMIT_ERRNOS.contains(&n)) =>
        {
            Outcome::Unused
        }
        _ => Outcome::Failed,
    };
    context.error(
        CallErrorKind::Connect,
        RunState::NotRun,
        outcome,
        error.to_string(),
    )
}

fn withdrawn(context: &CallContext) -> CallError {
    context.error(
        CallErrorKind::Withdrawn,
        RunState::NotRun,
        Outcome::Unused,
        "no longer wanted once the connection was open",
    )
}

/// Returns the error for a failed send. The call provably did not run only if no byte was written.
fn send_error(context: &CallContext, connection: &Connection, failure: &Failure) -> CallError {
    if connection.has_written() {
        return context.failed(failure, RunState::Unknown);
    }
    let (kind, outcome) = failure.classify();
    let kind = match kind {
        CallErrorKind::Broken => CallErrorKind::Connect,
        other => other,
    };
    context.error(kind, RunState::NotRun, outcome, failure.to_string())
}
