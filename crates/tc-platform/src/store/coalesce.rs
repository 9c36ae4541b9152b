//! Coalesces concurrent reads of the same object.

use std::{
    collections::HashMap,
    future::Future,
    sync::{Arc, Mutex, PoisonError},
};

use futures::{
    FutureExt,
    future::{BoxFuture, Shared},
};
use serde_json::Value;
use tracing::Instrument;

use crate::{StoreError, Versioned};

pub(crate) type ReadResult = Result<Option<Versioned<Value>>, StoreError>;
type SharedRead = Shared<BoxFuture<'static, ReadResult>>;

/// Reads of one object: at most one in flight, and one more that is not sent yet, which later
/// callers join.
#[derive(Clone, Default)]
struct ObjectReads {
    in_flight: Arc<tokio::sync::Mutex<()>>,
    next: Option<SharedRead>,
}

/// Lets concurrent reads of one object share a call.
///
/// A caller joins only a read that has not been sent yet. A read already in flight could return a
/// value from before the caller's own write, which would look as if that write had been lost.
///
/// Each read runs in its own task. Otherwise a caller that joined a read and is not polled for a
/// while would block all others waiting for the same object.
#[derive(Clone, Default)]
pub(crate) struct Coalescer {
    objects: Arc<Mutex<HashMap<String, ObjectReads>>>,
}

impl Coalescer {
    /// Joins the unsent read of `path`, or makes `read` the unsent one.
    pub(crate) async fn read<F>(&self, path: &str, read: F) -> ReadResult
    where
        F: Future<Output = ReadResult> + Send + 'static,
    {
        let shared = self.join(path, read);
        shared.await
    }

    fn join<F>(&self, path: &str, read: F) -> SharedRead
    where
        F: Future<Output = ReadResult> + Send + 'static,
    {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        let object = objects.entry(path.to_owned()).or_default();
        if let Some(next) = &object.next {
            return next.clone();
        }
        let coalescer = self.clone();
        let path = path.to_owned();
        let in_flight = object.in_flight.clone();
        let read = async move {
            let guard = in_flight.lock().await;
            coalescer.mark_sent(&path);
            let result = read.await;
            drop(guard);
            drop(in_flight);
            coalescer.remove_if_idle(&path);
            result
        };
        let task = tokio::spawn(read.in_current_span());
        let shared = async move { task.await.unwrap_or(Err(StoreError::Unreachable)) }
            .boxed()
            .shared();
        object.next = Some(shared.clone());
        shared
    }

    fn mark_sent(&self, path: &str) {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(object) = objects.get_mut(path) {
            object.next = None;
        }
    }

    /// Removes the entry of an object without reads. Object names keep changing, so entries would
    /// accumulate.
    fn remove_if_idle(&self, path: &str) {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        let is_idle = objects.get(path).is_some_and(|object| {
            object.next.is_none() && Arc::strong_count(&object.in_flight) == 1
        });
        if is_idle {
            objects.remove(path);
        }
    }
}
