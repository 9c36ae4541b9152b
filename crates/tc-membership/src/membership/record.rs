//! Member records and their precedence.

use tc_protocol::{Incarnation, Member, MemberState};

/// State of one member as reported by some instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The member, including its reported state.
    pub member: Member,
    /// Refutation number, which only the member itself raises: to refute a suspicion, or when it
    /// starts or cancels a leave or an isolation. SWIM calls this the incarnation number.
    pub refutation: u32,
    /// Configuration revision active at the member.
    pub revision: u64,
}

/// Total order of the records about one member: the one with the higher precedence wins.
///
/// Only the member itself raises its refutation number and reports itself as alive, isolated or
/// leaving, and never two of them under the same number. Records of equal precedence therefore agree, and instances
/// that have received the same records, in any order, hold the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Precedence {
    incarnation: Incarnation,
    refutation: u32,
    severity: u8,
}

impl Record {
    pub(crate) fn precedence(&self) -> Precedence {
        let severity = match self.member.state {
            MemberState::Alive | MemberState::Isolated | MemberState::Leaving => 0,
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

    /// Whether the record reports the member as unresponsive.
    pub(crate) fn is_suspect_or_dead(&self) -> bool {
        matches!(self.member.state, MemberState::Suspect | MemberState::Dead)
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.member.state == MemberState::Dead
    }
}
