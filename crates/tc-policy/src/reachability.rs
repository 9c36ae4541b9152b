//! Detects that an instance reaches few upstreams of a service or none.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use tc_protocol::MonoTime;

/// Number of upstreams whose reachability must be known, or all if there are fewer.
const MIN_KNOWN: usize = 8;
/// Part of the known upstreams that must be unreachable: three quarters. Less than that may be a lost
/// failure domain.
const UNREACHABLE_PART: f64 = 0.75;
/// Part of the known upstreams up to which a service is reachable again: a half. The difference keeps an
/// instance that reaches some of them from changing its state with each connection.
const REACHABLE_PART: f64 = 0.5;
/// Time for which the result of a connection counts.
const RESULT_MAX_AGE: Duration = Duration::from_secs(3);
/// Minimum time between the first failure and the last one, so that a burst of requests to upstreams
/// that have just crashed decides nothing.
const MIN_DURATION: Duration = Duration::from_millis(300);

/// Whether an instance reaches the upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// Enough upstreams are reachable, or there is no sign of the opposite.
    #[default]
    Reachable,
    /// Connections have failed, and too few upstreams are known to be reachable. Probes decide.
    Doubtful,
    /// Few upstreams of the service are reachable, or none.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
struct LastConnection {
    at: MonoTime,
    is_established: bool,
}

/// Reachability of the upstreams of a service, as shown by new connections.
///
/// Open connections are no evidence: they may live on while new ones are refused.
///
/// ```
/// use std::{net::SocketAddr, time::Duration};
/// use tc_policy::{Reach, Reachability};
/// use tc_protocol::MonoTime;
/// let upstreams: Vec<SocketAddr> = (1..3).map(|n| ([10, 0, 0, n], 80).into()).collect();
/// let start = MonoTime::from_millis(1_000);
/// let later = start.after(Duration::from_millis(400));
/// let mut service = Reachability::default();
/// service.record(start, upstreams[0], false);
/// assert_eq!(service.reach(start, &upstreams), Reach::Doubtful, "it may have crashed");
/// service.record(later, upstreams[1], false);
/// assert_eq!(service.reach(later, &upstreams), Reach::Unreachable);
/// service.record(later, upstreams[0], true);
/// assert_eq!(service.reach(later, &upstreams), Reach::Reachable);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    by_upstream: HashMap<SocketAddr, LastConnection>,
    failing_since: Option<MonoTime>,
    is_unreachable: bool,
}

/// Number of upstreams whose last connection counts, and of those whose last connection failed.
struct Known {
    total: usize,
    failed: usize,
}

impl Reachability {
    /// Records whether a new connection to an upstream was established.
    pub fn record(&mut self, now: MonoTime, upstream: SocketAddr, is_established: bool) {
        let last = LastConnection {
            at: now,
            is_established,
        };
        self.by_upstream.insert(upstream, last);
        if !is_established {
            self.failing_since.get_or_insert(now);
        }
    }

    /// Returns the reachability, given the registered upstreams of the service.
    pub fn reach(&mut self, now: MonoTime, registered: &[SocketAddr]) -> Reach {
        self.by_upstream
            .retain(|_, last| now.since(last.at) <= RESULT_MAX_AGE);
        let known = self.known(now, registered);
        if known.failed == 0 && known.total > 0 {
            self.failing_since = None;
        }
        let Some(since) = self.failing_since else {
            self.is_unreachable = false;
            return Reach::Reachable;
        };
        let is_known = known.total >= MIN_KNOWN.min(registered.len());
        if self.is_unreachable {
            self.is_unreachable = !is_known || known.failed_part() > REACHABLE_PART;
        } else if is_known {
            let is_long = now.since(since) >= MIN_DURATION;
            self.is_unreachable = is_long && known.failed_part() >= UNREACHABLE_PART;
        }
        if self.is_unreachable {
            Reach::Unreachable
        } else if is_known && known.failed_part() < UNREACHABLE_PART {
            Reach::Reachable
        } else {
            Reach::Doubtful
        }
    }

    /// Returns the upstreams to probe next, first those whose last connection is the oldest.
    ///
    /// Their number doubles with each round that shows the same, so that one crashed upstream costs
    /// few probes, and a partition and its end are noticed in four rounds.
    #[must_use]
    pub fn to_probe(&self, now: MonoTime, registered: &[SocketAddr]) -> Vec<SocketAddr> {
        let known = self.known(now, registered);
        let missing = MIN_KNOWN.min(registered.len()).saturating_sub(known.total);
        let count = if self.is_unreachable {
            let established = known.total - known.failed;
            missing.max(2 * established).clamp(1, MIN_KNOWN)
        } else {
            known.failed.clamp(1, missing.max(1))
        };
        let last_at = |upstream: &SocketAddr| self.by_upstream.get(upstream).map(|last| last.at);
        let mut oldest = registered.to_vec();
        oldest.sort_by_key(last_at);
        oldest.truncate(count);
        oldest
    }

    fn known(&self, now: MonoTime, registered: &[SocketAddr]) -> Known {
        let last = registered.iter().filter_map(|u| self.by_upstream.get(u));
        let recent = last.filter(|last| now.since(last.at) <= RESULT_MAX_AGE);
        recent.fold(
            Known {
                total: 0,
                failed: 0,
            },
            |known, last| Known {
                total: known.total + 1,
                failed: known.failed + usize::from(!last.is_established),
            },
        )
    }
}

impl Known {
    /// Returns the part of the known upstreams whose last connection failed; 0 without any.
    fn failed_part(&self) -> f64 {
        self.failed as f64 / self.total.max(1) as f64
    }
}
