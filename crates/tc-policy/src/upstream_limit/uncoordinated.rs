//! Limits uncoordinated sends: those that no home granted.

use std::collections::HashMap;

use tc_protocol::{InstanceId, Member, MonoTime, UpstreamId, routing::RateLimit};

use super::pacer::{SendPacer, paced_rate};
use crate::may_send_uncoordinated;

/// Part of the limit for instances that cannot reach the home. The home may still be granting sends at the full limit.
const PART_BESIDE_HOME: f64 = 0.25;

/// Sharing of one upstream's limit between instances that send without a grant.
///
/// Rendezvous hashing selects `senders` instances, and each paces its sends at `per_s_each`. The number of senders
/// depends on the limit and not on the number of instances, because each sender may have one send saved up.
///
/// ```
/// use tc_policy::UncoordinatedShare;
/// use tc_protocol::routing::RateLimit;
/// let share = UncoordinatedShare::without_home(RateLimit::new(4.0).unwrap());
/// assert_eq!((share.senders, share.per_s_each), (6, 4.0 / 6.0));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UncoordinatedShare {
    /// Number of instances that may send.
    pub senders: u32,
    /// Sends per second of each sender.
    pub per_s_each: f64,
}

impl UncoordinatedShare {
    /// Splits the whole limit, for services without a home.
    #[must_use]
    pub fn without_home(limit: RateLimit) -> Self {
        Self::of(paced_rate(limit), limit.per_s())
    }

    /// Splits a part of the limit among instances that cannot reach the home.
    #[must_use]
    pub fn with_home_unreachable(limit: RateLimit) -> Self {
        Self::of(paced_rate(limit) * PART_BESIDE_HOME, limit.per_s() / 2.0)
    }

    fn of(per_s: f64, extra_senders: f64) -> Self {
        let senders = 2 + extra_senders as u32;
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
    /// Returns true if this instance is one of the upstream's senders and its pacer allows another send.
    pub fn may_send(
        &mut self,
        now: MonoTime,
        me: &InstanceId,
        members: &[Member],
        upstream: &UpstreamId,
        share: UncoordinatedShare,
    ) -> bool {
        let pacer = self
            .by_upstream
            .entry(upstream.clone())
            .or_insert_with(|| SendPacer::new(now, share.per_s_each));
        pacer.set_rate(now, share.per_s_each);
        pacer.may_send(now) && may_send_uncoordinated(me, members, upstream, share.senders)
    }

    /// Records a send.
    pub fn record(&mut self, now: MonoTime, upstream: &UpstreamId) {
        if let Some(pacer) = self.by_upstream.get_mut(upstream) {
            pacer.record(now);
        }
    }

    /// Drops upstreams that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&UpstreamId) -> bool) {
        self.by_upstream.retain(|id, _| is_registered(id));
    }
}
