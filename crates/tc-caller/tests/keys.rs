//! Non-idempotent requests: at most one run for each key, and the same truth for every delivery.

mod support;

use std::sync::atomic::Ordering::SeqCst;

use futures::future::join_all;
use http::Method;
use support::{
    Instance, World,
    client::{Answer, Client, Headers, events, text_of},
    eventually,
    fleet::{self, INCARNATION, ME, TRINACRIA},
};
use tc_protocol::{ClaimKey, Incarnation, RefusalReason};
use tc_stand_ins::AnswerFault;

const KEY: (&str, &str) = ("idempotency-key", "k-1");
const BOUND: (&str, &str) = ("tanagercroft-binding", "kl-a-1@7");
const STREAM: (&str, &str) = ("accept", "text/event-stream");

async fn appraise(client: &Client, input: &str, headers: Headers<'_>) -> Answer {
    client.pipeline("appraise", input, headers).await
}

async fn notify(client: &Client, headers: Headers<'_>) -> Answer {
    let path = "/v1/services/notify/sms?to=7";
    client.call(Method::PUT, path, headers, "text").await
}

/// Calls of the stage that may not be repeated, whatever became of them.
fn dispatches(world: &World) -> usize {
    let calls = world.up.recorder.calls();
    let unsafe_calls = calls
        .iter()
        .filter(|c| ["bill", "notify"].contains(&c.service.as_str()));
    unsafe_calls.count()
}

