//! Contract of the object API as the store client sees it, with its faults.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{TIMEOUT, platform, settings, store};
use futures::future::join_all;
use serde_json::{Value, json};
use tc_platform::{Precondition, Purpose, Store, StoreError, StoreSettings, WriteResult};
use tc_protocol::wire::{ListedInstance, ListedState};
use tc_stand_ins::{Platform, RateLimits};

const KIND: &str = "test";
const PURPOSE: Purpose = Purpose::Operator;

async fn create(store: &Store, name: &str) -> Result<u64, StoreError> {
    store.create(PURPOSE, KIND, name, &json!("ours")).await
}

#[tokio::test]
async fn objects_are_created_read_listed_updated_and_deleted() {
    let platform = platform().await;
    let store = store(&platform);
    assert_eq!(store.get(PURPOSE, KIND, "a").await, Ok(None));
    let v1 = create(&store, "a").await.unwrap();
    let v2 = store
        .update(PURPOSE, KIND, "a", v1, &json!(2))
        .await
        .unwrap();
    assert!(v2 > v1);
    let found = store.get(PURPOSE, KIND, "a").await.unwrap().unwrap();
    assert_eq!((found.version, found.value), (v2, json!(2)));
    create(&store, "b").await.unwrap();
    let names = store.list(PURPOSE, KIND).await.unwrap();
    let names: Vec<_> = names.into_iter().map(|i| i.name).collect();
    assert_eq!(names, ["a", "b"]);
    let stale = store.delete(PURPOSE, KIND, "a", v1).await;
    assert_eq!(stale, Err(StoreError::Conflict { current: Some(v2) }));
    assert_eq!(store.delete(PURPOSE, KIND, "a", v2).await, Ok(()));
    assert_eq!(store.get(PURPOSE, KIND, "a").await, Ok(None));
    assert_eq!(store.calls()["operator"], 9);
    assert!(store.health().reachable);
}

#[tokio::test]
async fn writes_that_do_not_fit_are_told() {
    let platform = platform().await;
    let store = store(&platform);
    let version = create(&store, "a").await.unwrap();
    let conflict = |current| Err(StoreError::Conflict { current });
    assert_eq!(create(&store, "a").await, conflict(Some(version)));
    let update = |name, version| {
        let store = store.clone();
        async move { store.update(PURPOSE, KIND, name, version, &json!(1)).await }
    };
    assert_eq!(update("a", version + 1).await, conflict(Some(version)));
    assert_eq!(update("gone", 1).await, conflict(None));
    let large = Value::from("x".repeat(1_000_000));
    let created = store.create(PURPOSE, KIND, "large", &large).await;
    assert_eq!(created, Err(StoreError::TooLarge));
    let slash = store.get(PURPOSE, KIND, "a/b").await;
    assert_eq!(slash, Err(StoreError::Malformed));
}

/// Symptom: a write that took effect is taken for one that did not, or the other way round.
/// Sequence: the platform fails in one way during one write and one read.
/// Cause: the same broken connection means different things before and after sending.
#[tokio::test]
async fn each_fault_is_told_by_what_is_certain() {
    use StoreError::{MaybeApplied, Refused, Unreachable};
    type Break = fn(&Platform);
    type Ending = Result<(), StoreError>;
    let table: [(&str, Break, Ending, Ending); 7] = [
        (
            "answer lost",
            |p| p.faults().lose_answers(1),
            Err(MaybeApplied),
            Ok(()),
        ),
        (
            "request lost",
            |p| p.faults().lose_requests(1),
            Err(MaybeApplied),
            Ok(()),
        ),
        (
            "500",
            |p| p.faults().fail_writes(true),
            Err(MaybeApplied),
            Ok(()),
        ),
        (
            "503",
            |p| p.faults().set_down(true),
            Err(MaybeApplied),
            Err(Refused(503)),
        ),
        (
            "closed",
            |p| p.faults().set_refusing(true),
            Err(MaybeApplied),
            Err(Unreachable),
        ),
        (
            "slow",
            |p| p.faults().set_slow(TIMEOUT * 2),
            Err(MaybeApplied),
            Err(Unreachable),
        ),
        (
            "not there",
            Platform::stop,
            Err(Unreachable),
            Err(Unreachable),
        ),
    ];
    for (fault, break_it, write, read) in table {
        let platform = platform().await;
        let store = store(&platform);
        break_it(&platform);
        assert_eq!(create(&store, "a").await.map(drop), write, "{fault}: write");
        let found = store.get(PURPOSE, KIND, "b").await.map(drop);
        assert_eq!(found, read, "{fault}: read");
        assert_eq!(store.health().reachable, read.is_ok(), "{fault}");
    }
}

#[tokio::test]
async fn a_call_above_the_platforms_rate_is_refused() {
    let platform = platform().await;
    let store = store(&platform);
    platform.faults().set_rate_limits(Some(RateLimits {
        writes_per_s: 0.001,
        reads_per_s: 0.001,
    }));
    // The bucket holds one write to begin with.
    assert!(create(&store, "a").await.is_ok());
    assert_eq!(create(&store, "b").await, Err(StoreError::Refused(429)));
    assert_eq!(platform.object(KIND, "b"), None);
}

