//! Accounting of result memory: which results each upstream holds, and until when.

use std::collections::HashMap;

use tc_protocol::{MonoTime, UpstreamId, routing::ResultHandle};

#[derive(Debug)]
struct StoredResult {
    upstream: UpstreamId,
    bytes: u64,
    expires_at: MonoTime,
}

/// Results that were made and not yet released.
///
/// They are counted separately from the upstreams that may get work: an upstream whose registration lapses for a moment
/// still holds its results. If they were dropped with it, its memory would count as free on its return, and it would
/// refuse pieces for lack of memory.
#[derive(Debug, Default)]
pub(super) struct ResultMemory {
    stored: HashMap<ResultHandle, StoredResult>,
    bytes_at: HashMap<UpstreamId, u64>,
}

impl ResultMemory {
    pub(super) fn insert(
        &mut self,
        handle: ResultHandle,
        upstream: &UpstreamId,
        bytes: u64,
        expires_at: MonoTime,
    ) {
        let stored = StoredResult {
            upstream: upstream.clone(),
            bytes,
            expires_at,
        };
        *self.bytes_at.entry(upstream.clone()).or_default() += bytes;
        if let Some(replaced) = self.stored.insert(handle, stored) {
            self.subtract(&replaced);
        }
    }

    /// Removes a result that its upstream no longer holds.
    pub(super) fn remove(&mut self, handle: &ResultHandle) {
        if let Some(stored) = self.stored.remove(handle) {
            self.subtract(&stored);
        }
    }

    /// Removes results that have expired at their upstreams.
    pub(super) fn remove_expired(&mut self, now: MonoTime) {
        let expired: Vec<StoredResult> = self
            .stored
            .extract_if(|_, stored| stored.expires_at <= now)
            .map(|(_, stored)| stored)
            .collect();
        for stored in &expired {
            self.subtract(stored);
        }
    }

    /// Total bytes of the results of all upstreams.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes_at.values().sum()
    }

    /// Total bytes of the results held by an upstream.
    pub(super) fn bytes_at(&self, upstream: &UpstreamId) -> u64 {
        self.bytes_at.get(upstream).copied().unwrap_or_default()
    }

    fn subtract(&mut self, stored: &StoredResult) {
        if let Some(bytes) = self.bytes_at.get_mut(&stored.upstream) {
            *bytes = bytes.saturating_sub(stored.bytes);
            if *bytes == 0 {
                self.bytes_at.remove(&stored.upstream);
            }
        }
    }
}
