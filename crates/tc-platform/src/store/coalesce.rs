//! Coalescing of concurrent identical reads.

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

/// Reads of one object: at most one on its way and one more waiting to be sent, which later callers join.
#[derive(Clone, Default)]
struct Lane {
    on_its_way: Arc<tokio::sync::Mutex<()>>,
    waiting: Option<SharedRead>,
}

/// Lets concurrent reads of one object share a call.
///
/// A caller only ever joins a read that has not been sent yet. Joining one already on its way could give a value
/// from before the caller's own write, seen as a lost write that in truth took effect.
///
/// Reads run in tasks of their own: a caller that joined one and is then not polled for long would otherwise hold up
/// all others that wait for the same object.
#[derive(Clone, Default)]
pub(crate) struct Coalescer {
    lanes: Arc<Mutex<HashMap<String, Lane>>>,
}

impl Coalescer {
    /// Joins the waiting read of `path`, or makes `read` the waiting one.
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
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let lane = lanes.entry(path.to_owned()).or_default();
        if let Some(waiting) = &lane.waiting {
            return waiting.clone();
        }
        let coalescer = self.clone();
        let path = path.to_owned();
        let on_its_way = lane.on_its_way.clone();
        let read = async move {
            let turn = on_its_way.lock().await;
            coalescer.leave_waiting(&path);
            let result = read.await;
            drop(turn);
            drop(on_its_way);
            coalescer.forget_if_idle(&path);
            result
        };
        let task = tokio::spawn(read.in_current_span());
        let shared = async move { task.await.unwrap_or(Err(StoreError::Unreachable)) }
            .boxed()
            .shared();
        lane.waiting = Some(shared.clone());
        shared
    }

    fn leave_waiting(&self, path: &str) {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(lane) = lanes.get_mut(path) {
            lane.waiting = None;
        }
    }

    /// Removes an unused lane; object names keep changing, so lanes would pile up otherwise.
    fn forget_if_idle(&self, path: &str) {
        let mut lanes = self.lanes.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = lanes
            .get(path)
            .is_some_and(|lane| lane.waiting.is_none() && Arc::strong_count(&lane.on_its_way) == 1);
        if idle {
            lanes.remove(path);
        }
    }
}
