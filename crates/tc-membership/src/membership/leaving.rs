//! Leaving on purpose, and taking that back.

use tc_protocol::MemberState;

use super::{Membership, Outgoing};

/// Instances that are told directly that this one is leaving; the others hear it from them.
const TOLD_OF_LEAVING: usize = 32;

impl Membership {
    /// Says that this instance is stopping on purpose.
    pub fn leave(&mut self) -> Vec<Outgoing> {
        if self.me.member.state != MemberState::Leaving {
            self.me.member.state = MemberState::Leaving;
            self.me.refutation += 1;
            self.changed = true;
        }
        self.announce(TOLD_OF_LEAVING, None)
    }

    /// Takes a [`Membership::leave`] back.
    pub fn cancel_leave(&mut self) -> Vec<Outgoing> {
        if self.me.member.state == MemberState::Leaving {
            self.me.member.state = MemberState::Alive;
            self.me.refutation += 1;
            self.changed = true;
        }
        self.announce(TOLD_OF_LEAVING, None)
    }
}
