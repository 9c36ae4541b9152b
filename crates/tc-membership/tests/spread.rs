//! Configuration spread: whom an instance pulls from, and that it never goes back.

use std::time::Duration;

use tc_membership::{Pull, Spread};
use tc_protocol::{InstanceId, MonoTime};

const NOW: MonoTime = MonoTime::from_millis(1_000);
const LATER: MonoTime = MonoTime::from_millis(60_000);

fn peer(name: &str) -> InstanceId {
    name.into()
}

/// An instance with revision 3 in force that has heard of 5 at `a` and 4 at `b`.
fn behind() -> Spread {
    let mut spread = Spread::new(1);
    assert!(spread.applied(3));
    spread.heard(NOW, &peer("a"), 5);
    spread.heard(NOW, &peer("b"), 4);
    spread
}

#[test]
fn never_applies_a_lower_revision() {
    // Symptom: an accepted configuration reverts somewhere.
    // Sequence: answers to several pulls arrive out of order, the older one last, or twice.
    // Cause: the answer that came last is taken for the newest.
    let mut spread = Spread::new(1);
    for (revision, applied, in_force) in [
        (4, true, 4),
        (3, false, 4),
        (4, false, 4),
        (6, true, 6),
        (5, false, 6),
    ] {
        assert_eq!(spread.applied(revision), applied);
        assert_eq!(spread.in_force(), in_force);
    }
}

#[test]
fn pulls_the_newest_then_others_then_the_platform() {
    // Symptom: a new configuration never reaches an instance though others have it.
    // Sequence: the instance that has it dies or refuses during the pull.
    // Cause: the same source is tried for ever.
    let mut spread = behind();
    assert_eq!(spread.next_pull(NOW, false, true), Pull::From(peer("a")));
    assert_eq!(
        spread.next_pull(NOW, false, true),
        Pull::Nothing,
        "one pull at a time"
    );
    spread.pull_failed(NOW, &peer("a"));
    assert_eq!(spread.next_pull(NOW, false, true), Pull::From(peer("b")));
    spread.pull_failed(NOW, &peer("b"));
    assert_eq!(
        spread.next_pull(NOW, false, true),
        Pull::Nothing,
        "both are backed off"
    );
    spread.pull_failed(NOW, &peer("b"));
    assert_eq!(
        spread.next_pull(NOW, false, false),
        Pull::Nothing,
        "the store is out"
    );
    assert_eq!(spread.next_pull(NOW, false, true), Pull::Platform);
    assert_eq!(
        spread.next_pull(LATER, false, true),
        Pull::From(peer("a")),
        "a backoff ends"
    );
}

#[test]
fn lost_end_of_a_pull_times_out() {
    // Symptom: an instance stays on an old configuration for good.
    // Sequence: a pull starts; its task is dropped, so neither success nor failure is told.
    // Cause: the pull counts as in progress for ever.
    let mut spread = behind();
    assert_eq!(spread.next_pull(NOW, false, false), Pull::From(peer("a")));
    let after = NOW.after(Duration::from_secs(6));
    assert_eq!(spread.next_pull(after, false, false), Pull::From(peer("b")));
}

#[test]
fn invalid_revision_is_not_pulled_again() {
    // Symptom: every instance pulls the same broken configuration over and over.
    // Sequence: a revision is rejected; its holders keep announcing it; a later one comes.
    // Cause: only the revision in force is compared.
    let mut spread = behind();
    spread.next_pull(NOW, false, false);
    spread.rejected(5);
    assert_eq!((spread.in_force(), spread.rejections()), (3, 1));
    spread.heard(NOW, &peer("c"), 5);
    assert_eq!(spread.next_pull(NOW, false, false), Pull::From(peer("b")));
    spread.applied(4);
    assert_eq!(spread.next_pull(LATER, false, false), Pull::Nothing);
    spread.heard(LATER, &peer("c"), 6);
    assert_eq!(spread.next_pull(LATER, false, false), Pull::From(peer("c")));
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
            Pull::From(peer("p")),
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
        let mut spread = Spread::new(1);
        spread.applied(in_force);
        if heard > 0 {
            spread.heard(NOW, &peer("p"), heard);
        }
        assert_eq!(
            spread.next_pull(NOW, watcher, reachable),
            expected,
            "{name}"
        );
    }
}
