//! Limits the requests per second that all instances together send to a cold upstream.
//!
//! An upstream that has just started or has lost its caches can serve only a few requests per second for some seconds,
//! and crashes well above that rate. Being idle, it looks best to every instance, so that a restarted failure domain
//! would be filled at once and crash again within a second. Whether an upstream is cold is often known too late, as it
//! reports this with its next heartbeat. The limit is therefore divided in advance among those that may send at the
//! same time, rather than coordinated for each request.

use std::{collections::VecDeque, time::Duration};

use tc_protocol::{InstanceId, Member, MemberState, MonoTime, UpstreamId};

use crate::rendezvous_score;

/// Number of parts of the limit: one for the service's home; one for a second instance that considers itself the home
/// while membership views differ or the home moves; and one for the instances that choose by themselves because no home
/// answers.
const SHARES: u32 = 3;
/// Window in which sends are counted. The limit applies to every second of arrivals at the upstream; the quarter of a
/// second beyond that allows for requests that are delayed on the way.
const WINDOW: Duration = Duration::from_millis(1_250);

/// Maximum number of requests that all instances together may send to a cold upstream in any second.
///
/// ```
/// use tc_policy::ColdLimit;
/// let limit = ColdLimit::new(15.0, 1.5, 5.0);
/// assert_eq!((limit.total(), limit.home_share(), limit.uncoordinated_senders()), (27, 9, 9));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    total: u32,
}

impl ColdLimit {
    /// Creates the limit for an upstream that can serve `max_requests_per_s` requests per second while it is cold, with
    /// `excess` as a multiplier and `slack` additional requests per second.
    #[must_use]
    pub fn new(max_requests_per_s: f64, excess: f64, slack: f64) -> Self {
        Self {
            total: (max_requests_per_s * excess + slack).max(0.0) as u32,
        }
    }

    /// Returns the whole limit, for services without a home.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.total
    }

    /// Returns the home's share for a cold upstream. It is at least one, as the upstream would get no requests
    /// otherwise.
    #[must_use]
    pub fn home_share(self) -> u32 {
        (self.total / SHARES).max(1)
    }

    /// Returns the home's share for an upstream that appears warm but may have turned cold without having reported it
    /// yet. Beyond it, upstreams that received fewer requests are preferred.
    #[must_use]
    pub fn home_share_if_warm(self) -> u32 {
        self.total - self.uncoordinated_senders()
    }

    /// Returns how many instances may send one uncoordinated request per second each while the home does not answer.
    #[must_use]
    pub const fn uncoordinated_senders(self) -> u32 {
        self.total / SHARES
    }
}

/// Recent sends to one upstream.
///
/// ```
/// use tc_policy::RecentSends;
/// use tc_protocol::MonoTime;
/// let mut sends = RecentSends::default();
/// sends.record(MonoTime::from_millis(10));
/// assert_eq!(sends.count(MonoTime::from_millis(900)), 1);
/// assert_eq!(sends.count(MonoTime::from_millis(2_000)), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentSends {
    at: VecDeque<MonoTime>,
}

impl RecentSends {
    /// Records a send.
    pub fn record(&mut self, now: MonoTime) {
        self.remove_expired(now);
        self.at.push_back(now);
    }

    /// Returns the number of sends within the window.
    #[must_use]
    pub fn count(&self, now: MonoTime) -> u32 {
        let recent = self.at.iter().rev();
        recent.take_while(|at| now.since(**at) < WINDOW).count() as u32
    }

    fn remove_expired(&mut self, now: MonoTime) {
        while let Some(oldest) = self.at.front()
            && now.since(*oldest) >= WINDOW
        {
            self.at.pop_front();
        }
    }
}

/// Returns true if `me` is one of the `max_senders` instances that may send to an upstream without its home.
///
/// Instances with the same member list agree on the selection. Each upstream has a different one, so that every
/// upstream is reachable through some instances.
#[must_use]
pub fn may_send_uncoordinated(
    me: &InstanceId,
    members: &[Member],
    upstream: &UpstreamId,
    max_senders: u32,
) -> bool {
    let score = |id: &InstanceId| rendezvous_score(upstream.as_str(), id.as_str());
    let own_score = score(me);
    let higher_ranked = members
        .iter()
        .filter(|member| member.state != MemberState::Dead && member.id != *me)
        .filter(|member| score(&member.id) > own_score);
    (higher_ranked.count() as u64) < u64::from(max_senders)
}
