//! Contract tests of the object API as seen by the store client, including faults.

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
async fn invalid_writes_are_rejected_with_their_cause() {
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

/// Guards against mistaking a write that took effect for one that did not, or the reverse. In each
/// case the platform fails in one way during a write and a read. The same broken connection means
/// different things before and after the request is sent.
#[tokio::test]
async fn each_fault_gives_the_error_that_is_certain() {
    use StoreError::{MaybeApplied, Refused, Unreachable};
    type Fault = fn(&Platform);
    type Expected = Result<(), StoreError>;
    let cases: [(&str, Fault, Expected, Expected); 7] = [
        (
            "response lost",
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
            "stopped",
            Platform::stop,
            Err(Unreachable),
            Err(Unreachable),
        ),
    ];
    for (fault, inject_fault, write, read) in cases {
        let platform = platform().await;
        let store = store(&platform);
        inject_fault(&platform);
        assert_eq!(create(&store, "a").await.map(drop), write, "{fault}: write");
        let found = store.get(PURPOSE, KIND, "b").await.map(drop);
        assert_eq!(found, read, "{fault}: read");
        assert_eq!(store.health().reachable, read.is_ok(), "{fault}");
    }
}

#[tokio::test]
async fn a_call_above_the_rate_limit_of_the_platform_is_refused() {
    let platform = platform().await;
    let store = store(&platform);
    platform.faults().set_rate_limits(Some(RateLimits {
        writes_per_s: 0.001,
        reads_per_s: 0.001,
    }));
    // The bucket initially holds one write.
    assert!(create(&store, "a").await.is_ok());
    assert_eq!(create(&store, "b").await, Err(StoreError::Refused(429)));
    assert_eq!(platform.object(KIND, "b"), None);
}

/// Guards against reporting "conflict" to an operator for a change that is in force, or "applied"
/// for one that is not. The responses to some attempts of one write are lost, before or after they
/// take effect. Only reading the object back can resolve that, and not in all cases.
#[tokio::test]
async fn a_verified_write_reports_whether_it_took_effect() {
    type Fault = fn(&Platform);
    let cases: [(&str, Fault, &str); 7] = [
        ("no fault", |_| {}, "written"),
        ("response lost", |p| p.faults().lose_answers(1), "written"),
        ("request lost", |p| p.faults().lose_requests(1), "written"),
        ("three lost", |p| p.faults().lose_requests(3), "written"),
        ("all lost", |p| p.faults().lose_requests(9), "unknown"),
        ("500", |p| p.faults().fail_writes(true), "unknown"),
        ("stopped", Platform::stop, "not written"),
    ];
    for (fault, inject_fault, expected) in cases {
        let platform = platform().await;
        let store = store(&platform);
        inject_fault(&platform);
        let ours = json!("ours");
        let written = store
            .write_verified(PURPOSE, KIND, "a", Precondition::Absent, &ours, |v| {
                *v == ours
            })
            .await;
        assert_eq!(label(&written), expected, "{fault}");
        if let WriteResult::Written { version } = written {
            assert_eq!(platform.object(KIND, "a"), Some((version, ours)), "{fault}");
        }
    }
}

#[tokio::test]
async fn a_verified_write_is_a_conflict_if_second_and_unknown_if_overwritten() {
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
    // The request is lost before it takes effect, and reading back finds another writer's object.
    platform.faults().lose_requests(1);
    assert_eq!(label(&write().await), "unknown");
}

const fn label(written: &WriteResult) -> &'static str {
    match written {
        WriteResult::Written { .. } => "written",
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
        // The first call is in flight and must not be joined, because it may return an older value.
        join_all(reads()).await
    };
    let (first, second) = tokio::join!(join_all(reads()), later);
    let mut found = first.iter().chain(&second);
    assert!(found.all(|f| matches!(f, Ok(Some(_)))));
    assert_eq!(calls(), 2);
}

#[tokio::test]
async fn calls_above_the_own_rate_limit_of_an_instance_are_rejected() {
    let platform = platform().await;
    let store = Store::new(StoreSettings {
        calls_per_s: 2.0,
        ..settings(&platform)
    });
    let names: Vec<_> = (0..5).map(|n| format!("n{n}")).collect();
    let reads = names.iter().map(|name| store.get(PURPOSE, KIND, name));
    let results = join_all(reads).await;
    let rate_limited = results
        .iter()
        .filter(|r| **r == Err(StoreError::RateLimited));
    assert_eq!(rate_limited.count(), 3);
    assert_eq!(
        platform.calls(),
        BTreeMap::from([("get test".to_owned(), 2)])
    );
    assert_eq!(store.calls()["operator"], 2);
}

#[tokio::test]
async fn a_watch_returns_the_next_version_or_times_out() {
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
