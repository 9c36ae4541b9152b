//! Load reports and orders.

mod common;

use common::{Expected, Fake, Step, answer, check, client, send};
use tc_protocol::{Outcome, RunState, wire::Order};
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
    Order {
        service: "drafting".into(),
        fence: 7,
        models: vec!["drafter@2".into()],
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
        let Err(OrderError::Call(error)) = client().order(fake.address, &order()).await else {
            panic!("{name}: no call error");
        };
        check(name, &error, *expected);
    }
}

/// Symptom: a former lease holder believes its order is in force.
/// Sequence: the upstream has seen fencing number 9; an order with 7 comes.
/// Cause: the holder was paused while its lease lapsed.
#[tokio::test]
async fn an_order_with_an_old_fencing_number_is_refused() {
    let fake =
        Fake::start(|_, _| vec![send(answer("409 Conflict", "", r#"{"highest_fence":9}"#))]).await;
    let result = client().order(fake.address, &order()).await;
    assert_eq!(result, Err(OrderError::Refused { highest_fence: 9 }));
}

/// Symptom: an order counts as acknowledged that the upstream never took.
/// Sequence: the acknowledgement of the first order is sent twice; a second order is given.
/// Cause: a faulty upstream or a middlebox that repeats.
#[tokio::test]
async fn a_doubled_acknowledgement_is_not_taken_for_the_next_order() {
    let fake = Fake::start(|n, _| {
        let status = if n == 0 { "200 OK" } else { "500 Oops" };
        vec![send(answer(status, "", "").repeat(2))]
    })
    .await;
    let client = client();
    client.order(fake.address, &order()).await.unwrap();
    client.order(fake.address, &order()).await.unwrap_err();
}

#[tokio::test]
async fn load_reports_are_read_over_a_kept_connection() {
    let report = r#"{"incarnation":5,"running":2,"queued":1,"slots":8,"age_ms":40,"leaving":true}"#;
    let fake = Fake::start(move |_, _| vec![send(answer("200 OK", "", report))]).await;
    let client = client();
    for _ in 0..3 {
        let load = client.load(fake.address).await.unwrap();
        assert_eq!(
            (
                load.incarnation.0,
                load.running,
                load.queued,
                load.slots,
                load.age_ms,
                load.leaving
            ),
            (5, 2, 1, 8, 40, true)
        );
    }
    assert_eq!(fake.connections(), 1);
}

/// Symptom: a home waits for ever for a load report, and never notices the upstream's state.
/// Sequence: the upstream takes the request and never answers.
/// Cause: a stopped process.
#[tokio::test]
async fn a_load_report_that_never_comes_times_out() {
    let fake = Fake::start(|_, _| vec![Step::Hang]).await;
    let error = client().load(fake.address).await.unwrap_err();
    check(
        "hang",
        &error,
        (TimedOut, RunState::Unknown, Outcome::TimedOut),
    );
}
