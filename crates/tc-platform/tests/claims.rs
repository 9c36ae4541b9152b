//! Claims against the platform's stand-in: two instances, lost answers, outages.

mod common;

use std::{sync::Arc, time::Duration};

use common::{platform, store};
use futures::future::join_all;
use tc_platform::{CLAIM_KIND, Claims, ClaimsSettings, StoreError};
use tc_protocol::{
    ClaimKey, ClaimVerdict, Incarnation, RecordedOutcome, RunState, wire::MAX_OBJECT_BYTES,
};
use tc_stand_ins::Platform;

/// Far longer than anything takes here without a fault.
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

async fn claim_ours(claims: &Claims, name: impl Into<String>) -> String {
    match claim(claims, name).await {
        ClaimVerdict::Acquired { claim_id } => claim_id,
        other => panic!("not ours: {other:?}"),
    }
}

fn numbered(count: u32) -> impl Iterator<Item = String> {
    (0..count).map(|n| n.to_string())
}

/// Claims until the key is free again.
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
    let id = claim_ours(&a, "k").await;
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
    let id = claim_ours(&a, "k").await;
    let large = outcome(&"x".repeat(5_000), RunState::Ran);
    a.record(&key("k"), &id, large.clone()).await.unwrap();
    let kept = RecordedOutcome {
        body: None,
        ..large
    };
    assert_eq!(claim(&a, "k").await, ClaimVerdict::Recorded(kept));
}

/// Symptom: one key runs on two instances.
/// Sequence: four instances claim the same keys at the same moment, in one shard.
/// Cause: a claim judged on an old head must fail its write and be judged again.
#[tokio::test]
async fn of_instances_that_race_for_a_key_one_gets_it() {
    let platform = platform().await;
    let all: Vec<_> = ["a", "b", "c", "d"]
        .map(|id| claims_in(&platform, id, 1))
        .into();
    let keys: Vec<_> = numbered(60).collect();
    let asked = keys
        .iter()
        .flat_map(|k| all.iter().map(move |c| claim(c, k)));
    let verdicts = join_all(asked).await;
    for of_key in verdicts.chunks(all.len()) {
        let ours = of_key
            .iter()
            .filter(|v| matches!(v, ClaimVerdict::Acquired { .. }));
        let held = of_key.iter().filter(|v| **v == ClaimVerdict::Held);
        assert_eq!((ours.count(), held.count()), (1, 3));
    }
}

/// Symptom: a claim is refused although it was written, or made twice.
/// Sequence: answers or requests of the first writes are lost.
/// Cause: a lost answer is settled by writing again from the same version and recognising the own claim.
#[tokio::test]
async fn lost_answers_and_requests_leave_one_claim() {
    type Break = fn(&Platform);
    let table: [Break; 4] = [
        |p| p.faults().lose_answers(1),
        |p| p.faults().lose_answers(4),
        |p| p.faults().lose_requests(1),
        |p| p.faults().lose_requests(4),
    ];
    for break_it in table {
        let platform = platform().await;
        let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
        claim_ours(&a, "warm up").await;
        break_it(&platform);
        claim_ours(&a, "k").await;
        assert_eq!(claim(&b, "k").await, ClaimVerdict::Held);
    }
}

#[tokio::test]
async fn without_a_store_claims_are_unavailable_and_free_afterwards() {
    type Switch = fn(&Platform, bool);
    let table: [Switch; 3] = [
        |p, on| p.faults().set_down(on),
        |p, on| p.faults().set_refusing(on),
        |p, on| p.faults().fail_writes(on),
    ];
    for switch in table {
        let platform = platform().await;
        let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
        switch(&platform, true);
        let refused = a.claim(key("k"), BODY, SHORT).await;
        assert_eq!(refused, ClaimVerdict::Unavailable);
        switch(&platform, false);
        claim_released(&b, "k").await;
    }
}

/// Symptom: during an outage, callers without a binding are told "not run" only when their whole deadline has passed.
/// Sequence: the store goes down; claims with a long wait come one after another; the store comes back.
/// Cause: each claim waits for a store that cannot answer, although nothing it could learn changes its refusal.
#[tokio::test]
async fn a_lost_store_refuses_claims_long_before_their_wait_is_over() {
    let platform = platform().await;
    let a = claims(&platform, "a");
    claim_ours(&a, "before").await;
    platform.faults().set_down(true);
    let started = std::time::Instant::now();
    for name in numbered(200) {
        assert_eq!(claim(&a, name).await, ClaimVerdict::Unavailable);
    }
    // The first waits until the store counts as lost; the rest do not wait.
    assert!(started.elapsed() < LONG, "{:?}", started.elapsed());
    platform.faults().set_down(false);
    claim_released(&a, "after").await;
    claim_ours(&a, "1").await;
}

