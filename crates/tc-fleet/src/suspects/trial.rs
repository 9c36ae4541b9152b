//! A suspect's run, of which there is one at a time over the whole fleet.

use std::sync::Arc;

use tc_protocol::{Fingerprint, Outcome, ServiceName};

use super::table::SuspectTable;

/// A running trial; ends at its home when dropped.
pub(crate) struct TrialGuard {
    table: Arc<SuspectTable>,
    service: ServiceName,
    fingerprint: Fingerprint,
    ended: bool,
}

impl TrialGuard {
    pub(super) fn new(
        table: Arc<SuspectTable>,
        service: ServiceName,
        fingerprint: Fingerprint,
    ) -> Self {
        Self {
            table,
            service,
            fingerprint,
            ended: false,
        }
    }

    /// The trial's call ended. A death is told by [`SuspectTable::report_crash`] and a whole run by
    /// [`SuspectTable::report_completed`], which end the trial at its home too; telling here first would let the next
    /// trial start before the home knows of either.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.ended = outcome == Outcome::Died;
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.table.trial_ended(&self.service, self.fingerprint);
        }
    }
}
