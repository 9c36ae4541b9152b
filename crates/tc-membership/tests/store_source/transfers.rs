//! Updates that take long to transfer.

use std::time::Duration;

use tc_membership::{SourceTiming, StoreSource};
use tc_protocol::MonoTime;

use crate::fleet::{id, members};

const BOUND: Duration = Duration::from_secs(2);
/// Interval between two parts of an update.
const PART_INTERVAL: Duration = Duration::from_millis(50);

/// A follower that has just got a confirmation.
struct Follower {
    timing: SourceTiming,
    source: StoreSource,
    confirmed: MonoTime,
    now: MonoTime,
}

impl Follower {
    fn new() -> Self {
        let timing = SourceTiming::within(BOUND);
        let mut now = MonoTime::from_millis(1_000);
        let mut source = StoreSource::new(id(8), timing, now);
        source.update_members(&members(40));
        source.mark_settled();
        let sender = source.source(now).expect("a source");
        now = now.after(timing.heartbeat_interval);
        source.record_confirmation(now, &sender, now);
        assert!(!source.should_watch(now), "not a watcher");
        Self {
            timing,
            source,
            confirmed: now,
            now,
        }
    }

    /// Receives parts of one update for `time`.
    fn receive_parts(&mut self, time: Duration) {
        let sender = self.source.source(self.now);
        let sender = sender.expect("a source");
        let ends = self.now.after(time);
        while self.now < ends {
            self.now = self.now.after(PART_INTERVAL);
            assert_eq!(
                self.source.source(self.now).as_ref(),
                Some(&sender),
                "another source would begin the transfer again"
            );
            let reads_after = self.timing.watch_after + self.timing.heartbeat_interval;
            let is_due = self.now.since(self.confirmed) >= reads_after;
            assert_eq!(self.source.should_watch(self.now), is_due, "{:?}", self.now);
            self.source.record_partial_update(self.now, &sender);
        }
    }
}

/// Guards against updates that never arrive over a slow link, because the follower takes its source for outdated before the
/// update is complete, and begins again with another one; and against reads of the store that share the link with the last
/// part of an update, or that never begin as one source after the other is lost.
#[test]
fn source_is_kept_while_it_sends_an_update_in_parts() {
    let mut follower = Follower::new();
    let sender = follower.source.source(follower.now).expect("a source");
    follower.receive_parts(BOUND);
    let now = follower.now;
    follower.source.record_confirmation(now, &sender, now);
    assert_eq!(follower.source.source(now), Some(sender));
}

/// Guards against a follower that waits for the rest of an update whose source is lost.
#[test]
fn source_that_falls_silent_within_an_update_is_left() {
    let mut follower = Follower::new();
    let sender = follower.source.source(follower.now).expect("a source");
    follower.receive_parts(BOUND);
    let later = follower
        .now
        .after(follower.timing.silence_timeout + PART_INTERVAL);
    assert!(follower.source.should_watch(later));
    assert_ne!(follower.source.source(later), Some(sender));
}
