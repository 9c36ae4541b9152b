//! Configuration spread: whom an instance pulls from, and that it never goes back.

use std::time::Duration;

use tc_membership::{ConfigPuller, Pull};
use tc_protocol::{InstanceId, MonoTime};

const NOW: MonoTime = MonoTime::from_millis(1_000);
const LATER: MonoTime = MonoTime::from_millis(60_000);

fn peer(name: &str) -> InstanceId {
    name.into()
}

/// An instance with revision 3 in force that has heard of 5 at `a` and 4 at `b`.
fn behind() -> ConfigPuller {
    let mut puller = ConfigPuller::new(1);
    assert!(puller.activate(3));
    puller.note_peer_revision(NOW, &peer("a"), 5);
    puller.note_peer_revision(NOW, &peer("b"), 4);
    puller
}

#[test]
fn never_applies_a_lower_revision() {
    // Symptom: an accepted configuration reverts somewhere.
    // Sequence: answers to several pulls arrive out of order, the older one last, or twice.
    // Cause: the answer that came last is taken for the newest.
    let mut puller = ConfigPuller::new(1);
    for (revision, applied, in_force) in [
        (4, true, 4),
        (3, false, 4),
        (4, false, 4),
        (6, true, 6),
        (5, false, 6),
    ] {
        assert_eq!(puller.activate(revision), applied);
        assert_eq!(puller.active_revision(), in_force);
    }
}

#[test]
fn pulls_the_newest_then_others_then_the_platform() {
    // Symptom: a new configuration never reaches an instance though others have it.
    // Sequence: the instance that has it dies or refuses during the pull.
    // Cause: the same source is tried for ever.
    let mut puller = behind();
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
        "the store is out"
    );
    assert_eq!(puller.next_pull(NOW, false, true), Pull::Platform);
    assert_eq!(
        puller.next_pull(LATER, false, true),
        Pull::Peer(peer("a")),
        "a backoff ends"
    );
}

#[test]
fn lost_end_of_a_pull_times_out() {
    // Symptom: an instance stays on an old configuration for good.
    // Sequence: a pull starts; its task is dropped, so neither success nor failure is told.
    // Cause: the pull counts as in progress for ever.
    let mut puller = behind();
    assert_eq!(puller.next_pull(NOW, false, false), Pull::Peer(peer("a")));
    let after = NOW.after(Duration::from_secs(6));
    assert_eq!(puller.next_pull(after, false, false), Pull::Peer(peer("b")));
}

#[test]
fn invalid_revision_is_not_pulled_again() {
    // Symptom: every instance pulls the same broken configuration over and over.
    // Sequence: a revision is rejected; its holders keep announcing it; a later one comes.
    // Cause: only the revision in force is compared.
    let mut puller = behind();
    puller.next_pull(NOW, false, false);
    puller.reject(5);
    assert_eq!((puller.active_revision(), puller.rejections()), (3, 1));
    puller.note_peer_revision(NOW, &peer("c"), 5);
    assert_eq!(puller.next_pull(NOW, false, false), Pull::Peer(peer("b")));
    puller.activate(4);
    assert_eq!(puller.next_pull(LATER, false, false), Pull::Nothing);
    puller.note_peer_revision(LATER, &peer("c"), 6);
    assert_eq!(puller.next_pull(LATER, false, false), Pull::Peer(peer("c")));
}

#[test]
fn who_asks_the_platform() {
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
            "not while the store is out",
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
        (
            "a watcher that is up to date",
            2,
            2,
            true,
            true,
            Pull::Platform,
        ),
        (
            "no one else that is up to date",
            2,
            2,
            false,
            true,
            Pull::Nothing,
        ),
    ];
    for (name, in_force, heard, watcher, reachable, expected) in cases {
        let mut puller = ConfigPuller::new(1);
        puller.activate(in_force);
        if heard > 0 {
            puller.note_peer_revision(NOW, &peer("p"), heard);
        }
        assert_eq!(
            puller.next_pull(NOW, watcher, reachable),
            expected,
            "{name}"
        );
    }
}
