//! Permits over several instances.

use std::time::Duration;

use crate::common::{ask, run, settled, until};
use tc_protocol::{Cost, Outcome, RefusalReason, RunState};

const SLACK: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(300);

#[test]
fn one_upstream_is_shared_by_all_instances() {
    // Symptom: an upstream gets more calls at once than its slots.
    // Sequence: three instances ask for the same upstream at the same time.
    // Cause: each would count only its own calls; the home counts all.
    run(async {
        let (_platform, instances) = settled(3, 1, 2).await;
        let first = instances[0]
            .fleet
            .request_permit(ask("a", SLACK))
            .await
            .unwrap();
        let second = instances[1]
            .fleet
            .request_permit(ask("b", SLACK))
            .await
            .unwrap();
        let refused = instances[2]
            .fleet
            .request_permit(ask("c", SHORT))
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
            .request_permit(ask("d", SLACK))
            .await
            .unwrap();
        drop((second, third));
    });
}

#[test]
fn a_dropped_ask_leaks_no_permit() {
    // Symptom: an upstream stays below its concurrency until permits expire.
    // Sequence: callers leave while their asks wait; the slot becomes free; nobody gets it.
    // Cause: a grant that crosses the cancel of its ask must be given back by whoever finds it.
    run(async {
        let (_platform, instances) = settled(2, 1, 1).await;
        for round in 0..20 {
            let holder = instances[round % 2]
                .fleet
                .request_permit(ask("holder", SLACK))
                .await
                .unwrap();
            let waiting = instances[(round + 1) % 2]
                .fleet
                .request_permit(ask("waiting", SLACK));
            let left = tokio::time::timeout(Duration::from_millis(round as u64), waiting).await;
            drop(left);
            drop(holder);
        }
        let last = instances[0].fleet.request_permit(ask("last", SLACK)).await;
        assert!(last.is_ok(), "{last:?}");
    });
}

#[test]
fn a_new_home_learns_of_permits_in_use() {
    // Symptom: after an instance dies, its upstreams get up to twice their slots.
    // Sequence: permits are out; their home crashes; another instance becomes home and grants anew.
    // Cause: the new home counts from nothing unless the entries announce what they hold.
    run(async {
        let (_platform, mut instances) = settled(3, 1, 1).await;
        let home = instances[0].fleet.view().upstreams["encode"][0]
            .home
            .clone()
            .unwrap();
        let home_at = instances.iter().position(|i| i.member.id == home).unwrap();
        let mut crashed = instances.remove(home_at);
        let held = instances[0]
            .fleet
            .request_permit(ask("held", SLACK))
            .await
            .unwrap();
        crashed.crash();
        until("the home moves", || {
            instances.iter().all(|i| {
                i.fleet.view().upstreams["encode"][0]
                    .home
                    .as_ref()
                    .is_some_and(|h| *h != home)
            })
        })
        .await;
        // The announcement follows the view on the same streams as the ask below.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let refused = instances[1]
            .fleet
            .request_permit(ask("second", SHORT))
            .await;
        assert!(refused.is_err(), "the upstream's only slot is in use");
        drop(held);
        assert!(
            instances[1]
                .fleet
                .request_permit(ask("third", SLACK))
                .await
                .is_ok()
        );
    });
}

#[test]
fn the_permits_of_a_dead_entry_end() {
    // Symptom: after an entry dies, upstreams stay full until its permits expire, here for half a minute.
    // Sequence: an entry takes all permits and crashes.
    // Cause: nobody is left to release them; membership must tell the home.
    run(async {
        let (_platform, mut instances) = settled(3, 1, 1).await;
        let home = instances[0].fleet.view().upstreams["encode"][0]
            .home
            .clone()
            .unwrap();
        let entry_at = instances.iter().position(|i| i.member.id != home).unwrap();
        let mut entry = instances.remove(entry_at);
        let held = entry
            .fleet
            .request_permit(ask("held", SLACK))
            .await
            .unwrap();
        entry.crash();
        std::mem::forget(held);
        let patience = Duration::from_secs(10);
        let granted = instances[0]
            .fleet
            .request_permit(ask("next", patience))
            .await;
        assert!(granted.is_ok(), "{granted:?}");
    });
}

#[test]
fn an_ask_that_waits_at_a_home_that_moves_is_granted_by_the_new_one() {
    // Symptom: requests fail with "no upstream" whenever the home of a service's only upstream stops as planned.
    // Sequence: the upstream's one slot is taken, an ask waits; the home leaves; the slot becomes free.
    // Cause: the old home sends its waiting asks away; the entry must ask the new one, not take it for a refusal.
    run(async {
        let (_platform, instances) = settled(3, 1, 1).await;
        let home = instances[0].fleet.view().upstreams["encode"][0]
            .home
            .clone()
            .unwrap();
        let others: Vec<_> = instances.iter().filter(|i| i.member.id != home).collect();
        let leaving = instances.iter().find(|i| i.member.id == home).unwrap();
        let holder = others[0]
            .fleet
            .request_permit(ask("holder", SLACK))
            .await
            .unwrap();
        let waiting = tokio::spawn(others[1].fleet.request_permit(ask("waiting", SLACK)));
        tokio::time::sleep(Duration::from_millis(200)).await;
        leaving.fleet.leave();
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert!(
            !waiting.is_finished(),
            "it was sent away: {:?}",
            waiting.await
        );
        drop(holder);
        let granted = waiting.await.unwrap();
        assert!(granted.is_ok(), "{granted:?}");
    });
}
