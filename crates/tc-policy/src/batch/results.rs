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
#[derive(Debug, Default)]
pub(super) struct Results {
    kept: HashMap<ResultHandle, Kept>,
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
        self.kept.insert(handle, kept);
    }

    /// Who kept the result, and how many bytes are free now; `None` when it was not kept any more.
    pub(super) fn give_up(&mut self, handle: &ResultHandle) -> Option<(UpstreamId, u64)> {
        self.kept
            .remove(handle)
            .map(|kept| (kept.maker, kept.bytes))
    }

    /// Results whose makers have dropped them by themselves.
    pub(super) fn expire(&mut self, now: MonoTime) -> Vec<(UpstreamId, u64)> {
        let ended = self.kept.extract_if(|_, kept| kept.until <= now);
        ended.map(|(_, kept)| (kept.maker, kept.bytes)).collect()
    }
}
