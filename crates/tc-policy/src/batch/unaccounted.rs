//! Result memory of upstreams that is occupied by results unknown to the home.

use std::collections::HashMap;

use tc_protocol::{MonoTime, UpstreamId};

use super::planner::{BatchPlanner, Call};

/// Maximum number of entries per upstream; the oldest are merged into the next.
const MAX_ENTRIES: usize = 16;
/// Time for which an upstream that had no room is assumed to be full apart from known results, in typical calls. Most
/// results have been read by then.
const FULL_CALLS: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct Occupied {
    bytes: u64,
    until: MonoTime,
}

/// Bytes occupied at upstreams by results of lost answers, or of another home.
#[derive(Debug, Default)]
pub(super) struct UnaccountedResults {
    by_upstream: HashMap<UpstreamId, Vec<Occupied>>,
}

impl UnaccountedResults {
    pub(super) fn add(&mut self, upstream: &UpstreamId, bytes: u64, until: MonoTime) {
        if bytes == 0 {
            return;
        }
        let entries = self.by_upstream.entry(upstream.clone()).or_default();
        if entries.len() >= MAX_ENTRIES {
            let oldest = entries.remove(0);
            entries[0].bytes += oldest.bytes;
        }
        entries.push(Occupied { bytes, until });
    }

    pub(super) fn bytes_at(&self, upstream: &UpstreamId) -> u64 {
        let entries = self.by_upstream.get(upstream).into_iter().flatten();
        entries.map(|entry| entry.bytes).sum()
    }

    pub(super) fn remove_expired(&mut self, now: MonoTime) {
        self.by_upstream.retain(|_, entries| {
            entries.retain(|entry| entry.until > now);
            !entries.is_empty()
        });
    }
}

impl BatchPlanner {
    /// Reserves room for the results that an upstream has probably made although its answer was lost. Without their
    /// handles they cannot be freed and remain until they expire.
    pub(super) fn account_for_lost_answer(&mut self, now: MonoTime, call: &Call) {
        let bytes = call.result_sizes.iter().sum();
        let until = now.after(self.spec.result_ttl);
        let unaccounted = &mut self.result_memory.unaccounted;
        unaccounted.add(&call.upstream, bytes, until);
    }

    /// Assumes that results unknown to this home occupy the rest of an upstream's memory, since a piece found no room.
    /// They are those of an earlier home after a takeover, or larger than configured.
    pub(super) fn assume_full(&mut self, now: MonoTime, upstream: &UpstreamId) {
        let bytes = self.free_result_bytes(upstream);
        let until = now.after(self.typical_call().mul_f64(FULL_CALLS));
        let unaccounted = &mut self.result_memory.unaccounted;
        unaccounted.add(upstream, bytes, until);
    }
}