fn hang(world: &World, hang: bool) {
    for id in ["bill-1", "bill-2"] {
        world.up.pool(id).faults().set_hang(hang);
    }
    for plain in &world.up.plains {
        plain.faults().set_hang(hang);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_gets_the_same_answer_without_a_second_run() {
    for headers in [&[KEY][..], &[KEY, BOUND][..]] {
        let world = World::start().await;
        let first = appraise(&world.client, "dossier", headers).await;
        let second = appraise(&world.client, "dossier", headers).await;
        assert_eq!(first.status.as_u16(), 200, "{}", first.text());
        assert_eq!(second.text(), first.text());
        assert_eq!(dispatches(&world), 1);
        let claims = usize::from(!headers.contains(&BOUND));
        assert_eq!(world.fakes.claims(), claims, "a bound key needs no claim");
        let sent = notify(&world.client, headers).await;
        let again = notify(&world.client, headers).await;
        assert_eq!((sent.status.as_u16(), again.text()), (200, sent.text()));
        assert_eq!(dispatches(&world), 2);
    }
}

/// Symptom: a mechanic is billed twice.
/// Sequence: one request is delivered ten times at once while its run hangs.
/// Cause: a delivery that did not see the others.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn deliveries_at_once_join_one_run() {
    for headers in [&[KEY][..], &[KEY, BOUND][..]] {
        let world = World::start().await;
        hang(&world, true);
        let deliveries = (0..10).map(|_| appraise(&world.client, "dossier", headers));
        let (answers, ()) = tokio::join!(join_all(deliveries), async {
            eventually("all wait", || world.instance.server.in_flight() == 11).await;
            hang(&world, false);
        });
        assert!(answers.iter().all(|a| a.status.as_u16() == 200));
        assert!(answers.iter().all(|a| a.body == answers[0].body));
        assert_eq!(dispatches(&world), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_scoped_to_body_workspace_and_target() {
    let world = World::start().await;
    appraise(&world.client, "dossier", &[KEY]).await;
    let other = appraise(&world.client, "another dossier", &[KEY]).await;
    assert_eq!(other.status.as_u16(), 422);
    assert_eq!(other.json()["type"], "urn:tanagercroft:problem:key-reused");
    let theirs = format!("Bearer {TRINACRIA}");
    let headers = [KEY, ("authorization", theirs.as_str())];
    let other = appraise(&world.client, "another dossier", &headers).await;
    assert_eq!(other.status.as_u16(), 200, "another workspace's key");
    assert_eq!(notify(&world.client, &[KEY]).await.status.as_u16(), 200);
    assert_eq!(dispatches(&world), 3);
}

/// Symptom: a resend to another instance runs a second time.
/// Sequence: the claim's holder is still running, or has recorded its outcome.
/// Cause: keys known only to the instance that runs them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_holds_at_every_instance() {
    let world = World::start().await;
    let other = Instance::start("kl-b-1", world.fakes.ports(), false).await;
    let other = Client::new(other.address);
    hang(&world, true);
    let both = async {
        tokio::join!(
            appraise(&world.client, "dossier", &[KEY]),
            async {
                eventually("claimed", || world.fakes.claims() == 1).await;
                appraise(&other, "dossier", &[KEY]).await
            },
            async {
                eventually("both run", || world.fakes.asks.lock().unwrap().len() == 2).await;
                hang(&world, false);
            }
        )
    };
    let (first, second, ()) = both.await;
    assert_eq!(first.status.as_u16(), 200, "{}", first.text());
    assert_eq!(second.text(), first.text());
    assert_eq!(
        appraise(&other, "dossier", &[KEY]).await.text(),
        first.text()
    );
    let reused = appraise(&other, "another dossier", &[KEY]).await;
    assert_eq!(reused.status.as_u16(), 422);
    assert_eq!(dispatches(&world), 1);
}

/// Symptom: a resend is told "unknown" or "not run" although the outcome can be had, or the run is under way.
/// Sequence: a delivery waits in vain for another instance's run, or loses the store meanwhile; it is sent again later.
/// Cause: what one delivery could not learn was kept as the key's outcome, or the held claim forgotten.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_delivery_that_waits_in_vain_does_not_decide_for_later_ones() {
    let world = World::start().await;
    let other = Instance::start("kl-b-1", world.fakes.ports(), false).await;
    let other = Client::new(other.address);
    hang(&world, true);
    let client = world.client.clone();
    let first = tokio::spawn(async move { appraise(&client, "dossier", &[KEY]).await });
    eventually("it runs", || world.fakes.asks.lock().unwrap().len() == 2).await;
    let short = [KEY, ("request-timeout-ms", "200")];
    for store_lost in [false, true] {
        world.fakes.lose_store_on_join.store(store_lost, SeqCst);
        let waited = appraise(&other, "dossier", &short).await;
        assert_eq!(
            (waited.status.as_u16(), waited.run_state()),
            (502, "unknown")
        );
    }
    world.fakes.lose_store_on_join.store(false, SeqCst);
    hang(&world, false);
    let first = first.await.unwrap();
    assert_eq!(first.status.as_u16(), 200, "{}", first.text());
    assert_eq!(
        appraise(&other, "dossier", &[KEY]).await.text(),
        first.text()
    );
    assert_eq!(dispatches(&world), 1);
}

/// Symptom: a request runs twice after the store was away.
/// Sequence: the store is down; the request is sent, and sent again when the store is back.
/// Cause: a run without a claim.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_store_only_bound_keys_run() {
    let world = World::start().await;
    world.fakes.store_down.store(true, SeqCst);
    let refused = appraise(&world.client, "dossier", &[KEY]).await;
    assert_eq!(refused.status.as_u16(), 503);
    assert_eq!(
        refused.json()["type"],
        "urn:tanagercroft:problem:store-unavailable"
    );
    assert_eq!((refused.run_state(), dispatches(&world)), ("not_run", 0));
    let headers = [("idempotency-key", "k-2"), BOUND];
    assert_eq!(
        appraise(&world.client, "dossier", &headers)
            .await
            .status
            .as_u16(),
        200
    );
    world.fakes.store_down.store(false, SeqCst);
    let again = appraise(&world.client, "dossier", &[KEY]).await;
    assert_eq!(
        again.status.as_u16(),
        200,
        "a refusal that did not run frees the key"
    );
    assert_eq!(dispatches(&world), 2);
}

/// Symptom: an effect is doubled by a retry of our own.
/// Sequence: the call fails after it may have arrived.
/// Cause: retried as if it were idempotent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_may_have_run_is_never_dispatched_again() {
    let faults = [
        (AnswerFault::Lost, "unknown"),
        (AnswerFault::CloseMidBody, "ran"),
        (AnswerFault::Garbage, "ran"),
        (AnswerFault::WrongIdentity, "unknown"),
    ];
    for (fault, _) in faults {
        let world = World::start().await;
        for id in ["bill-1", "bill-2"] {
            world.up.pool(id).faults().break_answers(fault, u64::MAX);
        }
        let first = appraise(&world.client, "dossier", &[KEY, BOUND]).await;
        // The stage before it ran, so that the whole has.
        assert_eq!(
            (first.status.as_u16(), first.run_state()),
            (502, "ran"),
            "{fault:?}"
        );
        let second = appraise(&world.client, "dossier", &[KEY, BOUND]).await;
        assert_eq!(second.text(), first.text(), "{fault:?}");
        assert_eq!(second.run_state(), first.run_state(), "{fault:?}");
        assert_eq!(dispatches(&world), 1, "{fault:?}");
    }
}

