//! Latest outlooks reported by the homes of batch services, shared by all requests of this instance.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tc_policy::{ChainQuery, ExpectedStageTimes, HomeOutlook, StageOutlooks};
use tc_protocol::{MonoTime, ServiceName, WorkspaceName};

/// Thread-safe [`StageOutlooks`].
#[derive(Debug, Default)]
pub(crate) struct SharedOutlooks(Mutex<StageOutlooks>);

impl SharedOutlooks {
    pub(crate) fn record(&self, service: &ServiceName, home: HomeOutlook) {
        self.lock().record(MonoTime::now(), service, home);
    }

    pub(crate) fn estimate(&self, request: &ChainQuery<'_>) -> ExpectedStageTimes {
        self.lock().estimate(MonoTime::now(), request)
    }

    pub(crate) fn is_over_share(&self, service: &ServiceName, workspace: &WorkspaceName) -> bool {
        self.lock()
            .is_over_share(MonoTime::now(), service, workspace)
    }

    fn lock(&self) -> MutexGuard<'_, StageOutlooks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
