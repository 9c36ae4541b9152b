//! When a lease begins and ends: never two holders, whatever the store's answers take.

mod common;

use std::time::Duration;

use common::{platform, settings, store};
use tc_platform::{HeldLease, Lease, LeaseError, LeaseSettings, Store, StoreSettings};
use tc_protocol::Incarnation;

const TTL: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_mins(1);
/// Between two tries to take over, much shorter than the lease.
const POLL: Duration = Duration::from_millis(5);
const TAKEOVERS: usize = 4;
/// Far longer than any answer here takes.
const TIMEOUT: Duration = Duration::from_secs(20);

fn lease(store: Store, holder: &str, ttl: Duration) -> Lease {
    let settings = LeaseSettings {
        holder: holder.into(),
        incarnation: Incarnation(1),
        ttl,
    };
    Lease::new(store, "engines".into(), settings)
}

async fn take_over(lease: &mut Lease) -> HeldLease {
    loop {
        match lease.acquire().await {
            Ok(held) => return held,
            Err(LeaseError::HeldByOther) => tokio::time::sleep(POLL).await,
            Err(error) => panic!("{error}"),
        }
    }
}

/// Symptom: two instances give orders to one upstream at once.
/// Sequence: the holder renews and then stops; another instance tries all the time and takes over.
/// Cause: the other counts the lease's time from too early, or the holder from too late.
#[tokio::test]
async fn a_holder_stops_before_another_can_start() {
    let platform = platform().await;
    let mut names = ["a", "b"].map(|name| lease(store(&platform), name, TTL));
    let mut held = take_over(&mut names[0]).await;
    for _ in 0..TAKEOVERS {
        let [holder, other] = &mut names;
        // Fails on a machine so busy that the lease is over already, which is one more way of stopping.
        let renewed = holder.renew(&mut held).await;
        assert!(matches!(renewed, Ok(()) | Err(LeaseError::Expired)));
        let next = take_over(other).await;
        assert_eq!(held.fence(), None);
        assert!(next.expires_at() > held.expires_at());
        held = next;
        names.reverse();
    }
}

/// Symptom: two holders after a slow answer.
/// Sequence: the write that takes the lease takes effect, and its answer comes when the lease is over.
/// Cause: the lease's time is counted from the answer instead of from before the write was sent.
#[tokio::test]
async fn an_answer_that_comes_after_the_lease_is_over_gives_no_fence() {
    let platform = platform().await;
    let patient = Store::new(StoreSettings {
        timeout: TIMEOUT,
        ..settings(&platform)
    });
    let mut lease = lease(patient, "a", TTL);
    platform.faults().set_slow(TTL * 2);
    let held = lease.acquire().await.unwrap();
    assert_eq!(held.fence(), None);
}

/// Symptom: an instance goes on with a lease that is no longer its own.
/// Sequence: its object was written by someone else since, each time in another way.
/// Cause: a renewal that does not name the version it is based on.
#[tokio::test]
async fn a_lease_written_by_another_cannot_be_renewed() {
    for released in [false, true] {
        let platform = platform().await;
        let mut first = lease(store(&platform), "a", LONG);
        // The same holder under the same incarnation: it may take the lease at once.
        let mut second = lease(store(&platform), "a", LONG);
        let mut held = take_over(&mut first).await;
        let newer = take_over(&mut second).await;
        if released {
            second.release(newer).await.unwrap();
        }
        let renewed = first.renew(&mut held).await;
        assert_eq!(
            renewed,
            Err(LeaseError::HeldByOther),
            "released: {released}"
        );
    }
}
