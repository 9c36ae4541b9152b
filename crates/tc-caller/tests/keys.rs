//! Non-idempotent requests: at most one run for each idempotency key, and the same response to every delivery.

mod support;

use std::sync::atomic::Ordering::SeqCst;

use futures::future::join_all;
use http::Method;
use support::{
    Instance, TestEnv,
    client::{Client, Headers, TestResponse, events, text_of},
    eventually,
    fleet::{self, INCARNATION, ME, TRINACRIA},
};
use tc_protocol::{ClaimKey, Incarnation, RefusalReason};
use tc_stand_ins::AnswerFault;

const KEY: (&str, &str) = ("idempotency-key", "k-1");
const BOUND: (&str, &str) = ("tanagercroft-binding", "kl-a-1@7");
const STREAM: (&str, &str) = ("accept", "text/event-stream");

async fn appraise(client: &Client, input: &str, headers: Headers<'_>) -> TestResponse {
    client.pipeline("appraise", input, headers).await
}

async fn notify(client: &Client, headers: Headers<'_>) -> TestResponse {
    let path = "/v1/services/notify/sms?to=7";
    client.call(Method::PUT, path, headers, "text").await
}

/// Returns the number of calls to non-idempotent services, whatever their outcome.
fn non_idempotent_calls(env: &TestEnv) -> usize {
    let calls = env.upstreams.recorder.calls();
    let matching = calls
        .iter()
        .filter(|c| ["bill", "notify"].contains(&c.service.as_str()));
    matching.count()
}

