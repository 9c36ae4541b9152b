//! Tests of claims against the platform stand-in: two instances, lost responses, outages.

mod common;

use std::{sync::Arc, time::Duration};

use common::{platform, store};
use futures::future::join_all;
use tc_platform::{CLAIM_KIND, Claims, ClaimsSettings, StoreError};
use tc_protocol::{
    ClaimKey, ClaimVerdict, Incarnation, RecordedOutcome, RunState, wire::MAX_OBJECT_BYTES,
};
use tc_stand_ins::Platform;

/// Much longer than any operation takes here without a fault.
const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(100);
const BODY: u64 = u64::MAX;

fn claims(platform: &Platform, holder: &str) -> Claims {
    claims_in(platform, holder, 4)
}

fn claims_in(platform: &Platform, holder: &str, shards: u32) -> Claims {
    let settings = ClaimsSettings {
        shards,
        commit_interval: Duration::from_millis(5),
        max_batch: 256,
        retention: Duration::from_mins(10),
        holder: holder.into(),
        incarnation: Incarnation(1),
    };
    Claims::start(store(platform), settings)
}

fn key(name: impl Into<String>) -> ClaimKey {
    ClaimKey {
        workspace: "lintas".into(),
        target: "pipeline/notice".into(),
        key: name.into(),
    }
}

fn outcome(body: &str, run_state: RunState) -> RecordedOutcome {
    RecordedOutcome {
        status: 200,
        content_type: "application/json".into(),
        body: Some(body.to_owned()),
        run_state,
    }
}

async fn claim(claims: &Claims, name: impl Into<String>) -> ClaimVerdict {
    claims.claim(key(name), BODY, LONG).await
}

async fn claim_acquired(claims: &Claims, name: impl Into<String>) -> String {
    match claim(claims, name).await {
        ClaimVerdict::Acquired { claim_id } => claim_id,
        other => panic!("not acquired: {other:?}"),
    }
}

fn numbered(count: u32) -> impl Iterator<Item = String> {
    (0..count).map(|n| n.to_string())
}

