//! Load reports and orders.

mod common;

use common::{Expected, Fake, Step, answer, check, client, send};
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
    ("status 404", || vec![send(answer("404 Not Found", "", ""))], (Rejected(404), RunState::Ran, Outcome::Rejected)),
    ("status 500", || vec![send(answer("500 Oops", "", ""))], (Failed(500), RunState::Ran, Outcome::Failed)),
    ("status 302", || vec![send(answer("302 Found", "", ""))], (Malformed, RunState::Ran, Outcome::Failed)),
    ("conflict without a number", || vec![send(answer("409 Conflict", "", "{}"))], (Malformed, RunState::Ran, Outcome::Failed)),
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

/// Symptom: an order that was not acknowledged is taken as given, or its failure claims too much.
/// Sequence: the upstream reads the order, then misbehaves as each row says.
/// Cause: a broken upstream.
#[tokio::test]
async fn order_faults_are_reported_as_they_are() {
    for (name, steps, expected) in FAULTS {
        let fake = Fake::start(move |_, _| steps()).await;
        match client().send_order(fake.address, &order()).await {
            Err(OrderError::Call(error)) => check(name, &error, *expected),
            other => panic!("{name}: {other:?}"),
        }
    }
}

/// Symptom: an order counts as acknowledged that the upstream never took.
/// Sequence: the acknowledgement of the first order is sent twice; a second order is given, which is refused.
/// Cause: a faulty upstream or a middlebox that repeats; the second order's lease had lapsed.
#[tokio::test]
async fn a_doubled_acknowledgement_is_not_taken_for_the_next_order() {
    let fake = Fake::start(|n, _| match n {
        0 => vec![send(answer("200 OK", "", "").repeat(2))],
        _ => vec![send(answer("409 Conflict", "", r#"{"highest_fence":9}"#))],
    })
    .await;
    let client = client();
    assert_eq!(client.send_order(fake.address, &order()).await, Ok(()));
    let refused = Err(OrderError::Refused { highest_fence: 9 });
    assert_eq!(client.send_order(fake.address, &order()).await, refused);
}

#[tokio::test]
async fn load_reports_are_read_over_a_kept_connection() {
    let report = r#"{"incarnation":5,"running":2,"queued":1,"slots":8,"age_ms":40,"leaving":true}"#;
    let fake = Fake::start(move |_, _| vec![send(answer("200 OK", "", report))]).await;
    let client = client();
    let expected: LoadReport = serde_json::from_str(report).unwrap();
    for _ in 0..3 {
        assert_eq!(client.load_report(fake.address).await, Ok(expected.clone()));
    }
    assert_eq!(fake.counts(), (1, 3));
    client.send_order(fake.address, &order()).await.unwrap();
    assert_eq!(
        fake.counts(),
        (2, 4),
        "an order must not share a connection with reports"
    );
}

/// Symptom: a home waits for ever for a load report, and never notices the upstream's state.
/// Sequence: the upstream takes the request and never answers.
/// Cause: a stopped process.
#[tokio::test]
async fn a_load_report_that_never_comes_times_out() {
    let fake = Fake::start(|_, _| vec![Step::Hang]).await;
    let error = client().load_report(fake.address).await.unwrap_err();
    check(
        "hang",
        &error,
        (TimedOut, RunState::Unknown, Outcome::TimedOut),
    );
}
