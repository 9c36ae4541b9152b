//! Whether a stream may be matched by content although most holders of its group were killed.
//!
//! A majority of the holders that kept all origins knows every stream of a content, also if one of them was behind a cut.
//! A holder whose process has ended is no evidence of a cut, so that the others need no majority over it.

use std::time::Duration;

use tc_protocol::{Member, MonoTime, routing::OriginCoverage};

use crate::OriginGroup;

/// Longest time for which former holders are kept: the longest time for which a stream may be resumed.
const MAX_HISTORY: Duration = Duration::from_mins(3);
/// Maximum number of former holders of a group; with more, the history begins anew.
const MAX_FORMER: usize = 32;

/// Finding of an instance about a holder of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderFinding {
    /// It answered, with its coverage if it is a holder at present.
    Answered(Option<OriginCoverage>),
    /// Its process has ended: its machine refuses connections, or another process has taken its address.
    Ended,
    /// It did not answer, so that it may be behind a cut.
    Unreachable,
}

#[derive(Clone, Debug)]
struct Tenure {
    holder: Member,
    since: MonoTime,
    until: Option<MonoTime>,
}

#[derive(Clone, Debug, Default)]
struct GroupLog {
    since: Option<MonoTime>,
    tenures: Vec<Tenure>,
}

/// The holders of each group as one instance saw them over time.
#[derive(Clone, Debug, Default)]
pub struct HolderLog {
    groups: [GroupLog; OriginGroup::COUNT],
}

impl HolderLog {
    /// Applies the current holders of a group.
    pub fn update<'a>(
        &mut self,
        now: MonoTime,
        group: OriginGroup,
        holders: impl IntoIterator<Item = &'a Member>,
    ) {
        let holders: Vec<&Member> = holders.into_iter().collect();
        let log = &mut self.groups[group.index()];
        for tenure in log.tenures.iter_mut().filter(|t| t.until.is_none()) {
            if !holders.iter().any(|holder| holder.id == tenure.holder.id) {
                tenure.until = Some(now);
            }
        }
        log.tenures
            .retain(|t| t.until.is_none_or(|until| now.since(until) < MAX_HISTORY));
        for holder in holders {
            let is_known = |t: &Tenure| t.until.is_none() && t.holder.id == holder.id;
            if !log.tenures.iter().any(is_known) {
                log.tenures.push(Tenure {
                    holder: holder.clone(),
                    since: now,
                    until: None,
                });
            }
        }
        if log.tenures.len() > MAX_FORMER {
            log.tenures.retain(|tenure| tenure.until.is_none());
            log.since = Some(now);
        }
        log.since.get_or_insert(now);
    }

    /// Begins anew after a pause of the process, in which holders may have changed without notice.
    pub fn restart(&mut self) {
        *self = Self::default();
    }

    /// Returns the members that were holders of a group within `window`.
    pub fn within(
        &self,
        now: MonoTime,
        group: OriginGroup,
        window: Duration,
    ) -> impl Iterator<Item = &Member> {
        self.tenures(now, group, window)
            .map(|tenure| &tenure.holder)
    }

    /// Returns true if the holders that have kept all origins for `window` outnumber those that may know others: holders
    /// within that time that neither kept all origins nor have ended.
    ///
    /// Returns false if this log does not cover the window.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_membership::{HolderFinding, HolderLog, OriginGroup};
    /// use tc_protocol::{MonoTime, routing::StreamKey};
    /// let log = HolderLog::default();
    /// let (now, window) = (MonoTime::from_millis(9_000), Duration::from_secs(1));
    /// let group = OriginGroup::of(StreamKey(1));
    /// assert!(!log.covers(now, group, window, |_| HolderFinding::Ended));
    /// ```
    pub fn covers(
        &self,
        now: MonoTime,
        group: OriginGroup,
        window: Duration,
        finding: impl Fn(&Member) -> HolderFinding,
    ) -> bool {
        let log = &self.groups[group.index()];
        let begin = now.before(window);
        if log.since.is_none_or(|since| since > begin) {
            return false;
        }
        let (mut covering, mut others) = (0, 0);
        for tenure in self.tenures(now, group, window) {
            match finding(&tenure.holder) {
                HolderFinding::Answered(Some(coverage)) if coverage.held_for >= window => {
                    covering += 1;
                }
                // A holder that joined later has what began since; it is not asked about earlier streams.
                HolderFinding::Answered(_) if tenure.since > begin => {}
                HolderFinding::Ended => {}
                HolderFinding::Answered(_) | HolderFinding::Unreachable => others += 1,
            }
        }
        covering > others
    }

    fn tenures(
        &self,
        now: MonoTime,
        group: OriginGroup,
        window: Duration,
    ) -> impl Iterator<Item = &Tenure> {
        let begin = now.before(window);
        let tenures = self.groups[group.index()].tenures.iter();
        tenures.filter(move |t| t.until.is_none_or(|until| until >= begin))
    }
}
