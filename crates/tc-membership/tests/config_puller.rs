//! Configuration pulls: which source an instance pulls from, and that it never reverts to an older
//! revision.

use std::time::Duration;

use tc_membership::{ConfigPuller, Pull};
use tc_protocol::{InstanceId, MonoTime};

const NOW: MonoTime = MonoTime::from_millis(1_000);
const LATER: MonoTime = MonoTime::from_millis(60_000);

fn peer(name: &str) -> InstanceId {
    name.into()
}

/// Returns an instance with revision 3 active that knows of revision 5 at `a` and 4 at `b`.
fn outdated_puller() -> ConfigPuller {
    let mut puller = ConfigPuller::new(1);
    assert!(puller.activate(3));
    puller.record_peer_revision(NOW, &peer("a"), 5);
    puller.record_peer_revision(NOW, &peer("b"), 4);
    puller
}

#[test]
fn never_activates_a_lower_revision() {
    // Guards against reverting to an older configuration because the last response is taken for the
    // newest. Responses to several pulls arrive out of order or twice.
    let mut puller = ConfigPuller::new(1);
    for (revision, is_activated, active_revision) in [
        (4, true, 4),
        (3, false, 4),
        (4, false, 4),
        (6, true, 6),
        (5, false, 6),
    ] {
        assert_eq!(puller.activate(revision), is_activated);
        assert_eq!(puller.active_revision(), active_revision);
    }
}

#[test]
fn pulls_the_newest_then_others_then_the_platform() {
    // Guards against an instance never getting a configuration that others have, because it keeps
    // trying the same source, which died or refuses.
    let mut puller = outdated_puller();
    assert_eq!(puller.next_pull(NOW, false, true), Pull::Peer(peer("a")));
    assert_eq!(
        puller.next_pull(NOW, false, true),
        Pull::Nothing,
        "one pull at a time"
    );
    puller.pull_failed(NOW, &peer("a"));
    assert_eq!(puller.next_pull(NOW, false, true), Pull::Peer(peer("b")));
    puller.pull_failed(NOW, &peer("b"));
    assert_eq!(
        puller.next_pull(NOW, false, true),
        Pull::Nothing,
        "both are backed off"
    );
    puller.pull_failed(NOW, &peer("b"));
    assert_eq!(
        puller.next_pull(NOW, false, false),
        Pull::Nothing,
        "the store is unreachable"
    );
    assert_eq!(puller.next_pull(NOW, false, true), Pull::Platform);
    assert_eq!(
        puller.next_pull(LATER, false, true),
        Pull::Peer(peer("a")),
        "a backoff ends"
    );
}

#[test]
fn pull_without_a_result_times_out() {
    // Guards against an instance staying on an old configuration forever, because its pull was
    // dropped without reporting a result and still counts as in progress.
    let mut puller = outdated_puller();
    assert_eq!(puller.next_pull(NOW, false, false), Pull::Peer(peer("a")));
    let after = NOW.after(Duration::from_secs(6));
    assert_eq!(puller.next_pull(after, false, false), Pull::Peer(peer("b")));
}

#[test]
fn invalid_revision_is_not_pulled_again() {
    // Guards against every instance pulling the same invalid configuration repeatedly, because only
    // the active revision is compared while other instances keep announcing the rejected one.
    let mut puller = outdated_puller();
    puller.next_pull(NOW, false, false);
    puller.reject(5);
    assert_eq!((puller.active_revision(), puller.rejections()), (3, 1));
    puller.record_peer_revision(NOW, &peer("c"), 5);
    assert_eq!(puller.next_pull(NOW, false, false), Pull::Peer(peer("b")));
    puller.activate(4);
    assert_eq!(puller.next_pull(LATER, false, false), Pull::Nothing);
    puller.record_peer_revision(LATER, &peer("c"), 6);
    assert_eq!(puller.next_pull(LATER, false, false), Pull::Peer(peer("c")));
}

#[test]
fn only_watchers_or_instances_without_a_source_ask_the_platform() {
    let cases = [
        (
            "a fresh instance that knows nobody",
            0,
            0,
            false,
            true,
            Pull::Platform,
        ),
        (
            "none while the store is unreachable",
            0,
            0,
            true,
            false,
            Pull::Nothing,
        ),
        (
            "a fresh instance pulls from a peer",
            0,
            2,
            true,
            true,
            Pull::Peer(peer("p")),
        ),
        ("an up-to-date watcher", 2, 2, true, true, Pull::Platform),
        (
            "an up-to-date instance that is not a watcher",
            2,
            2,
            false,
            true,
            Pull::Nothing,
        ),
    ];
    for (name, active_revision, peer_revision, is_watcher, store_reachable, expected) in cases {
        let mut puller = ConfigPuller::new(1);
        puller.activate(active_revision);
        if peer_revision > 0 {
            puller.record_peer_revision(NOW, &peer("p"), peer_revision);
        }
        assert_eq!(
            puller.next_pull(NOW, is_watcher, store_reachable),
            expected,
            "{name}"
        );
    }
}
