//! Limits the bytes of requests and answers that this process holds.
//!
//! Callers and upstreams may send and read slowly, so the bytes held for them add up over all
//! requests. A request that does not fit is refused; a process that exceeds its memory is killed
//! with everything it holds.

use std::{
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

use crate::run::IncompleteBody;

/// Maximum number of bytes of a held answer that are passed to the connection at once. The rest
/// stays counted until the caller has read what came before it.
const CHUNK_BYTES: usize = 16 << 10;

/// Factor by which an answer may hold more than what is left for all others. The largest answers then
/// find no room while small ones still do.
const MAX_MULTIPLE_OF_FREE: usize = 8;

/// The bytes held by this process, and their limit.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    limit: usize,
    held: AtomicUsize,
}

impl HeldBytes {
    pub(crate) fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held: AtomicUsize::new(0),
        })
    }

    /// Returns a guard that holds nothing yet.
    pub(crate) fn guard(self: &Arc<Self>) -> HeldGuard {
        HeldGuard {
            pool: Arc::clone(self),
            bytes: 0,
        }
    }

    /// Holds more bytes if at least `min_free` are left then.
    fn try_add(&self, bytes: usize, min_free: usize) -> bool {
        let max = self.limit.saturating_sub(min_free);
        let added = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= max);
        let updated = self
            .held
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, added);
        updated.is_ok()
    }
}

/// Bytes held for one request or answer, released on drop.
#[derive(Debug)]
pub(crate) struct HeldGuard {
    pool: Arc<HeldBytes>,
    bytes: usize,
}

impl HeldGuard {
    /// Holds more bytes. Returns false, without holding them, if the process holds too many.
    pub(crate) fn try_add(&mut self, bytes: usize) -> bool {
        let added = self.hold(bytes, 0);
        if !added {
            metrics::counter!("tc_held_bytes_refusals_total").increment(1);
        }
        added
    }

    fn hold(&mut self, bytes: usize, min_free: usize) -> bool {
        let added = self.pool.try_add(bytes, min_free);
        if added {
            self.bytes += bytes;
        }
        added
    }

    /// Sets the number of bytes held for an answer of unknown size. Returns false, without a change, if
    /// the process would hold too many, or this answer too many beside what is left for all others.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            self.release(self.bytes - bytes);
            return true;
        }
        self.hold(bytes - self.bytes, bytes / MAX_MULTIPLE_OF_FREE)
    }

    /// Sets the number of held bytes. Returns false, without a change, if the process would hold
    /// too many.
    pub(crate) fn try_set(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.try_add(bytes - self.bytes);
        }
        self.release(self.bytes - bytes);
        true
    }

    fn release(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.pool.held.fetch_sub(bytes, Ordering::AcqRel);
    }
}

impl Drop for HeldGuard {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

/// An answer that is being received. Its whole allocation counts as held.
pub(crate) struct HeldBuffer {
    bytes: Vec<u8>,
    held: HeldGuard,
}

impl HeldBuffer {
    pub(crate) const fn new(held: HeldGuard) -> Self {
        Self {
            bytes: Vec::new(),
            held,
        }
    }

    /// Appends received bytes. Returns false, without a change, if there is no room for them.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> bool {
        let needed = self.bytes.len() + chunk.len();
        if needed > self.bytes.capacity() {
            let doubled = needed.max(2 * self.bytes.capacity());
            let sizes = [doubled, needed];
            let Some(size) = sizes.into_iter().find(|size| self.held.try_grow(*size)) else {
                metrics::counter!("tc_held_bytes_refusals_total").increment(1);
                return false;
            };
            self.bytes.reserve_exact(size - self.bytes.len());
        }
        self.bytes.extend_from_slice(chunk);
        true
    }

    /// Returns the complete answer.
    pub(crate) fn into_body(mut self) -> HeldBody {
        self.bytes.shrink_to_fit();
        self.held.try_set(self.bytes.len());
        HeldBody::new(self.bytes.into(), self.held)
    }
}

/// A complete answer that counts as held until the caller has read it.
pub(crate) struct HeldBody {
    rest: Bytes,
    held: HeldGuard,
}

impl HeldBody {
    const fn new(bytes: Bytes, held: HeldGuard) -> Self {
        Self { rest: bytes, held }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let count = self.rest.len().min(CHUNK_BYTES);
        let chunk = self.rest.split_to(count);
        // A slice would keep the whole answer allocated although it no longer counts.
        let chunk = Bytes::copy_from_slice(&chunk);
        let left = self.rest.len();
        self.held.try_set(left);
        Poll::Ready(Some(Ok(Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

#[cfg(test)]
mod tests;
