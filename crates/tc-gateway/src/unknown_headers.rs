//! Headers of upstreams' answers that nothing here reads.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

use http::HeaderName;
use tc_protocol::UpstreamId;

/// Names that are remembered, and so logged, at most.
const MAX_NAMES: usize = 32;

/// Logs each unknown header once.
///
/// An upstream may say something that binds all instances in a header that is newer than this program. Without a line it is
/// dropped silently, and only the broken promise shows.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders {
    logged: Mutex<HashSet<HeaderName>>,
}

impl UnknownHeaders {
    /// Records the unknown headers of an answer.
    pub(crate) fn record(&self, upstream: &UpstreamId, names: &[HeaderName]) {
        if names.is_empty() {
            return;
        }
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        for name in names {
            if logged.len() < MAX_NAMES && logged.insert(name.clone()) {
                log::warn!(upstream = upstream.as_str(), header = name.as_str(); "upstream header unknown");
            }
        }
    }
}
