//! Room for results: what is kept at which upstream, and until when.

use std::collections::HashMap;

use tc_protocol::{MonoTime, UpstreamId, routing::ResultHandle};

#[derive(Debug)]
struct Kept {
    maker: UpstreamId,
    bytes: u64,
    until: MonoTime,
}

/// Results that were made and not given up.
///
/// They are counted apart from the upstreams that may get work: one whose entry lapses for a moment holds what it made,
/// and would otherwise come back with all of its room free, seen as pieces that it refuses for want of room.
#[derive(Debug, Default)]
pub(super) struct Results {
    kept: HashMap<ResultHandle, Kept>,
    bytes_at: HashMap<UpstreamId, u64>,
}

impl Results {
    pub(super) fn keep(
        &mut self,
        handle: ResultHandle,
        maker: &UpstreamId,
        bytes: u64,
        until: MonoTime,
    ) {
        let kept = Kept {
            maker: maker.clone(),
            bytes,
            until,
        };
        *self.bytes_at.entry(maker.clone()).or_default() += bytes;
        if let Some(before) = self.kept.insert(handle, kept) {
            self.take_off(&before);
        }
    }

    /// The result is no longer kept.
    pub(super) fn give_up(&mut self, handle: &ResultHandle) {
        if let Some(kept) = self.kept.remove(handle) {
            self.take_off(&kept);
        }
    }

    /// Forgets results that their makers have dropped by themselves.
    pub(super) fn expire(&mut self, now: MonoTime) {
        let ended: Vec<Kept> = self
            .kept
            .extract_if(|_, kept| kept.until <= now)
            .map(|(_, kept)| kept)
            .collect();
        for kept in &ended {
            self.take_off(kept);
        }
    }

    /// Bytes of all results kept at an upstream.
    pub(super) fn bytes_at(&self, maker: &UpstreamId) -> u64 {
        self.bytes_at.get(maker).copied().unwrap_or_default()
    }

    fn take_off(&mut self, kept: &Kept) {
        if let Some(bytes) = self.bytes_at.get_mut(&kept.maker) {
            *bytes = bytes.saturating_sub(kept.bytes);
            if *bytes == 0 {
                self.bytes_at.remove(&kept.maker);
            }
        }
    }
}
