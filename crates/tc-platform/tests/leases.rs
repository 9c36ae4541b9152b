//! Tests that a lease never has two holders, however long the store's responses take.

mod common;

use std::time::Duration;

use common::{platform, settings, store};
use tc_platform::{HeldLease, Lease, LeaseError, LeaseSettings, Store, StoreSettings};
use tc_protocol::Incarnation;

const TTL: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_mins(1);
/// Interval between attempts to take over, much shorter than the lease.
const POLL: Duration = Duration::from_millis(5);
const TAKEOVERS: usize = 4;
/// Much longer than any response takes here.
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

/// Guards against two instances sending orders to one upstream at the same time. The holder renews
/// its lease and then stops, while another instance keeps trying to take over. It must not start
/// counting the lease's duration too early, nor the holder too late.
#[tokio::test]
async fn a_holder_stops_before_another_can_start() {
    let platform = platform().await;
    let mut leases = ["a", "b"].map(|name| lease(store(&platform), name, TTL));
    let mut held = take_over(&mut leases[0]).await;
    for _ in 0..TAKEOVERS {
        let [holder, other] = &mut leases;
        // On a very busy machine the lease may have expired already, which is another way for the
        // holder to stop.
        let renewed = holder.renew(&mut held).await;
        assert!(matches!(renewed, Ok(()) | Err(LeaseError::Expired)));
        let next = take_over(other).await;
        assert_eq!(held.fence(), None);
        assert!(next.expires_at() > held.expires_at());
        held = next;
        leases.reverse();
    }
}

/// Guards against two holders after a slow response. The write that acquires the lease takes
/// effect, and its response arrives after the lease has expired. The duration must be counted from
/// before the write was sent, not from the response.
#[tokio::test]
async fn a_response_after_the_lease_has_expired_gives_no_fence() {
    let platform = platform().await;
    let store_with_long_timeout = Store::new(StoreSettings {
        timeout: TIMEOUT,
        ..settings(&platform)
    });
    let mut lease = lease(store_with_long_timeout, "a", TTL);
    platform.faults().set_slow(TTL * 2);
    let held = lease.acquire().await.unwrap();
    assert_eq!(held.fence(), None);
}

/// Guards against an instance continuing with a lease that it no longer holds. Another writer has
/// changed the lease object, in a different way in each case. A renewal must therefore name the
/// version it is based on.
#[tokio::test]
async fn a_lease_written_by_another_cannot_be_renewed() {
    for released in [false, true] {
        let platform = platform().await;
        let mut first = lease(store(&platform), "a", LONG);
        // The same holder with the same incarnation may acquire the lease immediately.
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
