//! Sends without a home's grant.

use std::collections::HashMap;

use tc_protocol::{InstanceId, Member, MonoTime, UpstreamId, routing::RateLimit};

use super::pacer::{SendPacer, paced_rate};
use crate::may_send_alone;

/// Part of the limit that instances share which cannot reach the home, while the home may go on granting.
const BESIDE_HOME: f64 = 0.25;

/// How instances that send without a grant share one upstream's limit.
///
/// Each of `senders` instances, named by rendezvous hashing, paces its sends at `per_s_each`. The number of senders follows from the
/// limit and not from the number of instances, as each one may have saved up one send.
///
/// ```
/// use tc_policy::UncoordinatedShare;
/// use tc_protocol::routing::RateLimit;
/// let share = UncoordinatedShare::without_home(RateLimit::new(4.0).unwrap());
/// assert_eq!((share.senders, share.per_s_each), (6, 4.0 / 6.0));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UncoordinatedShare {
    /// Instances that may send.
    pub senders: u32,
    /// Sends per second of each.
    pub per_s_each: f64,
}

impl UncoordinatedShare {
    /// Shares the whole limit, for services without a home.
    #[must_use]
    pub fn without_home(limit: RateLimit) -> Self {
        Self::of(paced_rate(limit), limit.per_s())
    }

    /// Shares a part of the limit among instances that cannot reach the home.
    #[must_use]
    pub fn with_home_unreachable(limit: RateLimit) -> Self {
        Self::of(paced_rate(limit) * BESIDE_HOME, limit.per_s() / 2.0)
    }

    fn of(per_s: f64, more_senders: f64) -> Self {
        let senders = 2 + more_senders as u32;
        Self {
            senders,
            per_s_each: per_s / f64::from(senders),
        }
    }
}

/// One instance's sends to limited upstreams without a grant.
#[derive(Clone, Debug, Default)]
pub struct UncoordinatedSends {
    by_upstream: HashMap<UpstreamId, SendPacer>,
}

impl UncoordinatedSends {
    /// Returns true if this instance has a share of the upstream's limit and its pace allows another send.
    pub fn may_send(
        &mut self,
        now: MonoTime,
        me: &InstanceId,
        members: &[Member],
        upstream: &UpstreamId,
        share: UncoordinatedShare,
    ) -> bool {
        let paced = self
            .by_upstream
            .entry(upstream.clone())
            .or_insert_with(|| SendPacer::new(now, share.per_s_each));
        paced.set_rate(now, share.per_s_each);
        paced.may_send(now) && may_send_alone(me, members, upstream, share.senders)
    }

    /// Records a send.
    pub fn record(&mut self, now: MonoTime, upstream: &UpstreamId) {
        if let Some(paced) = self.by_upstream.get_mut(upstream) {
            paced.record(now);
        }
    }

    /// Drops upstreams that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.by_upstream.retain(|id, _| is_registered(id));
    }
}
