//! Trial runs of suspects. A suspect has at most one at a time in the whole fleet.

use std::sync::Arc;

use tc_protocol::{Fingerprint, Outcome, ServiceName};

use super::table::SuspectTable;

/// A running trial. Dropping it reports the end of the trial to the suspect's home.
pub(crate) struct TrialGuard {
    table: Arc<SuspectTable>,
    service: ServiceName,
    fingerprint: Fingerprint,
    is_alone: bool,
    end_reported: bool,
}

impl TrialGuard {
    pub(super) fn new(
        table: Arc<SuspectTable>,
        service: ServiceName,
        fingerprint: Fingerprint,
        is_alone: bool,
    ) -> Self {
        Self {
            table,
            service,
            fingerprint,
            is_alone,
            end_reported: false,
        }
    }

    /// Returns true if the home allows no other run of the input meanwhile. An input that it does not suspect may run
    /// several times at once.
    pub(crate) fn is_alone(&self) -> bool {
        self.is_alone
    }

    /// Ends the trial after its call. A crash is reported by [`SuspectTable::report_crash`] and a completed run by
    /// [`SuspectTable::report_completed`], which also end the trial at its home. A report from here before theirs would
    /// let the next trial start before the home knows the result.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.end_reported = outcome == Outcome::Died;
    }
}

impl Drop for TrialGuard {
    fn drop(&mut self) {
        if !self.end_reported {
            self.table.report_trial_end(&self.service, self.fingerprint);
        }
    }
}
