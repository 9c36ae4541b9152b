//! Start of a read of the store.

use tc_protocol::MonoTime;

use crate::freeze::PauseMonitor;

/// Start of a call whose answer includes every change that the store had accepted by then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreRead {
    pub(crate) started_at: MonoTime,
    /// Number of pauses of this process before the start.
    pub(crate) pauses: u64,
}

impl StoreRead {
    pub(crate) fn start(pause_monitor: &PauseMonitor) -> Self {
        Self {
            started_at: MonoTime::now(),
            pauses: pause_monitor.count(),
        }
    }
}
