//! What is claimed of one member, and which of two claims holds.

use tc_protocol::{Incarnation, Member, MemberState};

/// A claim about one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The member and the state it is claimed to be in.
    pub member: Member,
    /// Raised by the member itself, to refute a suspicion or when it starts to leave.
    pub refutation: u32,
    /// Revision of the configuration in force there.
    pub revision: u64,
}

/// Order of claims: of two claims about a member, the one with the higher precedence holds.
///
/// Only the member itself raises its refutation number and says whether it is alive or leaving, never both under the
/// same number; so claims of equal precedence agree, and all instances that have heard the same claims, in whatever
/// order, hold the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Precedence {
    incarnation: Incarnation,
    refutation: u32,
    severity: u8,
}

impl Record {
    pub(crate) fn precedence(&self) -> Precedence {
        let severity = match self.member.state {
            MemberState::Alive | MemberState::Leaving => 0,
            MemberState::Suspect => 1,
            MemberState::Dead => 2,
        };
        Precedence {
            incarnation: self.member.incarnation,
            refutation: self.refutation,
            severity,
        }
    }

    pub(crate) fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Whether the claim says that the member does not answer.
    pub(crate) fn accuses(&self) -> bool {
        matches!(self.member.state, MemberState::Suspect | MemberState::Dead)
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.member.state == MemberState::Dead
    }
}