fn set_hang_all(env: &TestEnv, hang: bool) {
    for id in ["bill-1", "bill-2"] {
        env.upstreams.pool(id).faults().set_hang(hang);
    }
    for plain in &env.upstreams.plains {
        plain.faults().set_hang(hang);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_gets_the_same_response_without_a_second_run() {
    for headers in [&[KEY][..], &[KEY, BOUND][..]] {
        let env = TestEnv::start().await;
        let first = appraise(&env.client, "dossier", headers).await;
        let second = appraise(&env.client, "dossier", headers).await;
        assert_eq!(first.status.as_u16(), 200, "{}", first.text());
        assert_eq!(second.text(), first.text());
        assert_eq!(non_idempotent_calls(&env), 1);
        let claims = usize::from(!headers.contains(&BOUND));
        assert_eq!(
            env.fakes.claim_count(),
            claims,
            "a bound key needs no claim"
        );
        let sent = notify(&env.client, headers).await;
        let again = notify(&env.client, headers).await;
        assert_eq!((sent.status.as_u16(), again.text()), (200, sent.text()));
        assert_eq!(non_idempotent_calls(&env), 2);
    }
}

/// Guards against a request that takes effect twice, such as billing a mechanic twice. One request is delivered ten
/// times concurrently while its run hangs, so all deliveries must join one run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_deliveries_join_one_run() {
    for headers in [&[KEY][..], &[KEY, BOUND][..]] {
        let env = TestEnv::start().await;
        set_hang_all(&env, true);
        let deliveries = (0..10).map(|_| appraise(&env.client, "dossier", headers));
        let (responses, ()) = tokio::join!(join_all(deliveries), async {
            eventually("all deliveries wait", || {
                env.instance.server.in_flight() == 11
            })
            .await;
            set_hang_all(&env, false);
        });
        assert!(responses.iter().all(|a| a.status.as_u16() == 200));
        assert!(responses.iter().all(|a| a.body == responses[0].body));
        assert_eq!(non_idempotent_calls(&env), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_scoped_to_body_workspace_and_target() {
    let env = TestEnv::start().await;
    appraise(&env.client, "dossier", &[KEY]).await;
    let other = appraise(&env.client, "another dossier", &[KEY]).await;
    assert_eq!(other.status.as_u16(), 422);
    assert_eq!(other.json()["type"], "urn:tanagercroft:problem:key-reused");
    let other_token = format!("Bearer {TRINACRIA}");
    let headers = [KEY, ("authorization", other_token.as_str())];
    let other = appraise(&env.client, "another dossier", &headers).await;
    assert_eq!(
        other.status.as_u16(),
        200,
        "the key of another workspace is independent"
    );
    assert_eq!(notify(&env.client, &[KEY]).await.status.as_u16(), 200);
    assert_eq!(non_idempotent_calls(&env), 3);
}

/// Guards against a second run of a request that is resent to another instance. The holder of the claim is still
/// running or has recorded its outcome, and keys must not be known only to the instance that runs them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_applies_at_every_instance() {
    let env = TestEnv::start().await;
    let other = Instance::start("kl-b-1", env.fakes.ports(), false).await;
    let other = Client::new(other.address);
    set_hang_all(&env, true);
    let both = async {
        tokio::join!(
            appraise(&env.client, "dossier", &[KEY]),
            async {
                eventually("the key is claimed", || env.fakes.claim_count() == 1).await;
                appraise(&other, "dossier", &[KEY]).await
            },
            async {
                eventually("the call is running", || {
                    env.fakes.permit_requests.lock().unwrap().len() == 2
                })
                .await;
                set_hang_all(&env, false);
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
    assert_eq!(non_idempotent_calls(&env), 1);
}

/// Guards against an `unknown` or `not_run` response to a resent request whose outcome is available or whose run is in
/// progress. A delivery times out while it waits for the run of another instance, or the store becomes unreachable in
/// the meantime. Its failure must not be stored as the outcome of the key, and the held claim must not be ignored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_delivery_that_times_out_does_not_affect_later_deliveries() {
    let env = TestEnv::start().await;
    let other = Instance::start("kl-b-1", env.fakes.ports(), false).await;
    let other = Client::new(other.address);
    set_hang_all(&env, true);
    let client = env.client.clone();
    let first = tokio::spawn(async move { appraise(&client, "dossier", &[KEY]).await });
    eventually("the call is running", || {
        env.fakes.permit_requests.lock().unwrap().len() == 2
    })
    .await;
    let short = [KEY, ("request-timeout-ms", "200")];
    for store_lost in [false, true] {
        env.fakes.lose_store_on_join.store(store_lost, SeqCst);
        let waited = appraise(&other, "dossier", &short).await;
        assert_eq!(
            (waited.status.as_u16(), waited.run_state()),
            (502, "unknown")
        );
    }
    env.fakes.lose_store_on_join.store(false, SeqCst);
    set_hang_all(&env, false);
    let first = first.await.unwrap();
    assert_eq!(first.status.as_u16(), 200, "{}", first.text());
    assert_eq!(
        appraise(&other, "dossier", &[KEY]).await.text(),
        first.text()
    );
    assert_eq!(non_idempotent_calls(&env), 1);
}

/// Guards against a run without a claim, which could run a second time later. A request is sent while the store is
/// unreachable, and resent when it is reachable again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn only_bound_keys_run_while_the_store_is_unreachable() {
    let env = TestEnv::start().await;
    env.fakes.store_down.store(true, SeqCst);
    let refused = appraise(&env.client, "dossier", &[KEY]).await;
    assert_eq!(refused.status.as_u16(), 503);
    assert_eq!(
        refused.json()["type"],
        "urn:tanagercroft:problem:store-unavailable"
    );
    assert_eq!(
        (refused.run_state(), non_idempotent_calls(&env)),
        ("not_run", 0)
    );
    let headers = [("idempotency-key", "k-2"), BOUND];
    assert_eq!(
        appraise(&env.client, "dossier", &headers)
            .await
            .status
            .as_u16(),
        200
    );
    env.fakes.store_down.store(false, SeqCst);
    let again = appraise(&env.client, "dossier", &[KEY]).await;
    assert_eq!(
        again.status.as_u16(),
        200,
        "the key must be usable after a refusal without a run"
    );
    assert_eq!(non_idempotent_calls(&env), 2);
}

/// Guards against a retry that makes a request take effect twice. A non-idempotent call fails after the upstream may
/// have received it, so it must not be retried.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_may_have_run_is_never_dispatched_again() {
    let faults = [
        (AnswerFault::Lost, "unknown"),
        (AnswerFault::CloseMidBody, "ran"),
        (AnswerFault::Garbage, "ran"),
        (AnswerFault::WrongIdentity, "unknown"),
    ];
    for (fault, _) in faults {
        let env = TestEnv::start().await;
        for id in ["bill-1", "bill-2"] {
            env.upstreams
                .pool(id)
                .faults()
                .break_answers(fault, u64::MAX);
        }
        let first = appraise(&env.client, "dossier", &[KEY, BOUND]).await;
        // The stage before it ran, so the run state of the request is `ran`.
        assert_eq!(
            (first.status.as_u16(), first.run_state()),
            (502, "ran"),
            "{fault:?}"
        );
        let second = appraise(&env.client, "dossier", &[KEY, BOUND]).await;
        assert_eq!(second.text(), first.text(), "{fault:?}");
        assert_eq!(second.run_state(), first.run_state(), "{fault:?}");
        assert_eq!(non_idempotent_calls(&env), 1, "{fault:?}");
    }
}

/// Guards against failing a request that was never sent and can be retried safely. The process of the first upstream
/// has ended, so the connection is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_was_not_sent_is_dispatched_to_another_upstream() {
    let env = TestEnv::start().await;
    env.upstreams.pool("bill-1").faults().crash();
    let response = appraise(&env.client, "dossier", &[KEY]).await;
    assert_eq!(response.status.as_u16(), 200, "{}", response.text());
    assert_eq!(non_idempotent_calls(&env), 1);
    assert!(
        env.fakes.crashed.lock().unwrap().is_empty(),
        "the upstream did not crash during this call"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_usable_again_after_a_refusal_without_a_run() {
    let env = TestEnv::start().await;
    *env.fakes.refuse_service.lock().unwrap() = Some(("encode".into(), RefusalReason::QueueFull));
    let refused = appraise(&env.client, "dossier", &[KEY, BOUND]).await;
    assert_eq!(
        (refused.status.as_u16(), refused.run_state()),
        (503, "not_run")
    );
    *env.fakes.refuse_service.lock().unwrap() = None;
    let response = appraise(&env.client, "dossier", &[KEY, BOUND]).await;
    assert_eq!(response.status.as_u16(), 200);
}

/// Guards against an unknown outcome after the caller has disconnected. The caller closes its connection while the call
/// runs and resends the request later, so the run must not be cancelled with its caller.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_run_completes_after_its_caller_has_disconnected() {
    let env = TestEnv::start().await;
    set_hang_all(&env, true);
    let leaving = Client::new(env.instance.address);
    let call = tokio::spawn(async move { appraise(&leaving, "dossier", &[KEY]).await });
    eventually("the call is running", || {
        env.fakes.permit_requests.lock().unwrap().len() == 2
    })
    .await;
    call.abort();
    let _ = call.await;
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    set_hang_all(&env, false);
    let key = ClaimKey {
        workspace: "lintas".into(),
        target: "pipeline/appraise".into(),
        key: "k-1".into(),
    };
    eventually("the outcome is recorded", || {
        env.fakes.outcome(&key).is_some()
    })
    .await;
    assert_eq!(env.fakes.outcome(&key).unwrap().status, 200);
    assert_eq!(
        appraise(&env.client, "dossier", &[KEY])
            .await
            .status
            .as_u16(),
        200
    );
    assert_eq!(non_idempotent_calls(&env), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_resend_of_a_streamed_run_gets_the_complete_text() {
    let env = TestEnv::start().await;
    let first = appraise(&env.client, "dossier", &[KEY, STREAM]).await;
    let second = appraise(&env.client, "dossier", &[KEY, STREAM]).await;
    assert_eq!(first.status.as_u16(), 200, "{}", first.text());
    assert_eq!(
        text_of(&events(&second.text())),
        text_of(&events(&first.text()))
    );
    assert_eq!(non_idempotent_calls(&env), 1);
    env.fakes.store_down.store(true, SeqCst);
    let headers = [("idempotency-key", "k-2"), STREAM];
    let refused = appraise(&env.client, "dossier", &headers).await;
    assert_eq!(
        (refused.status.as_u16(), refused.run_state()),
        (503, "not_run")
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_bound_to_another_instance_runs_only_there() {
    let env = TestEnv::start().await;
    let other = support::second_instance(&env, "kl-b-1").await;
    let headers = [KEY, ("tanagercroft-binding", "kl-b-1@7")];
    let first = appraise(&env.client, "dossier", &headers).await;
    assert_eq!(first.status.as_u16(), 200, "{}", first.text());
    assert_eq!(first.header("tanagercroft-instance"), "kl-b-1");
    let second = appraise(&Client::new(other.address), "dossier", &headers).await;
    assert_eq!(second.text(), first.text());
    assert_eq!(
        notify(&env.client, &headers)
            .await
            .header("tanagercroft-instance"),
        "kl-b-1"
    );
    assert_eq!(non_idempotent_calls(&env), 2);
    assert!(
        env.fakes.permit_requests.lock().unwrap().is_empty(),
        "a call ran at the first instance"
    );
}

/// Guards against reporting `not_run` for a request that its instance may have run before it became unreachable. The
/// key is bound to an instance that is unknown, restarted, unreachable or dead, or the request was already forwarded.
/// Another instance cannot know whether the request ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_of_an_unreachable_instance_has_an_unknown_outcome() {
    let env = TestEnv::start().await;
    // The socket is bound but not listening, so connections are refused and no other process can take the port.
    let closed = tokio::net::TcpSocket::new_v4().unwrap();
    closed.bind(fleet::ANY_PORT).unwrap();
    let address = closed.local_addr().unwrap();
    let me = fleet::member(ME, INCARNATION, env.instance.address);
    let unreachable = fleet::member("kl-c-1", Incarnation(3), address);
    let mut dead = fleet::member("kl-d-1", Incarnation(3), env.instance.address);
    dead.state = tc_protocol::MemberState::Dead;
    let config = (*env.fakes.view().config).clone();
    env.fakes
        .set_view(fleet::view(me, &[unreachable, dead], config));
    let rows = [
        ("an unknown instance", "gone@7", ""),
        ("an earlier incarnation of this instance", "kl-a-1@6", ""),
        ("a later incarnation of this instance", "kl-a-1@8", ""),
        ("an instance that refuses connections", "kl-c-1@3", ""),
        ("another incarnation of that instance", "kl-c-1@2", ""),
        ("a dead instance", "kl-d-1@3", ""),
        ("a request that was already forwarded", "kl-c-1@3", "kl-x-1"),
    ];
    for (name, binding, forwarded) in rows {
        let headers = [
            KEY,
            ("tanagercroft-binding", binding),
            ("tanagercroft-forwarded", forwarded),
        ];
        let response = appraise(&env.client, "dossier", &headers).await;
        assert_eq!(
            (response.status.as_u16(), response.run_state()),
            (502, "unknown"),
            "{name}"
        );
    }
    assert_eq!(non_idempotent_calls(&env), 0);
}