/// Retries the claim until the key is free again.
async fn claim_released(claims: &Claims, name: &str) -> String {
    let claimed = async {
        loop {
            if let ClaimVerdict::Acquired { claim_id } = claim(claims, name).await {
                return claim_id;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(LONG, claimed).await.unwrap()
}

#[tokio::test]
async fn a_key_is_claimed_held_and_recorded_for_all_instances() {
    let platform = platform().await;
    let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
    let id = claim_acquired(&a, "k").await;
    for instance in [&a, &b] {
        assert_eq!(claim(instance, "k").await, ClaimVerdict::Held);
        let other = instance.claim(key("k"), BODY - 1, LONG).await;
        assert_eq!(other, ClaimVerdict::BodyMismatch);
    }
    let ran = outcome("done", RunState::Ran);
    let stolen = b.record(&key("k"), "not the claim", ran.clone()).await;
    assert_eq!(stolen, Err(StoreError::Conflict { current: None }));
    assert_eq!(a.record(&key("k"), &id, ran.clone()).await, Ok(()));
    assert_eq!(a.record(&key("k"), &id, ran.clone()).await, Ok(()));
    let changed = outcome("other", RunState::Ran);
    assert!(a.record(&key("k"), &id, changed).await.is_err());
    assert_eq!(claim(&b, "k").await, ClaimVerdict::Recorded(ran));
}

#[tokio::test]
async fn a_large_outcome_is_recorded_without_its_body() {
    let platform = platform().await;
    let a = claims(&platform, "a");
    let id = claim_acquired(&a, "k").await;
    let large = outcome(&"x".repeat(5_000), RunState::Ran);
    a.record(&key("k"), &id, large.clone()).await.unwrap();
    let kept = RecordedOutcome {
        body: None,
        ..large
    };
    assert_eq!(claim(&a, "k").await, ClaimVerdict::Recorded(kept));
}

/// Guards against one key running on two instances. Four instances claim the same keys at the same
/// time in one shard. The write of a claim that was decided on an old head must fail, and the claim
/// must be decided again.
#[tokio::test]
async fn concurrent_claims_of_a_key_succeed_on_one_instance() {
    let platform = platform().await;
    let all: Vec<_> = ["a", "b", "c", "d"]
        .map(|id| claims_in(&platform, id, 1))
        .into();
    let keys: Vec<_> = numbered(60).collect();
    let pending = keys
        .iter()
        .flat_map(|k| all.iter().map(move |c| claim(c, k)));
    let verdicts = join_all(pending).await;
    for of_key in verdicts.chunks(all.len()) {
        let ours = of_key
            .iter()
            .filter(|v| matches!(v, ClaimVerdict::Acquired { .. }));
        let held = of_key.iter().filter(|v| **v == ClaimVerdict::Held);
        assert_eq!((ours.count(), held.count()), (1, 3));
    }
}

/// Guards against refusing a claim that was written, or making it twice, if the responses or
/// requests of the first writes are lost. A lost response is resolved by repeating the write from
/// the same version and recognising the own claim.
#[tokio::test]
async fn lost_responses_and_requests_leave_one_claim() {
    type Fault = fn(&Platform);
    let cases: [Fault; 4] = [
        |p| p.faults().lose_answers(1),
        |p| p.faults().lose_answers(4),
        |p| p.faults().lose_requests(1),
        |p| p.faults().lose_requests(4),
    ];
    for inject_fault in cases {
        let platform = platform().await;
        let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
        claim_acquired(&a, "warm up").await;
        inject_fault(&platform);
        claim_acquired(&a, "k").await;
        assert_eq!(claim(&b, "k").await, ClaimVerdict::Held);
    }
}

#[tokio::test]
async fn without_a_store_claims_are_unavailable_and_free_afterwards() {
    type ToggleFault = fn(&Platform, bool);
    let cases: [ToggleFault; 3] = [
        |p, on| p.faults().set_down(on),
        |p, on| p.faults().set_refusing(on),
        |p, on| p.faults().fail_writes(on),
    ];
    for toggle_fault in cases {
        let platform = platform().await;
        let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
        toggle_fault(&platform, true);
        let refused = a.claim(key("k"), BODY, SHORT).await;
        assert_eq!(refused, ClaimVerdict::Unavailable);
        toggle_fault(&platform, false);
        claim_released(&b, "k").await;
    }
}

/// Guards against callers without a binding waiting for their whole deadline during an outage
/// before they get "not run". Claims with a long wait are made one after another while the store is
/// down. They must not wait for a store that cannot respond, since nothing it could return would
/// change their refusal.
#[tokio::test]
async fn claims_are_refused_before_their_wait_ends_while_the_store_is_down() {
    let platform = platform().await;
    let a = claims(&platform, "a");
    claim_acquired(&a, "before").await;
    platform.faults().set_down(true);
    let started = std::time::Instant::now();
    for name in numbered(200) {
        assert_eq!(claim(&a, name).await, ClaimVerdict::Unavailable);
    }
    // The first claim waits until the store counts as down; the others do not wait.
    assert!(started.elapsed() < LONG, "{:?}", started.elapsed());
    platform.faults().set_down(false);
    claim_released(&a, "after").await;
    claim_acquired(&a, "1").await;
}

/// Guards against answering "unknown" to every resend of a request that never ran, until its claim
/// expires. The store is slow, and the claim is written after its caller has stopped waiting. Such
/// a claim is not acted on, so it must be released.
#[tokio::test]
async fn a_claim_written_after_its_caller_stopped_waiting_is_released() {
    let platform = platform().await;
    let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
    claim_acquired(&a, "warm up").await;
    platform.faults().set_slow(Duration::from_millis(200));
    let refused = a.claim(key("k"), BODY, SHORT).await;
    assert_eq!(refused, ClaimVerdict::Unavailable);
    platform.faults().set_slow(Duration::ZERO);
    claim_released(&b, "k").await;
    assert_eq!(claim(&a, "k").await, ClaimVerdict::Held);
}

/// Guards against a request running on two instances. The holder of a claim is paused, the claim
/// expires, and another instance acquires it before the first resumes and sees its verdict. A
/// verdict is valid only within the time that its caller was going to wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_verdict_delivered_after_a_pause_is_not_acted_on() {
    let platform = platform().await;
    let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
    claim_acquired(&a, "warm up").await;
    let mut pending = Box::pin(a.claim(key("k"), BODY, SHORT));
    assert!(futures::poll!(&mut pending).is_pending());
    // Blocks only this thread; the claim is made in the meantime.
    std::thread::sleep(SHORT * 3);
    assert_eq!(pending.await, ClaimVerdict::Unavailable);
    claim_released(&b, "k").await;
}

/// Guards against a resend that runs again, or gets "unknown", although the run has ended. The
/// store is down between the claim and its outcome. The outcome must stay in memory until it can be
/// written.
#[tokio::test]
async fn an_outcome_recorded_during_an_outage_is_written_after_it() {
    let platform = platform().await;
    let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
    let id = claim_acquired(&a, "k").await;
    platform.faults().set_down(true);
    let ran = outcome("done", RunState::Ran);
    let recorded = a.record(&key("k"), &id, ran.clone()).await;
    assert_eq!(recorded, Err(StoreError::MaybeApplied));
    platform.faults().set_down(false);
    let received = b.wait_for_outcome(&key("k"), LONG).await;
    assert_eq!(received, ClaimVerdict::Recorded(ran));
}

#[tokio::test]
async fn a_resend_waits_for_the_outcome_of_the_run_that_holds_its_key() {
    let platform = platform().await;
    let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
    let ended = claim_acquired(&a, "ended").await;
    let refused = claim_acquired(&a, "refused").await;
    claim_acquired(&a, "running").await;
    let ran = outcome("done", RunState::Ran);
    let not_run = outcome("no room", RunState::NotRun);
    let (ended_key, refused_key, running_key) = (key("ended"), key("refused"), key("running"));
    let waits = async {
        tokio::join!(
            b.wait_for_outcome(&ended_key, LONG),
            b.wait_for_outcome(&refused_key, LONG),
            b.wait_for_outcome(&running_key, SHORT),
        )
    };
    let (received, ()) = tokio::join!(waits, async {
        a.record(&ended_key, &ended, ran.clone()).await.unwrap();
        a.record(&refused_key, &refused, not_run).await.unwrap();
    });
    let expected = (
        ClaimVerdict::Recorded(ran),
        ClaimVerdict::Unavailable,
        ClaimVerdict::Held,
    );
    assert_eq!(received, expected);
    claim_released(&b, "refused").await;
}

/// Guards against a key being claimed once in each of two shards, if two instances are configured
/// with different numbers of shards. The number in the store takes precedence over the setting.
#[tokio::test]
async fn the_stored_number_of_shards_overrides_the_setting() {
    let platform = platform().await;
    let (a, b) = (claims_in(&platform, "a", 5), claims_in(&platform, "b", 7));
    for k in numbered(20) {
        claim_acquired(&a, &k).await;
        assert_eq!(claim(&b, &k).await, ClaimVerdict::Held);
    }
}

#[tokio::test]
async fn outcomes_are_sealed_in_objects_far_below_the_limit_and_still_found() {
    let platform = platform().await;
    let a = Arc::new(claims_in(&platform, "a", 1));
    let body = "x".repeat(3_900);
    let ids = join_all(numbered(400).map(|k| claim_acquired(&a, k))).await;
    let keys: Vec<_> = numbered(400).map(key).collect();
    let records = keys.iter().zip(&ids);
    let recorded = records.map(|(k, id)| a.record(k, id, outcome(&body, RunState::Ran)));
    assert!(join_all(recorded).await.iter().all(Result::is_ok));
    let heads = platform.history(CLAIM_KIND, "head-000");
    let segments: Vec<_> = heads.last().unwrap().1["segments"]
        .as_array()
        .unwrap()
        .clone();
    assert!(segments.len() >= 2);
    let sealed = segments
        .iter()
        .map(|s| platform.object(CLAIM_KIND, s.as_str().unwrap()).unwrap());
    for (_, value) in sealed.chain(heads) {
        assert!(value.to_string().len() < MAX_OBJECT_BYTES / 2);
    }
    let fresh = claims_in(&platform, "b", 1);
    let found = join_all(numbered(400).map(|k| claim(&fresh, k))).await;
    let known = ClaimVerdict::Recorded(outcome(&body, RunState::Ran));
    assert!(found.iter().all(|v| *v == known));
}
