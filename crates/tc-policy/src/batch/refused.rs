//! Requests that were refused a moment ago, by their fingerprints, so that they are known when they come again.

use std::collections::{HashMap, VecDeque};

use std::time::Duration;

use tc_protocol::{Fingerprint, MonoTime};

/// How long a refusal is remembered: callers come again within a third of the time that they wait, of some seconds.
const KEPT_FOR: Duration = Duration::from_secs(8);
/// Most refusals that are remembered: eight seconds of two thousand a second, in half a megabyte.
const MOST: usize = 16_384;

/// Remembers when requests that were refused had to be answered to be in time.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedRequests {
    aims: HashMap<Fingerprint, MonoTime>,
    /// In the order in which they were refused.
    order: VecDeque<(MonoTime, Fingerprint)>,
}

impl RefusedRequests {
    /// When a request that was refused must be answered, by when it came first. It is forgotten by that: another request may
    /// say the same.
    pub(super) fn aim_of(&mut self, now: MonoTime, request: Fingerprint) -> Option<MonoTime> {
        self.forget_old(now);
        self.aims.remove(&request)
    }

    /// A request was refused that must be answered until `aim`.
    pub(super) fn note(&mut self, now: MonoTime, request: Fingerprint, aim: MonoTime) {
        self.aims.insert(request, aim);
        self.order.push_back((now, request));
        if self.order.len() > MOST {
            self.forget_oldest();
        }
    }

    fn forget_old(&mut self, now: MonoTime) {
        while let Some((at, _)) = self.order.front()
            && now.since(*at) >= KEPT_FOR
        {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, request)) = self.order.pop_front() {
            self.aims.remove(&request);
        }
    }
}
