//! Requests that are sent unchanged.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use common::{LONG_TIMEOUT, ScriptedServer, Step, client, http_response, send};
use http::Request;
use http_body_util::Full;
use tc_protocol::RunState;
use tc_upstream::{CallErrorKind, RawCall};

/// Guards against a request to an upstream that has begun to leave while the connection was opened.
#[tokio::test]
async fn request_that_is_no_longer_wanted_is_not_written() {
    let server = ScriptedServer::start(|_, _| vec![send(http_response("200 OK", "", "x"))]).await;
    let is_wanted = Arc::new(AtomicBool::new(false));
    let call = || {
        let is_wanted = Arc::clone(&is_wanted);
        RawCall {
            upstream: "leaver".into(),
            address: server.address,
            request: Request::new(Full::<Bytes>::default()),
            remaining: LONG_TIMEOUT,
            reuse: false,
            is_wanted: Box::new(move || is_wanted.load(Ordering::Relaxed)),
        }
    };
    let client = client();
    let error = client.exchange_raw(call()).await.expect_err("withdrawn");
    assert_eq!(
        (error.kind, error.run_state),
        (CallErrorKind::Withdrawn, RunState::NotRun)
    );
    assert_eq!(server.counts().1, 0);
    is_wanted.store(true, Ordering::Relaxed);
    assert!(client.exchange_raw(call()).await.is_ok());
}

/// Returns complete responses in each framing, with the length of the part that shows no end of the body.
fn complete_responses() -> Vec<(String, usize)> {
    let head = "200 OK\r\nserver-seal: 3e1b.07\r\n";
    let with_end = [
        format!("HTTP/1.1 {head}content-length: 5\r\n\r\nwhole"),
        format!("HTTP/1.1 {head}content-length: 0\r\n\r\n"),
        format!("HTTP/1.0 {head}content-length: 5\r\n\r\nwhole"),
        format!("HTTP/1.1 {head}transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
        format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 {head}content-length: 5\r\n\r\nwhole"),
        format!(
            "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 {head}content-length: 5\r\n\r\nwhole"
        ),
    ];
    let with_end = with_end.into_iter().map(|text| {
        let length = text.len();
        (text, length)
    });
    // The body ends with the connection, so that only the head can be cut visibly.
    let without_end = [
        format!("HTTP/1.1 {head}\r\n"),
        format!("HTTP/1.0 {head}connection: close\r\n\r\n"),
    ];
    let without_end = without_end.into_iter().map(|head| {
        let length = head.len();
        (head + "whole", length)
    });
    with_end.chain(without_end).collect()
}

/// Guards against an upstream that stops in the middle of its response, its head included, and closes the connection: the
/// rest of the response passed for a whole one.
#[tokio::test]
async fn response_that_is_cut_at_any_byte_is_not_complete() {
    for (response, length) in complete_responses() {
        let text = response.clone();
        let server = ScriptedServer::start(move |_, req| {
            let mut words = req.head.split(['/', '-', ' ']).skip(2);
            let cut = words.next().and_then(|cut| cut.parse().ok());
            let end = match words.next() {
                Some("close") => Step::Close,
                _ => Step::Reset,
            };
            let sent = text.as_bytes()[..cut.unwrap_or(text.len())].to_vec();
            vec![Step::Send(sent), Step::Pause(Duration::from_millis(1)), end]
        });
        let server = server.await;
        let client = client();
        for (cut, end) in (0..length).flat_map(|cut| [(cut, "close"), (cut, "reset")]) {
            let call = RawCall {
                upstream: "cut".into(),
                address: server.address,
                request: Request::builder()
                    .uri(format!("/{cut}-{end}"))
                    .body(Full::<Bytes>::default())
                    .unwrap(),
                remaining: LONG_TIMEOUT,
                reuse: false,
                is_wanted: Box::new(|| true),
            };
            if let Ok(mut received) = client.exchange_raw(call).await {
                let body = received.body.collect().await;
                let sent = &response[..cut];
                assert!(body.is_err(), "{end} after {sent:?}: {body:?}");
            }
        }
    }
}
