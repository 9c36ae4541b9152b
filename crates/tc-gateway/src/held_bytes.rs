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

    fn try_add(&self, bytes: usize) -> bool {
        let added = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= self.limit);
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
        let added = self.pool.try_add(bytes);
        if added {
            self.bytes += bytes;
        } else {
            metrics::counter!("tc_held_bytes_refusals_total").increment(1);
        }
        added
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

/// A complete answer that counts as held until the caller has read it.
pub(crate) struct HeldBody {
    rest: Bytes,
    held: HeldGuard,
}

impl HeldBody {
    pub(crate) const fn new(bytes: Bytes, held: HeldGuard) -> Self {
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
mod tests {
    use http_body_util::BodyExt;

    use super::*;

    fn held(pool: &HeldBytes) -> usize {
        pool.held.load(Ordering::Acquire)
    }

    /// Guards against a limit that is exceeded by the sum of several holders, or that loses room
    /// with each refused one.
    #[test]
    fn bytes_of_all_guards_together_stay_within_the_limit() {
        let pool = HeldBytes::new(100);
        let (mut first, mut second) = (pool.guard(), pool.guard());
        assert!(first.try_add(60));
        assert!(!second.try_add(41));
        assert!(second.try_add(40));
        assert!(!first.try_add(usize::MAX), "the sum must not overflow");
        drop(first);
        assert!(second.try_set(100));
        assert!(second.try_set(30));
        assert_eq!(held(&pool), 30);
        drop(second);
        assert_eq!(held(&pool), 0);
    }

    /// Guards against an answer that no longer counts while a slow caller has yet to read it.
    #[tokio::test]
    async fn answer_counts_until_the_caller_has_read_it() {
        let pool = HeldBytes::new(1 << 20);
        let bytes: Vec<u8> = (0..100_000_u32).map(|n| n as u8).collect();
        let mut guard = pool.guard();
        assert!(guard.try_add(bytes.len()));
        let mut body = HeldBody::new(bytes.clone().into(), guard);
        let mut read = Vec::new();
        while let Some(frame) = body.frame().await {
            let chunk = frame.expect("no error").into_data().expect("data");
            read.extend_from_slice(&chunk);
            assert_eq!(held(&pool), bytes.len() - read.len());
        }
        assert_eq!(read, bytes);
    }
}
