//! Logs headers in the answers of upstreams that this program does not know.

use std::{
    collections::HashSet,
    sync::{Mutex, PoisonError},
};

use http::HeaderName;
use tc_protocol::UpstreamId;

/// Maximum number of names that are remembered, and so logged.
const MAX_NAMES: usize = 32;

/// Logs each unknown header once.
///
/// An upstream may announce something that applies to all instances in a header newer than this program. Without the
/// log line the header would be dropped silently, and only the resulting violation would be visible.
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
