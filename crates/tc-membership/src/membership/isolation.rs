//! Announces that this instance reaches no upstream of some service, and that it does so again.

use tc_protocol::MemberState;

use super::{Membership, Outgoing};

/// Number of instances notified directly; the rest learn of it through gossip.
const ISOLATION_FANOUT: usize = 32;

impl Membership {
    /// Sets whether this instance reaches no upstream of some service, and announces a change. Has no effect on an
    /// instance that is leaving.
    pub fn set_isolated(&mut self, is_isolated: bool) -> Vec<Outgoing> {
        let (from, to) = if is_isolated {
            (MemberState::Alive, MemberState::Isolated)
        } else {
            (MemberState::Isolated, MemberState::Alive)
        };
        if self.me.member.state != from {
            return Vec::new();
        }
        self.me.member.state = to;
        self.me.refutation += 1;
        self.changed = true;
        self.announce(ISOLATION_FANOUT, None)
    }
}
