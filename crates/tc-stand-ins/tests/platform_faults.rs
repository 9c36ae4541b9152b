//! Fault switches of the platform.

mod common;

use std::time::{Duration, Instant};

use common::{Call, Connection, answer, any, create, send, value};
use http::StatusCode;
use tc_stand_ins::{Platform, PlatformFaults};

const PATH: &str = "/objects/lease/generate";

/// Answer that the caller of a call receives, or `None` if its connection broke.
type Seen = Option<u16>;

/// Symptom: a store call fails, or its answer never comes.
/// Sequence: the fault is switched on; an update and a read are sent; the fault is switched off.
/// Cause: the store is down, refuses, or loses an answer before or after the write took effect.
#[tokio::test]
async fn what_a_caller_sees_and_what_took_effect() {
    type Switch = fn(&PlatformFaults, bool);
    #[rustfmt::skip]
    let cases: [(&str, Switch, Seen, Seen, bool); 5] = [
        ("down",          |f, on| f.set_down(on),                Some(503), Some(503), false),
        ("refusing",      |f, on| f.set_refusing(on),            None,      None,      false),
        ("writes fail",   |f, on| f.fail_writes(on),             Some(500), Some(200), false),
        ("lost answer",   |f, on| f.lose_answers(u64::from(on)),  None,      Some(200), true),
        ("lost request",  |f, on| f.lose_requests(u64::from(on)), None,      Some(200), false),
    ];
    for (name, switch, write_sees, read_sees, takes_effect) in cases {
        let platform = Platform::start(any()).await.unwrap();
        let address = platform.address();
        create(address, PATH, &value(1)).await;
        switch(platform.faults(), true);
        let write = Call::put(PATH, ("if-match", "\"1\""), &value(2));
        let seen = |reply: Result<common::Reply, _>| reply.ok().map(|reply| reply.status.as_u16());
        assert_eq!(
            seen(send(address, &write).await),
            write_sees,
            "{name}: write"
        );
        assert_eq!(
            seen(send(address, &Call::get(PATH)).await),
            read_sees,
            "{name}: read"
        );
        switch(platform.faults(), false);
        let in_force = answer(address, &Call::get(PATH)).await.json();
        assert_eq!(in_force == value(2), takes_effect, "{name}: effect");
    }
}

/// Symptom: an update that its caller gave up is in force later.
/// Sequence: the store is slow; a write is sent; its caller closes the connection; the store gets to it.
/// Cause: a store works off what it has read, whoever still waits.
#[tokio::test]
async fn a_write_takes_effect_after_its_caller_gave_up() {
    let platform = Platform::start(any()).await.unwrap();
    platform.faults().set_slow(Duration::from_millis(500));
    let mut conn = Connection::open(platform.address()).await.unwrap();
    let write = Call::put(PATH, ("if-none-match", "*"), &value(1));
    let gave_up = tokio::time::timeout(Duration::from_millis(50), conn.call(&write)).await;
    assert!(gave_up.is_err());
    drop(conn);
    assert!(platform.object("lease", "generate").is_none());
    common::until("the write took effect", || {
        platform.object("lease", "generate").is_some()
    })
    .await;
}

/// Symptom: a watch ends before its time with an error.
/// Sequence: a watch waits; the store goes down.
/// Cause: an outage ends waiting calls too.
#[tokio::test]
async fn an_outage_ends_waiting_watches() {
    let platform = Platform::start(any()).await.unwrap();
    let address = platform.address();
    let watch = Call::get(&format!("{PATH}?watch=0"));
    let watching = tokio::spawn(async move { answer(address, &watch).await });
    common::until("the watch came", || {
        platform.calls().contains_key("watch lease")
    })
    .await;
    platform.faults().set_down(true);
    let reply = watching.await.unwrap();
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
}

/// Symptom: connections to the store are refused, later accepted again, with the objects as before.
/// Sequence: an object is written; the store stops; it starts again on the same address.
/// Cause: the store's network or its front end is gone for a while.
#[tokio::test]
async fn objects_outlive_a_stop() {
    let platform = Platform::start(any()).await.unwrap();
    let address = platform.address();
    create(address, PATH, &value(1)).await;
    let mut kept = Connection::open(address).await.unwrap();
    platform.stop();
    assert!(kept.call(&Call::get(PATH)).await.is_err());
    assert!(send(address, &Call::get(PATH)).await.is_err());
    platform.restart().await.unwrap();
    assert_eq!(answer(address, &Call::get(PATH)).await.json(), value(1));
}

/// Symptom: every call takes longer.
/// Sequence: the store is made slow; a read is sent.
/// Cause: an overloaded store.
#[tokio::test]
async fn a_slow_store_answers_late() {
    let platform = Platform::start(any()).await.unwrap();
    let delay = Duration::from_millis(40);
    platform.faults().set_slow(delay);
    let asked = Instant::now();
    answer(platform.address(), &Call::get(PATH)).await;
    assert!(asked.elapsed() >= delay);
}
