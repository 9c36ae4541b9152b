//! Times that engines take until the first event, shared by all requests of this instance.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_policy::PromptTimes;
use tc_protocol::ServiceName;

use super::RoutedRequest;

/// Thread-safe [`PromptTimes`] per service.
#[derive(Debug, Default)]
pub(crate) struct SharedPromptTimes(Mutex<HashMap<ServiceName, PromptTimes>>);

impl SharedPromptTimes {
    /// Records the time from sending a request to its first event.
    pub(super) fn record(&self, req: &RoutedRequest, took: Duration) {
        let mut times = self.lock();
        let times = times.entry(req.service.clone()).or_default();
        times.record(prompt_tokens(req), took);
    }

    /// Estimates the time from sending the request to its first event.
    pub(super) fn estimate(&self, req: &RoutedRequest) -> Duration {
        let times = self.lock().get(&req.service).copied();
        times.unwrap_or_default().estimate(prompt_tokens(req))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, PromptTimes>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn prompt_tokens(req: &RoutedRequest) -> u32 {
    req.head
        .prompt
        .as_ref()
        .map_or(0, |prompt| prompt.tokens_in)
}
