//! Times as of which the parts of the store are confirmed.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use tc_protocol::MonoTime;
use tokio::sync::watch::{Receiver, Sender};

/// The parts of the store that are read independently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorldPart {
    Config,
    Upstreams,
    Evacuations,
}

impl WorldPart {
    pub(super) const ALL: [Self; PART_COUNT] = [Self::Config, Self::Upstreams, Self::Evacuations];
}

/// Number of variants of [`WorldPart`].
pub(super) const PART_COUNT: usize = 3;

/// Time as of which each part is confirmed, which means that it includes every change that the
/// store had accepted by then.
pub(super) struct Confirmations {
    /// In microseconds of [`MonoTime`]; 0 for a part without a confirmation, `u64::MAX` for a
    /// disabled part.
    by_part: [AtomicU64; PART_COUNT],
    /// Sends the time as of which all parts are confirmed, when it changes.
    oldest: Sender<MonoTime>,
}

impl Default for Confirmations {
    fn default() -> Self {
        Self {
            by_part: Default::default(),
            oldest: Sender::new(MonoTime::default()),
        }
    }
}

impl Confirmations {
    pub(super) fn confirm(&self, parts: &[WorldPart], as_of: MonoTime) {
        for part in parts {
            self.by_part[*part as usize].fetch_max(as_of.0, Ordering::AcqRel);
        }
        let oldest = self.oldest();
        self.oldest
            .send_if_modified(|known| std::mem::replace(known, oldest) != oldest);
    }

    /// Marks a part as always confirmed.
    pub(super) fn disable(&self, part: WorldPart) {
        self.by_part[part as usize].store(u64::MAX, Ordering::Release);
    }

    /// Drops all confirmations. A disabled part stays confirmed.
    pub(super) fn reset(&self) {
        for part in &self.by_part {
            let _ = part.fetch_update(Ordering::AcqRel, Ordering::Acquire, |time| {
                (time != u64::MAX).then_some(0)
            });
        }
    }

    pub(super) fn of(&self, part: WorldPart) -> MonoTime {
        MonoTime(self.by_part[part as usize].load(Ordering::Acquire))
    }

    /// Returns the time as of which all parts are confirmed.
    pub(super) fn oldest(&self) -> MonoTime {
        let times = self.by_part.iter();
        let oldest = times.map(|time| time.load(Ordering::Acquire)).min();
        MonoTime(oldest.unwrap_or_default())
    }

    /// Returns a receiver of the time as of which all parts are confirmed.
    pub(super) fn subscribe(&self) -> Receiver<MonoTime> {
        self.oldest.subscribe()
    }
}

/// Returns the age of a confirmation, or `None` if there is none.
///
/// One from before the start of this process is at the origin of the clock, as another instance may report it. Its age is
/// unknown: the time since the origin is only that of this process.
pub(super) fn age_of_confirmation(now: MonoTime, confirmed: MonoTime) -> Option<Duration> {
    (confirmed > MonoTime::default()).then(|| now.since(confirmed))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a process that has just started and takes what another instance knew long ago for as recent as its own
    /// start.
    #[test]
    fn confirmation_from_before_the_start_has_no_age() {
        let started = MonoTime::from_millis(40);
        let reported = started.offset_by_millis(-5_000);
        let now = MonoTime::from_millis(900);
        assert_eq!(age_of_confirmation(now, reported), None);
        assert_eq!(age_of_confirmation(now, MonoTime::default()), None);
        let recent = Some(Duration::from_millis(860));
        assert_eq!(age_of_confirmation(now, started), recent);
    }
}
