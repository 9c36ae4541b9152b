//! Load reports and orders.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header, response, uri::PathAndQuery};
use serde::de::DeserializeOwned;
use tc_protocol::{
    Outcome, RunState,
    wire::{LoadReport, Order, OrderRefused},
};

use crate::{
    call_context::CallContext,
    check::outcome_of,
    client::Shared,
    connection::Traffic,
    error::{CallError, CallErrorKind, OrderError},
    exchange::{ReceivedResponse, Reuse, build_request, exchange},
};

const LOAD_PATH: &str = "/load";
const ORDERS_PATH: &str = "/orders";
/// Timeout of a load report. An older report is of little use, and the reader polls again anyway.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of an order. The upstream acknowledges an order when it accepts it, not when the model is loaded.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Fetches an upstream's load report.
pub(crate) async fn load_report(
    shared: &Shared,
    address: SocketAddr,
) -> Result<LoadReport, CallError> {
    let context = CallContext::new(address.to_string().into(), address, LOAD_TIMEOUT);
    let path = PathAndQuery::from_static(LOAD_PATH);
    let request = build_request(&context, Method::GET, path, HeaderMap::new(), Bytes::new())?;
    let mut received = exchange(shared, &context, Reuse::Idle(Traffic::Load), request).await?;
    let idle = std::sync::Arc::clone(&shared.idle);
    received.body.reuse_in(idle, address, Traffic::Load);
    expect_success(&context, &received.head)?;
    let body = read_body(&context, &mut received).await?;
    decode(&context, &body)
}

/// Sends an order on a new connection.
///
/// On a reused connection, a duplicated acknowledgement of the previous order would be read as the acknowledgement of
/// this one. The upstream would then never reach the planned state, although its home considers the order accepted.
pub(crate) async fn send_order(
    shared: &Shared,
    address: SocketAddr,
    order: &Order,
) -> Result<(), OrderError> {
    let context = CallContext::new(address.to_string().into(), address, ORDER_TIMEOUT);
    let body = serde_json::to_vec(order).map_err(|e| context.unsendable(e.to_string()))?;
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let path = PathAndQuery::from_static(ORDERS_PATH);
    let request = build_request(&context, Method::POST, path, headers, body.into())?;
    let mut received = exchange(shared, &context, Reuse::Never, request).await?;
    if received.head.status == StatusCode::CONFLICT {
        let body = read_body(&context, &mut received).await?;
        let refused: OrderRefused = decode(&context, &body)?;
        return Err(OrderError::Refused {
            highest_fence: refused.highest_fence,
        });
    }
    expect_success(&context, &received.head)?;
    Ok(())
}

fn expect_success(context: &CallContext, head: &response::Parts) -> Result<(), CallError> {
    if head.status.is_success() {
        return Ok(());
    }
    let status = head.status.as_u16();
    let detail = format!("answered {}", head.status);
    Err(match outcome_of(head.status) {
        Outcome::Answered => context.malformed(RunState::Ran, detail),
        Outcome::Rejected => context.error(
            CallErrorKind::Rejected(status),
            RunState::Ran,
            Outcome::Rejected,
            detail,
        ),
        outcome => context.error(
            CallErrorKind::Failed(status),
            RunState::Ran,
            outcome,
            detail,
        ),
    })
}

async fn read_body(
    context: &CallContext,
    received: &mut ReceivedResponse,
) -> Result<Bytes, CallError> {
    received
        .body
        .collect(context.deadline)
        .await
        .map_err(|failure| context.failed(&failure, RunState::Ran))
}

fn decode<T: DeserializeOwned>(context: &CallContext, body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|e| context.malformed(RunState::Ran, e.to_string()))
}
