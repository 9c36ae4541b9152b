//! Permits across several instances.

use std::time::Duration;

use crate::common::{permit_request, run, start_settled, wait_until};
use tc_protocol::{Cost, Outcome, RefusalReason, RunState};

const SLACK: Duration = Duration::from_secs(5);
const SHORT_SLACK: Duration = Duration::from_millis(300);

#[test]
fn slots_are_shared_by_all_instances() {
    // If each instance counted only its own calls, an upstream would get more concurrent calls than it has slots. The
    // home counts the calls of all instances. Here three instances request permits for the same upstream.
    run(async {
        let (_platform, instances) = start_settled(3, 1, 2).await;
        let first = instances[0]
            .fleet
            .request_permit(permit_request("a", SLACK))
            .await
            .unwrap();
        let second = instances[1]
            .fleet
            .request_permit(permit_request("b", SLACK))
            .await
            .unwrap();
        let refused = instances[2]
            .fleet
            .request_permit(permit_request("c", SHORT_SLACK))
            .await
            .unwrap_err();
        assert!(
            matches!(refused.reason, RefusalReason::TooLate),
            "{refused:?}"
        );
        first.settle(
            Outcome::Answered,
            RunState::Ran,
            Cost::default(),
            Duration::from_millis(5),
            None,
        );
        let third = instances[2]
            .fleet
            .request_permit(permit_request("d", SLACK))
            .await
            .unwrap();
        drop((second, third));
    });
}

#[test]
fn a_dropped_request_leaks_no_permit() {
    // A grant can cross the cancellation of its request. Whoever receives such a grant must release it. Otherwise the
    // slot stays unused until the permit expires. Here callers disconnect while their permit requests are queued.
    run(async {
        let (_platform, instances) = start_settled(2, 1, 1).await;
        for round in 0..20 {
            let holder = instances[round % 2]
                .fleet
                .request_permit(permit_request("holder", SLACK))
                .await
                .unwrap();
            let waiting = instances[(round + 1) % 2]
                .fleet
                .request_permit(permit_request("waiting", SLACK));
            let left = tokio::time::timeout(Duration::from_millis(round as u64), waiting).await;
            drop(left);
            drop(holder);
        }
        let last = instances[0]
            .fleet
            .request_permit(permit_request("last", SLACK))
            .await;
        assert!(last.is_ok(), "{last:?}");
    });
}

#[test]
fn a_new_home_learns_of_permits_in_use() {
    // After a home crashes, its successor does not know the permits in use unless the entries announce them. It would
    // grant them again, and the upstream would get up to twice as many calls as it has slots.
    run(async {
        let (_platform, mut instances) = start_settled(3, 1, 1).await;
        let home = instances[0].fleet.view().upstreams["encode"][0]
            .home
            .clone()
            .unwrap();
        let home_index = instances.iter().position(|i| i.member.id == home).unwrap();
        let mut crashed = instances.remove(home_index);
        let held = instances[0]
            .fleet
            .request_permit(permit_request("held", SLACK))
            .await
            .unwrap();
        crashed.crash();
        wait_until("the home moves", || {
            instances.iter().all(|i| {
                i.fleet.view().upstreams["encode"][0]
                    .home
                    .as_ref()
                    .is_some_and(|h| *h != home)
            })
        })
        .await;
        // The announcement is sent after the view changes, on the same streams as the permit request below.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let refused = instances[1]
            .fleet
            .request_permit(permit_request("second", SHORT_SLACK))
            .await;
        assert!(refused.is_err(), "the upstream's only slot is in use");
        drop(held);
        assert!(
            instances[1]
                .fleet
                .request_permit(permit_request("third", SLACK))
                .await
                .is_ok()
        );
    });
}

#[test]
fn the_permits_of_a_crashed_entry_are_released() {
    // An entry that crashes cannot release its permits. Unless membership tells the home, upstreams stay full until the
    // permits expire, which takes half a minute here. The entry in this test holds all permits when it crashes.
    run(async {
        let (_platform, mut instances) = start_settled(3, 1, 1).await;
        let home = instances[0].fleet.view().upstreams["encode"][0]
            .home
            .clone()
            .unwrap();
        let entry_index = instances.iter().position(|i| i.member.id != home).unwrap();
        let mut entry = instances.remove(entry_index);
        let held = entry
            .fleet
            .request_permit(permit_request("held", SLACK))
            .await
            .unwrap();
        entry.crash();
        std::mem::forget(held);
        let slack = Duration::from_secs(10);
        let granted = instances[0]
            .fleet
            .request_permit(permit_request("next", slack))
            .await;
        assert!(granted.is_ok(), "{granted:?}");
    });
}

#[test]
fn a_queued_request_is_granted_by_the_new_home() {
    // A home that leaves redirects its queued requests. The entry must send them to the new home and not treat the
    // redirect as a refusal. Otherwise requests fail with "no upstream" whenever the home of a service's only upstream
    // shuts down. Here a request is queued for the upstream's only slot when the home leaves, and the slot is released
    // afterwards.
    run(async {
        let (_platform, instances) = start_settled(3, 1, 1).await;
        let home = instances[0].fleet.view().upstreams["encode"][0]
            .home
            .clone()
            .unwrap();
        let others: Vec<_> = instances.iter().filter(|i| i.member.id != home).collect();
        let leaving = instances.iter().find(|i| i.member.id == home).unwrap();
        let holder = others[0]
            .fleet
            .request_permit(permit_request("holder", SLACK))
            .await
            .unwrap();
        let waiting = tokio::spawn(
            others[1]
                .fleet
                .request_permit(permit_request("waiting", SLACK)),
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
        leaving.fleet.leave();
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert!(
            !waiting.is_finished(),
            "the queued request was refused: {:?}",
            waiting.await
        );
        drop(holder);
        let granted = waiting.await.unwrap();
        assert!(granted.is_ok(), "{granted:?}");
    });
}