/// Symptom: every resend of a request that never ran is answered "unknown" until the claim expires.
/// Sequence: the store is slow, the caller stops waiting, then its claim is written.
/// Cause: nobody acts on such a claim, so it has to be released.
#[tokio::test]
async fn a_claim_written_after_its_caller_left_is_released() {
    let platform = platform().await;
    let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
    claim_ours(&a, "warm up").await;
    platform.faults().set_slow(Duration::from_millis(200));
    let refused = a.claim(key("k"), BODY, SHORT).await;
    assert_eq!(refused, ClaimVerdict::Unavailable);
    platform.faults().set_slow(Duration::ZERO);
    claim_released(&b, "k").await;
    assert_eq!(claim(&a, "k").await, ClaimVerdict::Held);
}

/// Symptom: a request runs on two instances.
/// Sequence: the claim is made, its holder is paused, the claim expires and another instance makes it, the first
/// wakes up and finds its verdict.
/// Cause: a verdict is only worth something within the time its caller meant to wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_verdict_found_after_a_pause_is_not_acted_on() {
    let platform = platform().await;
    let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
    claim_ours(&a, "warm up").await;
    let mut asked = Box::pin(a.claim(key("k"), BODY, SHORT));
    assert!(futures::poll!(&mut asked).is_pending());
    // Stops only this thread: the claim is made meanwhile.
    std::thread::sleep(SHORT * 3);
    assert_eq!(asked.await, ClaimVerdict::Unavailable);
    claim_released(&b, "k").await;
}

/// Symptom: a resend runs again, or gets "unknown", although the run ended.
/// Sequence: the store goes down between a claim and its outcome, and comes back.
/// Cause: the outcome waits in memory until it can be written.
#[tokio::test]
async fn an_outcome_recorded_during_an_outage_is_written_after_it() {
    let platform = platform().await;
    let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
    let id = claim_ours(&a, "k").await;
    platform.faults().set_down(true);
    let ran = outcome("done", RunState::Ran);
    let recorded = a.record(&key("k"), &id, ran.clone()).await;
    assert_eq!(recorded, Err(StoreError::MaybeApplied));
    platform.faults().set_down(false);
    let joined = b.wait_for_outcome(&key("k"), LONG).await;
    assert_eq!(joined, ClaimVerdict::Recorded(ran));
}

#[tokio::test]
async fn a_resend_joins_the_run_that_holds_its_key() {
    let platform = platform().await;
    let (a, b) = (claims(&platform, "a"), claims(&platform, "b"));
    let ended = claim_ours(&a, "ended").await;
    let refused = claim_ours(&a, "refused").await;
    claim_ours(&a, "running").await;
    let ran = outcome("done", RunState::Ran);
    let not_run = outcome("no room", RunState::NotRun);
    let (ended_key, refused_key, running_key) = (key("ended"), key("refused"), key("running"));
    let joins = async {
        tokio::join!(
            b.wait_for_outcome(&ended_key, LONG),
            b.wait_for_outcome(&refused_key, LONG),
            b.wait_for_outcome(&running_key, SHORT),
        )
    };
    let (joined, ()) = tokio::join!(joins, async {
        a.record(&ended_key, &ended, ran.clone()).await.unwrap();
        a.record(&refused_key, &refused, not_run).await.unwrap();
    });
    let expected = (
        ClaimVerdict::Recorded(ran),
        ClaimVerdict::Unavailable,
        ClaimVerdict::Held,
    );
    assert_eq!(joined, expected);
    claim_released(&b, "refused").await;
}

/// Symptom: a key is claimed once in each of two shards.
/// Sequence: two instances are set to different numbers of shards.
/// Cause: the number that is in the store counts, not the setting.
#[tokio::test]
async fn the_number_of_shards_in_the_store_counts() {
    let platform = platform().await;
    let (a, b) = (claims_in(&platform, "a", 5), claims_in(&platform, "b", 7));
    for k in numbered(20) {
        claim_ours(&a, &k).await;
        assert_eq!(claim(&b, &k).await, ClaimVerdict::Held);
    }
}

#[tokio::test]
async fn outcomes_are_sealed_in_objects_far_below_the_limit_and_still_found() {
    let platform = platform().await;
    let a = Arc::new(claims_in(&platform, "a", 1));
    let body = "x".repeat(3_900);
    let ids = join_all(numbered(400).map(|k| claim_ours(&a, k))).await;
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