/// Symptom: a request fails although it provably never left.
/// Sequence: the first upstream's process is gone, so that connecting is refused.
/// Cause: no retry for what was not sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_was_not_sent_is_dispatched_elsewhere() {
    let world = World::start().await;
    world.up.pool("bill-1").faults().crash();
    let answer = appraise(&world.client, "dossier", &[KEY]).await;
    assert_eq!(answer.status.as_u16(), 200, "{}", answer.text());
    assert_eq!(dispatches(&world), 1);
    assert!(
        world.fakes.crashed.lock().unwrap().is_empty(),
        "it did not die under this call"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_that_did_not_run_frees_its_key() {
    let world = World::start().await;
    *world.fakes.refuse.lock().unwrap() = Some(("encode".into(), RefusalReason::QueueFull));
    let refused = appraise(&world.client, "dossier", &[KEY, BOUND]).await;
    assert_eq!(
        (refused.status.as_u16(), refused.run_state()),
        (503, "not_run")
    );
    *world.fakes.refuse.lock().unwrap() = None;
    let answer = appraise(&world.client, "dossier", &[KEY, BOUND]).await;
    assert_eq!(answer.status.as_u16(), 200);
}

/// Symptom: after its caller left, nobody knows whether the request ran.
/// Sequence: the caller closes its connection while the call runs, and resends later.
/// Cause: the run was cancelled with its caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_goes_on_without_its_caller_and_its_outcome_is_kept() {
    let world = World::start().await;
    hang(&world, true);
    let leaving = Client::new(world.instance.address);
    let call = tokio::spawn(async move { appraise(&leaving, "dossier", &[KEY]).await });
    eventually("it runs", || world.fakes.asks.lock().unwrap().len() == 2).await;
    call.abort();
    let _ = call.await;
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    hang(&world, false);
    let key = ClaimKey {
        workspace: "lintas".into(),
        target: "pipeline/appraise".into(),
        key: "k-1".into(),
    };
    eventually("recorded", || world.fakes.outcome_of(&key).is_some()).await;
    assert_eq!(world.fakes.outcome_of(&key).unwrap().status, 200);
    assert_eq!(
        appraise(&world.client, "dossier", &[KEY])
            .await
            .status
            .as_u16(),
        200
    );
    assert_eq!(dispatches(&world), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_streamed_run_gives_its_duplicates_the_whole_text() {
    let world = World::start().await;
    let first = appraise(&world.client, "dossier", &[KEY, STREAM]).await;
    let second = appraise(&world.client, "dossier", &[KEY, STREAM]).await;
    assert_eq!(first.status.as_u16(), 200, "{}", first.text());
    assert_eq!(
        text_of(&events(&second.text())),
        text_of(&events(&first.text()))
    );
    assert_eq!(dispatches(&world), 1);
    world.fakes.store_down.store(true, SeqCst);
    let headers = [("idempotency-key", "k-2"), STREAM];
    let refused = appraise(&world.client, "dossier", &headers).await;
    assert_eq!(
        (refused.status.as_u16(), refused.run_state()),
        (503, "not_run")
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_bound_to_another_instance_runs_there_only() {
    let world = World::start().await;
    let other = support::second_instance(&world, "kl-b-1").await;
    let headers = [KEY, ("tanagercroft-binding", "kl-b-1@7")];
    let first = appraise(&world.client, "dossier", &headers).await;
    assert_eq!(first.status.as_u16(), 200, "{}", first.text());
    assert_eq!(first.header("tanagercroft-instance"), "kl-b-1");
    let second = appraise(&Client::new(other.address), "dossier", &headers).await;
    assert_eq!(second.text(), first.text());
    assert_eq!(
        notify(&world.client, &headers)
            .await
            .header("tanagercroft-instance"),
        "kl-b-1"
    );
    assert_eq!(dispatches(&world), 2);
    assert!(
        world.fakes.asks.lock().unwrap().is_empty(),
        "nothing ran at the first"
    );
}

/// Symptom: a caller is told "not run" for a request that an instance ran before it went.
/// Sequence: its key is bound to an instance that is gone, restarted, unreachable, or passed on twice.
/// Cause: the key was run or refused by an instance that cannot know.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_whose_instance_cannot_be_asked_is_unknown() {
    let world = World::start().await;
    // Bound and not listened on: connecting is refused, and nobody else can take the port.
    let closed = tokio::net::TcpSocket::new_v4().unwrap();
    closed.bind(fleet::ANY_PORT).unwrap();
    let address = closed.local_addr().unwrap();
    let me = fleet::member(ME, INCARNATION, world.instance.address);
    let unreachable = fleet::member("kl-c-1", Incarnation(3), address);
    let mut dead = fleet::member("kl-d-1", Incarnation(3), world.instance.address);
    dead.state = tc_protocol::MemberState::Dead;
    let config = (*world.fakes.view().config).clone();
    world
        .fakes
        .set_view(fleet::view(me, &[unreachable, dead], config));
    let rows = [
        ("an instance nobody knows", "gone@7", ""),
        ("an earlier life of this one", "kl-a-1@6", ""),
        ("a later life of this one", "kl-a-1@8", ""),
        ("one that refuses to connect", "kl-c-1@3", ""),
        ("another life of it", "kl-c-1@2", ""),
        ("a dead one", "kl-d-1@3", ""),
        ("one it was passed on from", "kl-c-1@3", "kl-x-1"),
    ];
    for (name, binding, forwarded) in rows {
        let headers = [
            KEY,
            ("tanagercroft-binding", binding),
            ("tanagercroft-forwarded", forwarded),
        ];
        let answer = appraise(&world.client, "dossier", &headers).await;
        assert_eq!(
            (answer.status.as_u16(), answer.run_state()),
            (502, "unknown"),
            "{name}"
        );
    }
    assert_eq!(dispatches(&world), 0);
}
