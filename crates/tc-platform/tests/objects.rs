//! Tests of the configuration object, leases and quarantine, with lost responses.

mod common;

use std::{collections::BTreeMap, time::Duration};

use common::{platform, store};
use tc_platform::{
    ApplyResult, Lease, LeaseError, LeaseSettings, Quarantined, Store, StoreError, Versioned,
    add_quarantined, apply_config, list_quarantined, read_config, remove_quarantined, watch_config,
};
use tc_protocol::{Fingerprint, Incarnation, wire::ConfigObject};
use tc_stand_ins::Platform;

const LONG: Duration = Duration::from_mins(1);
const SHORT: Duration = Duration::from_millis(100);

fn config(revision: u64, apply_id: &str) -> ConfigObject {
    ConfigObject {
        revision,
        files: BTreeMap::new(),
        applied_by: "noc".into(),
        apply_id: apply_id.into(),
        applied_at_ms: 0,
    }
}

async fn read(store: &Store) -> Option<Versioned<ConfigObject>> {
    read_config(store, tc_platform::Purpose::Config)
        .await
        .unwrap()
}

#[tokio::test]
async fn the_first_of_two_concurrent_applies_succeeds_and_the_second_conflicts() {
    let platform = platform().await;
    let store = store(&platform);
    assert_eq!(read(&store).await, None);
    let wait = Duration::from_secs(10);
    let (seen, first) = tokio::join!(
        watch_config(&store, 0, wait),
        apply_config(&store, None, config(1, "a"))
    );
    let base = read(&store).await;
    assert_eq!(seen, Ok(base.clone()));
    let version = base.as_ref().unwrap().version;
    assert_eq!(first, ApplyResult::Applied { version });
    let second = apply_config(&store, None, config(1, "b")).await;
    assert_eq!(second, ApplyResult::Conflict(base.clone()));
    let skipped = apply_config(&store, base, config(3, "c")).await;
    assert_eq!(skipped, ApplyResult::NotApplied(StoreError::Malformed));
}

/// Guards against reporting an apply as failed although it is in force, so that it is applied
/// again. The response to the write is lost, before or after the write takes effect. Only the apply
/// ID in the object shows whose write it was.
#[tokio::test]
async fn a_lost_response_to_an_apply_is_resolved_by_reading_back() {
    type Fault = fn(&Platform);
    let cases: [(Fault, bool); 3] = [
        (|p| p.faults().lose_answers(1), true),
        (|p| p.faults().lose_requests(1), true),
        (|p| p.faults().lose_requests(9), false),
    ];
    for (inject_fault, is_applied) in cases {
        let platform = platform().await;
        let store = store(&platform);
        inject_fault(&platform);
        let result = apply_config(&store, None, config(1, "a")).await;
        assert_eq!(matches!(result, ApplyResult::Applied { .. }), is_applied);
        assert_eq!(result == ApplyResult::Unknown, !is_applied);
    }
}

fn lease(platform: &Platform, holder: &str, incarnation: u64, ttl: Duration) -> Lease {
    let settings = LeaseSettings {
        holder: holder.into(),
        incarnation: Incarnation(incarnation),
        ttl,
    };
    Lease::new(store(platform), "engines".into(), settings)
}

#[tokio::test]
async fn a_lease_is_held_by_one_instance_and_renewed_and_released() {
    let platform = platform().await;
    let (mut a, mut b) = (
        lease(&platform, "a", 1, LONG),
        lease(&platform, "b", 1, LONG),
    );
    let mut held = a.acquire().await.unwrap();
    let fence = held.fence().unwrap();
    assert_eq!(b.acquire().await.unwrap_err(), LeaseError::HeldByOther);
    let until = held.expires_at();
    a.renew(&mut held).await.unwrap();
    assert!(held.expires_at() > until);
    assert_eq!(held.fence(), Some(fence));
    a.release(held).await.unwrap();
    assert!(b.acquire().await.unwrap().fence().unwrap() > fence);
}

/// Guards against two instances sending orders to the same upstreams. The holder is paused until
/// its lease has expired, and another instance acquires it before the first resumes. The holder
/// must check its clock before it acts.
#[tokio::test]
async fn an_expired_lease_gives_no_fence_and_cannot_be_renewed() {
    let platform = platform().await;
    let mut a = lease(&platform, "a", 1, SHORT);
    // A new incarnation of the same instance is a different holder, because the old one may only be
    // paused.
    let mut b = lease(&platform, "a", 2, LONG);
    let mut held = a.acquire().await.unwrap();
    let old = held.fence_at(held.expires_at());
    assert_eq!(old, None);
    assert_eq!(b.acquire().await.unwrap_err(), LeaseError::HeldByOther);
    tokio::time::sleep(SHORT.mul_f64(1.2)).await;
    assert_eq!(held.fence(), None);
    let taken = b.acquire().await.unwrap();
    assert!(taken.fence().is_some());
    assert_eq!(a.renew(&mut held).await, Err(LeaseError::Expired));
    assert_eq!(a.release(held).await, Err(LeaseError::HeldByOther));
}

#[tokio::test]
async fn a_lost_response_to_a_lease_write_is_read_back_or_unknown() {
    let platform = platform().await;
    let mut a = lease(&platform, "a", 1, LONG);
    platform.faults().lose_answers(1);
    let held = a.acquire().await.unwrap();
    let version = platform
        .object(tc_platform::LEASE_KIND, "engines")
        .unwrap()
        .0;
    assert_eq!(held.fence(), Some(version));
    platform.faults().lose_requests(9);
    let mut held = held;
    assert_eq!(a.renew(&mut held).await, Err(LeaseError::Unknown));
    platform.faults().lose_requests(0);
    assert!(a.acquire().await.unwrap().fence() > Some(version));
}

#[tokio::test]
async fn quarantine_is_added_listed_and_removed_once() {
    let platform = platform().await;
    let store = store(&platform);
    let entry = Quarantined {
        fingerprint: Fingerprint(7),
        workspace: "trinacria".into(),
        service: "generate".into(),
        crashes: 2,
        added_at_ms: 1,
    };
    platform.faults().lose_answers(1);
    add_quarantined(&store, &entry).await.unwrap();
    add_quarantined(&store, &entry).await.unwrap();
    assert_eq!(list_quarantined(&store).await.unwrap(), [entry]);
    assert_eq!(remove_quarantined(&store, Fingerprint(7)).await, Ok(true));
    assert_eq!(remove_quarantined(&store, Fingerprint(7)).await, Ok(false));
}
