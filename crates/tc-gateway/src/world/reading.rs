//! Start of a read of the store.

use tc_protocol::MonoTime;

use crate::freeze::FreezeWatch;

/// Start of a call whose answer includes every change that the store had accepted by then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    pub(crate) started_at: MonoTime,
    /// Number of absences of this process before the start.
    pub(crate) absences: u64,
}

impl Reading {
    pub(crate) fn start(freezes: &FreezeWatch) -> Self {
        Self {
            started_at: MonoTime::now(),
            absences: freezes.count(),
        }
    }
}
