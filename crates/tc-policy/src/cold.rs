//! Cold upstreams: how many requests a second all instances together may send to one.
//!
//! An upstream that has just started, or lost what it had warmed up, bears few requests a second for some seconds and crashes
//! well above that. An idle one looks best to everybody, and its slots would be filled in one go: seen as a domain that comes
//! back and is gone again a second later. Whether it is cold is often not known in time, since its word comes with its next
//! heartbeat. So the limit is kept by whoever chooses, and shared out beforehand between those who may be choosing at the same
//! moment, rather than agreed on request by request.

use std::{collections::VecDeque, time::Duration};

use tc_protocol::{InstanceId, Member, MemberState, MonoTime, UpstreamId};

use crate::rendezvous_score;

/// Parts that the limit is shared out in: one for the home of the service, one for another instance that takes itself for
/// the home while views differ or the home moves, and one for instances that choose by themselves as no home answers.
const SHARES: u32 = 3;
/// Time over which sends are counted. The limit holds for each second in which requests arrive; what was chosen earlier may
/// be held up on its way by as much as the rest of this.
const WINDOW: Duration = Duration::from_millis(1_250);

/// Most requests that a cold upstream may get in any second from all instances together.
///
/// ```
/// use tc_policy::ColdLimit;
/// let limit = ColdLimit::new(15.0, 1.5, 5.0);
/// assert_eq!((limit.total(), limit.home_share(), limit.senders_without_home()), (27, 9, 9));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdLimit {
    total: u32,
}

impl ColdLimit {
    /// The limit of an upstream that bears `bears_per_s` while it is cold, may be driven to `excess` times that, and may get
    /// `slack` requests a second besides.
    #[must_use]
    pub fn new(bears_per_s: f64, excess: f64, slack: f64) -> Self {
        Self {
            total: (bears_per_s * excess + slack).max(0.0) as u32,
        }
    }

    /// All of it, for services that have no home.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.total
    }

    /// What a home may send to a cold upstream; at least one, as no other way would be left.
    #[must_use]
    pub fn home_share(self) -> u32 {
        (self.total / SHARES).max(1)
    }

    /// What a home sends to an upstream that seems warm while others have had less: it may have turned cold unheard.
    #[must_use]
    pub fn home_share_if_warm(self) -> u32 {
        self.total - self.senders_without_home()
    }

    /// Instances that may choose an upstream by themselves, one request a second each, while the home does not answer.
    #[must_use]
    pub const fn senders_without_home(self) -> u32 {
        self.total / SHARES
    }
}

/// Sends to one upstream within the last moments.
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
    /// Counts a send.
    pub fn record(&mut self, now: MonoTime) {
        self.forget_old(now);
        self.at.push_back(now);
    }

    /// How many there were.
    #[must_use]
    pub fn count(&self, now: MonoTime) -> u32 {
        let recent = self.at.iter().rev();
        recent.take_while(|at| now.since(**at) < WINDOW).count() as u32
    }

    fn forget_old(&mut self, now: MonoTime) {
        while let Some(oldest) = self.at.front()
            && now.since(*oldest) >= WINDOW
        {
            self.at.pop_front();
        }
    }
}

/// Whether `me` is one of the `most` instances that may send to an upstream by themselves.
///
/// Instances with the same list of members name the same ones, and others for each upstream, so that all upstreams are within
/// reach of some.
#[must_use]
pub fn may_send_without_home(
    me: &InstanceId,
    members: &[Member],
    upstream: &UpstreamId,
    most: u32,
) -> bool {
    let score = |id: &InstanceId| rendezvous_score(upstream.as_str(), id.as_str());
    let mine = score(me);
    let before_me = members
        .iter()
        .filter(|member| member.state != MemberState::Dead && member.id != *me)
        .filter(|member| score(&member.id) > mine);
    (before_me.count() as u64) < u64::from(most)
}
