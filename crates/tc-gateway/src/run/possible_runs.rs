//! Whether a request may have run, for an answer that does not wait for its attempts.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

/// Counts the sends of a request that may have run it. Clones share the count.
#[derive(Clone, Default)]
pub(crate) struct PossibleRuns(Arc<AtomicU32>);

impl PossibleRuns {
    /// Records that the request is about to be sent.
    pub(crate) fn record_send(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that a send did not run the request.
    pub(crate) fn record_not_run(&self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns true if a send may have run the request.
    pub(crate) fn any(&self) -> bool {
        self.0.load(Ordering::Acquire) > 0
    }
}
