//! Requests that were refused and may come back.

use std::{collections::HashMap, time::Duration};

use tc_protocol::MonoTime;

/// How long a refusal is remembered: callers come back within a third of the time they have left, which is seconds.
const MEMORY: Duration = Duration::from_secs(4);
/// Refusals remembered at most; the oldest matter least, and memory stays bounded whatever comes.
const MOST: usize = 8_192;

/// Refused requests by fingerprint.
#[derive(Debug, Default)]
pub(super) struct Refused {
    at: HashMap<u64, MonoTime>,
}

impl Refused {
    pub(super) fn note(&mut self, now: MonoTime, fingerprint: u64) {
        if fingerprint == 0 {
            return;
        }
        if self.at.len() >= MOST {
            self.at.retain(|_, at| now.since(*at) < MEMORY);
        }
        if self.at.len() < MOST {
            self.at.insert(fingerprint, now);
        }
    }

    /// Whether the request was refused a while ago; it counts once.
    pub(super) fn came_back(&mut self, now: MonoTime, fingerprint: u64) -> bool {
        let at = self.at.remove(&fingerprint);
        at.is_some_and(|at| now.since(at) < MEMORY)
    }
}
