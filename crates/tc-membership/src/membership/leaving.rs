//! Graceful leave, and its cancellation.

use tc_protocol::MemberState;

use super::{Membership, Outgoing};

/// Number of instances notified directly of a leave; the rest learn of it through gossip.
const LEAVE_FANOUT: usize = 32;

impl Membership {
    /// Marks this instance as leaving and announces it.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        if self.me.member.state != MemberState::Leaving {
            self.me.member.state = MemberState::Leaving;
            self.me.refutation += 1;
            self.changed = true;
        }
        self.announce(LEAVE_FANOUT, None)
    }

    /// Cancels a [`Membership::leave`].
    pub fn cancel_leave(&mut self) -> Vec<Outgoing> {
        if self.me.member.state == MemberState::Leaving {
            self.me.member.state = MemberState::Alive;
            self.me.refutation += 1;
            self.changed = true;
        }
        self.announce(LEAVE_FANOUT, None)
    }
}
