//! Whether the instances that keep the origins of streams can know all streams of a content.
//!
//! A caller that names no attempt is matched by the content of its request. A record with that content says nothing if
//! another stream with it may have begun earlier, at another version, and all copies of its origin are lost.

use std::time::Duration;

use tc_protocol::{
    InstanceId, Member, MonoTime,
    routing::{OriginAnswer, OriginCoverage},
};

use crate::OriginGroup;

#[derive(Clone, Copy, Debug)]
struct Held {
    since: MonoTime,
    holders: u32,
}

/// Time since which an instance has been one of the holders of each group.
#[derive(Clone, Debug, Default)]
pub struct CoverageLog {
    groups: [Option<Held>; OriginGroup::COUNT],
}

impl CoverageLog {
    /// Applies the current holders of a group.
    ///
    /// A group that loses a holder without another one in its place is held from now on, as the lost holder no longer counts
    /// towards the majority.
    pub fn update<'a>(
        &mut self,
        now: MonoTime,
        me: &InstanceId,
        group: OriginGroup,
        holders: impl IntoIterator<Item = &'a Member>,
    ) {
        let held = &mut self.groups[group.index()];
        let (mut count, mut is_holder) = (0, false);
        for holder in holders {
            count += 1;
            is_holder |= holder.id == *me;
        }
        let since = held
            .filter(|held| held.holders <= count)
            .map_or(now, |held| held.since);
        *held = is_holder.then_some(Held {
            since,
            holders: count,
        });
    }

    /// Records a pause of the process, in which it missed origins that others sent.
    pub fn restart(&mut self, now: MonoTime) {
        for held in self.groups.iter_mut().flatten() {
            held.since = now;
        }
    }

    /// Returns the coverage of a group; `None` if this instance is not one of its holders.
    #[must_use]
    pub fn of(&self, now: MonoTime, group: OriginGroup) -> Option<OriginCoverage> {
        let held = self.groups[group.index()]?;
        Some(OriginCoverage {
            held_for: now.since(held.since),
            holders: held.holders,
        })
    }
}

/// Returns true if the instances that answered would know of every stream that began within `window`: a majority of the
/// holders has kept all origins since then.
///
/// ```
/// use std::time::Duration;
/// use tc_membership::covers;
/// use tc_protocol::routing::{OriginAnswer, OriginCoverage};
/// let holder = |seconds| OriginAnswer {
///     record: None,
///     coverage: Some(OriginCoverage { held_for: Duration::from_secs(seconds), holders: 3 }),
/// };
/// let window = Duration::from_secs(10);
/// assert!(covers(&[holder(60), holder(12), holder(1)], window));
/// assert!(!covers(&[holder(60), holder(1), holder(1)], window));
/// ```
#[must_use]
pub fn covers(answers: &[OriginAnswer], window: Duration) -> bool {
    let covered = answers.iter().filter_map(|answer| answer.coverage);
    let covered: Vec<OriginCoverage> = covered.filter(|c| c.held_for >= window).collect();
    let holders = covered.iter().map(|coverage| coverage.holders).max();
    holders.is_some_and(|holders| covered.len() as u32 * 2 > holders)
}
