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
    check::outcome_of,
    client::Shared,
    connection::Traffic,
    error::{CallError, CallErrorKind, OrderError},
    exchange::{Exchanged, Reuse, build_request, exchange},
    site::CallSite,
};

const LOAD_PATH: &str = "/load";
const ORDERS_PATH: &str = "/orders";
/// A load report older than this is of little use, and its reader polls again anyway.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// An order is acknowledged when it is taken, not when the model is loaded.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads an upstream's load report.
pub(crate) async fn load_report(
    shared: &Shared,
    address: SocketAddr,
) -> Result<LoadReport, CallError> {
    let site = CallSite::new(address.to_string().into(), address, LOAD_TIMEOUT);
    let path = PathAndQuery::from_static(LOAD_PATH);
    let request = build_request(&site, Method::GET, path, HeaderMap::new(), Bytes::new())?;
    let mut exchanged = exchange(shared, &site, Reuse::Kept(Traffic::Load), request).await?;
    let idle = std::sync::Arc::clone(&shared.idle);
    exchanged.answer.return_to(idle, address, Traffic::Load);
    expect_success(&site, &exchanged.head)?;
    let body = whole_body(&site, &mut exchanged).await?;
    decode(&site, &body)
}

/// Sends an order on a connection of its own.
///
/// On a kept connection a doubled acknowledgement of the order before would be read as this one's, noticed as an
/// upstream that never reaches the planned state although its home was told it would.
pub(crate) async fn send_order(
    shared: &Shared,
    address: SocketAddr,
    order: &Order,
) -> Result<(), OrderError> {
    let site = CallSite::new(address.to_string().into(), address, ORDER_TIMEOUT);
    let body = serde_json::to_vec(order).map_err(|e| site.unsendable(e.to_string()))?;
    let mut headers = HeaderMap::new();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let path = PathAndQuery::from_static(ORDERS_PATH);
    let request = build_request(&site, Method::POST, path, headers, body.into())?;
    let mut exchanged = exchange(shared, &site, Reuse::Never, request).await?;
    if exchanged.head.status == StatusCode::CONFLICT {
        let body = whole_body(&site, &mut exchanged).await?;
        let refused: OrderRefused = decode(&site, &body)?;
        return Err(OrderError::Refused {
            highest_fence: refused.highest_fence,
        });
    }
    expect_success(&site, &exchanged.head)?;
    Ok(())
}

fn expect_success(site: &CallSite, head: &response::Parts) -> Result<(), CallError> {
    if head.status.is_success() {
        return Ok(());
    }
    let status = head.status.as_u16();
    let detail = format!("answered {}", head.status);
    Err(match outcome_of(head.status) {
        Outcome::Answered => site.malformed(RunState::Ran, detail),
        Outcome::Rejected => site.error(
            CallErrorKind::Rejected(status),
            RunState::Ran,
            Outcome::Rejected,
            detail,
        ),
        outcome => site.error(
            CallErrorKind::Failed(status),
            RunState::Ran,
            outcome,
            detail,
        ),
    })
}

async fn whole_body(site: &CallSite, exchanged: &mut Exchanged) -> Result<Bytes, CallError> {
    exchanged
        .answer
        .collect(site.deadline)
        .await
        .map_err(|failure| site.failed(&failure, RunState::Ran))
}

fn decode<T: DeserializeOwned>(site: &CallSite, body: &[u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(|e| site.malformed(RunState::Ran, e.to_string()))
}