/// Symptom: an operator is told "conflict" for a change that is in force, or "applied" for one that is not.
/// Sequence: the answers of some tries of one write are lost, before or after they take effect.
/// Cause: a lost answer can only be settled by reading back, and not always by that.
#[tokio::test]
async fn a_sure_write_tells_the_truth() {
    type Break = fn(&Platform);
    let table: [(&str, Break, &str); 7] = [
        ("no fault", |_| {}, "ours"),
        ("answer lost", |p| p.faults().lose_answers(1), "ours"),
        ("request lost", |p| p.faults().lose_requests(1), "ours"),
        ("three lost", |p| p.faults().lose_requests(3), "ours"),
        ("all lost", |p| p.faults().lose_requests(9), "unknown"),
        ("500", |p| p.faults().fail_writes(true), "unknown"),
        ("not there", Platform::stop, "not written"),
    ];
    for (fault, break_it, expected) in table {
        let platform = platform().await;
        let store = store(&platform);
        break_it(&platform);
        let ours = json!("ours");
        let written = store
            .write_verified(PURPOSE, KIND, "a", Precondition::Absent, &ours, |v| {
                *v == ours
            })
            .await;
        assert_eq!(word(&written), expected, "{fault}");
        if let WriteResult::Written { version } = written {
            assert_eq!(platform.object(KIND, "a"), Some((version, ours)), "{fault}");
        }
    }
}

#[tokio::test]
async fn a_sure_write_that_was_second_is_a_conflict_and_one_overwritten_is_unknown() {
    let platform = platform().await;
    let store = store(&platform);
    create(&store, "a").await.unwrap();
    let write = || {
        store.write_verified(
            PURPOSE,
            KIND,
            "a",
            Precondition::Absent,
            &Value::Null,
            |_| false,
        )
    };
    let WriteResult::Conflict {
        current: Some(found),
    } = write().await
    else {
        panic!("not a conflict");
    };
    assert_eq!(found.value, json!("ours"));
    // Lost before it took effect, and somebody else's object is there on reading back.
    platform.faults().lose_requests(1);
    assert_eq!(word(&write().await), "unknown");
}

const fn word(written: &WriteResult) -> &'static str {
    match written {
        WriteResult::Written { .. } => "ours",
        WriteResult::Conflict { .. } => "conflict",
        WriteResult::NotWritten(_) => "not written",
        WriteResult::Unknown { .. } => "unknown",
    }
}

#[tokio::test]
async fn concurrent_reads_of_one_object_share_calls() {
    let platform = platform().await;
    let store = store(&platform);
    create(&store, "a").await.unwrap();
    platform.faults().set_slow(Duration::from_millis(100));
    let calls = || platform.calls().get("get test").copied().unwrap_or(0);
    let reads = || (0..100).map(|_| store.get(PURPOSE, KIND, "a"));
    let later = async {
        while calls() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        // The first call is on its way and must not be joined: it may find an older value.
        join_all(reads()).await
    };
    let (first, second) = tokio::join!(join_all(reads()), later);
    let mut found = first.iter().chain(&second);
    assert!(found.all(|f| matches!(f, Ok(Some(_)))));
    assert_eq!(calls(), 2);
}

#[tokio::test]
async fn an_instance_keeps_to_its_own_rate() {
    let platform = platform().await;
    let store = Store::new(StoreSettings {
        calls_per_s: 2.0,
        ..settings(&platform)
    });
    let names: Vec<_> = (0..5).map(|n| format!("n{n}")).collect();
    let reads = names.iter().map(|name| store.get(PURPOSE, KIND, name));
    let results = join_all(reads).await;
    let paced = results
        .iter()
        .filter(|r| **r == Err(StoreError::RateLimited));
    assert_eq!(paced.count(), 3);
    assert_eq!(
        platform.calls(),
        BTreeMap::from([("get test".to_owned(), 2)])
    );
    assert_eq!(store.calls()["operator"], 2);
}

#[tokio::test]
async fn a_watch_sees_the_next_version_or_runs_out() {
    let platform = platform().await;
    let store = store(&platform);
    let short = Duration::from_millis(20);
    let nothing = store.watch(PURPOSE, KIND, "a", 0, short).await;
    assert_eq!(nothing, Ok(None));
    let long = Duration::from_secs(10);
    let watch = store.watch(PURPOSE, KIND, "a", 0, long);
    let (seen, version) = tokio::join!(watch, async {
        tokio::time::sleep(short).await;
        create(&store, "a").await.unwrap()
    });
    assert_eq!(seen.unwrap().unwrap().version, version);
}

#[tokio::test]
async fn the_instance_list_is_read() {
    let platform = platform().await;
    let store = store(&platform);
    let instance = ListedInstance {
        id: "kl-a-1".into(),
        service: None,
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: "kl-a".into(),
        region: "kl".into(),
        state: ListedState::Leaving,
    };
    platform.put_instance(instance.clone());
    let list = store.instances(Purpose::Instances).await.unwrap();
    assert_eq!(list.instances, [instance]);
    assert_eq!(store.calls()["instances"], 1);
}
