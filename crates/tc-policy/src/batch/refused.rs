//! Recently refused requests by fingerprint, to recognise them when they are retried.

use std::collections::{HashMap, VecDeque};

use std::time::Duration;

use tc_protocol::{Fingerprint, MonoTime};

/// Time for which a refusal is remembered. Callers retry within a third of their time limit, which is a few seconds.
const RETENTION: Duration = Duration::from_secs(8);
/// Maximum number of remembered refusals: eight seconds at 2,000 refusals per second, in half a megabyte.
const MAX_ENTRIES: usize = 16_384;

/// Original due times of the answers to refused requests.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedRequests {
    answer_due: HashMap<Fingerprint, MonoTime>,
    /// Entries in the order of refusal.
    order: VecDeque<(MonoTime, Fingerprint)>,
}

impl RefusedRequests {
    /// Removes and returns the due time that the answer had when the request first arrived. The entry is used only
    /// once, since another request may have the same fingerprint.
    pub(super) fn remove(&mut self, now: MonoTime, request: Fingerprint) -> Option<MonoTime> {
        self.remove_expired(now);
        self.answer_due.remove(&request)
    }

    /// Records the refusal of a request whose answer is due at `answer_due`.
    pub(super) fn record(&mut self, now: MonoTime, request: Fingerprint, answer_due: MonoTime) {
        self.answer_due.insert(request, answer_due);
        self.order.push_back((now, request));
        if self.order.len() > MAX_ENTRIES {
            self.evict_oldest();
        }
    }

    fn remove_expired(&mut self, now: MonoTime) {
        while let Some((at, _)) = self.order.front()
            && now.since(*at) >= RETENTION
        {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        if let Some((_, request)) = self.order.pop_front() {
            self.answer_due.remove(&request);
        }
    }
}
