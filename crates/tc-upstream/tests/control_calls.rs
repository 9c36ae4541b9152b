//! Load reports and orders.

mod common;

use common::{Expected, ScriptedServer, Step, assert_error, client, http_response, send};
use tc_protocol::{
    Outcome, RunState,
    wire::{LoadReport, Order},
};
use tc_upstream::{
    CallErrorKind::{Broken, Failed, Malformed, Rejected, TimedOut},
    OrderError,
};

type Fault = (&'static str, fn() -> Vec<Step>, Expected);

#[rustfmt::skip]
const FAULTS: &[Fault] = &[
    ("closes", || vec![Step::Close], (Broken, RunState::Unknown, Outcome::Died)),
    ("status 404", || vec![send(http_response("404 Not Found", "", ""))], (Rejected(404), RunState::Ran, Outcome::Rejected)),
    ("status 500", || vec![send(http_response("500 Oops", "", ""))], (Failed(500), RunState::Ran, Outcome::Failed)),
    ("status 302", || vec![send(http_response("302 Found", "", ""))], (Malformed, RunState::Ran, Outcome::Failed)),
    ("conflict without a number", || vec![send(http_response("409 Conflict", "", "{}"))], (Malformed, RunState::Ran, Outcome::Failed)),
];

fn order() -> Order {
    let models = vec!["drafter@2".into()];
    Order {
        service: "drafting".into(),
        fence: 7,
        models,
        role: None,
    }
}

/// Guards against counting an unacknowledged order as accepted, and against errors that claim more than is known.
/// The upstream reads the order and then misbehaves as the table says.
#[tokio::test]
async fn order_faults_are_classified() {
    for (name, steps, expected) in FAULTS {
        let server = ScriptedServer::start(move |_, _| steps()).await;
        match client().send_order(server.address, &order()).await {
            Err(OrderError::Call(error)) => assert_error(name, &error, *expected),
            other => panic!("{name}: {other:?}"),
        }
    }
}

/// Guards against counting a refused order as acknowledged. A faulty upstream or a middlebox sends the acknowledgement
/// of the first order twice. The second order is refused because its lease has expired.
#[tokio::test]
async fn duplicate_acknowledgement_does_not_acknowledge_the_next_order() {
    let server = ScriptedServer::start(|n, _| match n {
        0 => vec![send(http_response("200 OK", "", "").repeat(2))],
        _ => vec![send(http_response(
            "409 Conflict",
            "",
            r#"{"highest_fence":9}"#,
        ))],
    })
    .await;
    let client = client();
    assert_eq!(client.send_order(server.address, &order()).await, Ok(()));
    let refused = Err(OrderError::Refused { highest_fence: 9 });
    assert_eq!(client.send_order(server.address, &order()).await, refused);
}

#[tokio::test]
async fn load_reports_reuse_a_connection() {
    let report = r#"{"incarnation":5,"running":2,"queued":1,"slots":8,"age_ms":40,"leaving":true}"#;
    let server =
        ScriptedServer::start(move |_, _| vec![send(http_response("200 OK", "", report))]).await;
    let client = client();
    let expected: LoadReport = serde_json::from_str(report).unwrap();
    for _ in 0..3 {
        assert_eq!(
            client.load_report(server.address).await,
            Ok(expected.clone())
        );
    }
    assert_eq!(server.counts(), (1, 3));
    client.send_order(server.address, &order()).await.unwrap();
    assert_eq!(
        server.counts(),
        (2, 4),
        "an order must not share a connection with reports"
    );
}

/// Guards against a home that waits forever for a load report and never learns the upstream's state. A stopped upstream
/// accepts the request and never responds.
#[tokio::test]
async fn missing_load_report_times_out() {
    let server = ScriptedServer::start(|_, _| vec![Step::Hang]).await;
    let error = client().load_report(server.address).await.unwrap_err();
    assert_error(
        "hang",
        &error,
        (TimedOut, RunState::Unknown, Outcome::TimedOut),
    );
}
