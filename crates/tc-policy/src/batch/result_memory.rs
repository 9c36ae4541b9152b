//! Accounting of result memory: which results each upstream holds, and until when.

use std::collections::{HashMap, VecDeque};

use tc_protocol::{MonoTime, UpstreamId, routing::ResultHandle};

use super::unaccounted::UnaccountedResults;

#[derive(Debug)]
struct StoredResult {
    upstream: UpstreamId,
    bytes: u64,
    expires_at: MonoTime,
    use_state: UseState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UseState {
    /// Readers still need it.
    Needed,
    /// Its readers have probably fetched it.
    Fetched,
    /// It is being freed at its upstream.
    Reclaimed,
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
    /// Fetched results by upstream, oldest first; may contain results that were removed since.
    fetched: HashMap<UpstreamId, VecDeque<ResultHandle>>,
    reclaimed_at: HashMap<UpstreamId, u64>,
    pub(super) unaccounted: UnaccountedResults,
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
            use_state: UseState::Needed,
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
        let stored = &self.stored;
        self.fetched.retain(|_, results| {
            results.retain(|result| stored.contains_key(result));
            !results.is_empty()
        });
        self.unaccounted.remove_expired(now);
    }

    /// Total bytes of the results of all upstreams.
    pub(super) fn bytes(&self) -> u64 {
        self.bytes_at.values().sum()
    }

    /// Bytes of an upstream's memory that are occupied, as far as known.
    pub(super) fn occupied_at(&self, upstream: &UpstreamId) -> u64 {
        let stored = self.bytes_at.get(upstream).copied().unwrap_or_default();
        stored + self.unaccounted.bytes_at(upstream)
    }

    /// Bytes at an upstream that are being freed.
    pub(super) fn reclaimed_at(&self, upstream: &UpstreamId) -> u64 {
        self.reclaimed_at.get(upstream).copied().unwrap_or_default()
    }

    /// Marks a result as fetched by its readers; returns false if it is not stored.
    pub(super) fn mark_fetched(&mut self, handle: &ResultHandle) -> bool {
        let Some(stored) = self.stored.get_mut(handle) else {
            return false;
        };
        if stored.use_state == UseState::Needed {
            stored.use_state = UseState::Fetched;
            let at_upstream = self.fetched.entry(stored.upstream.clone()).or_default();
            at_upstream.push_back(handle.clone());
        }
        true
    }

    /// Returns true if a result is stored and not being freed.
    pub(super) fn holds(&self, handle: &ResultHandle) -> bool {
        let stored = self.stored.get(handle);
        stored.is_some_and(|stored| stored.use_state != UseState::Reclaimed)
    }

    pub(super) fn contains(&self, handle: &ResultHandle) -> bool {
        self.stored.contains_key(handle)
    }

    pub(super) fn has_fetched(&self) -> bool {
        !self.fetched.is_empty()
    }

    /// Takes fetched results of an upstream, oldest first, until they occupy at least `bytes`.
    pub(super) fn reclaim(&mut self, upstream: &UpstreamId, bytes: u64) -> Vec<ResultHandle> {
        let mut reclaimed = Vec::new();
        let mut reclaimed_bytes = 0;
        let Some(fetched) = self.fetched.get_mut(upstream) else {
            return reclaimed;
        };
        while reclaimed_bytes < bytes
            && let Some(handle) = fetched.pop_front()
        {
            if let Some(stored) = self.stored.get_mut(&handle) {
                stored.use_state = UseState::Reclaimed;
                reclaimed_bytes += stored.bytes;
                reclaimed.push(handle);
            }
        }
        if fetched.is_empty() {
            self.fetched.remove(upstream);
        }
        if reclaimed_bytes > 0 {
            *self.reclaimed_at.entry(upstream.clone()).or_default() += reclaimed_bytes;
        }
        reclaimed
    }

    fn subtract(&mut self, stored: &StoredResult) {
        if let Some(bytes) = self.bytes_at.get_mut(&stored.upstream) {
            *bytes = bytes.saturating_sub(stored.bytes);
            if *bytes == 0 {
                self.bytes_at.remove(&stored.upstream);
            }
        }
        if stored.use_state == UseState::Reclaimed
            && let Some(bytes) = self.reclaimed_at.get_mut(&stored.upstream)
        {
            *bytes = bytes.saturating_sub(stored.bytes);
            if *bytes == 0 {
                self.reclaimed_at.remove(&stored.upstream);
            }
        }
    }
}
