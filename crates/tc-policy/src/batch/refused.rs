//! Recently refused requests by fingerprint, to recognise them when they are retried.

use std::collections::{HashMap, VecDeque};

use std::time::Duration;

use tc_protocol::{Fingerprint, MonoTime};

/// How long a refusal is remembered. Callers retry within a third of their time limit, which is a few seconds.
const RETENTION: Duration = Duration::from_secs(8);
/// Maximum number of remembered refusals: eight seconds at 2,000 refusals per second, in half a megabyte.
const MAX_ENTRIES: usize = 16_384;

/// Original target times of refused requests.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedRequests {
    aims: HashMap<Fingerprint, MonoTime>,
    /// Entries in the order of refusal.
    order: VecDeque<(MonoTime, Fingerprint)>,
}

impl RefusedRequests {
    /// Removes and returns the target time that the request had when it first arrived. The entry is used only once,
    /// since another request may have the same fingerprint.
    pub(super) fn remove(&mut self, now: MonoTime, request: Fingerprint) -> Option<MonoTime> {
        self.remove_expired(now);
        self.aims.remove(&request)
    }

    /// Records the refusal of a request whose answer is due at `aim`.
    pub(super) fn record(&mut self, now: MonoTime, request: Fingerprint, aim: MonoTime) {
        self.aims.insert(request, aim);
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
            self.aims.remove(&request);
        }
    }
}
