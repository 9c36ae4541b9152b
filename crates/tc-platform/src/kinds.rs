//! Lists and watches all objects of a kind, and writes objects without a version check.
//!
//! Stores differ in paths and bodies; a [`KindDialect`] describes those of one store.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, Method, Request, header};
use http_body_util::Full;
use serde_json::Value;
use tc_protocol::StoreRevision;

use crate::{
    Purpose, StoreError,
    store::{Connection, Effect, Response, Store},
};

/// An object and the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredObject {
    /// Name, unique within the kind.
    pub name: Arc<str>,
    /// Store revision of the last change.
    pub revision: StoreRevision,
    /// Value. Shared, because it is forwarded between instances.
    pub value: Arc<Value>,
}

/// One page of the objects of a kind, ordered by name.
#[derive(Clone, Debug, PartialEq)]
pub struct ListPage {
    /// Objects on this page.
    pub items: Vec<StoredObject>,
    /// Whether more objects follow. In a list of all objects, whether it took more than one page.
    pub has_more: bool,
    /// Store revision at which the page was read.
    pub revision: StoreRevision,
    /// One message for each object that was skipped because it cannot be decoded.
    pub unreadable: Vec<String>,
    /// Name of the last object on this page, also if the object cannot be decoded; `None` if no object has a name.
    pub last_name: Option<Arc<str>>,
    /// Size of the responses.
    pub bytes: usize,
}

impl ListPage {
    /// Returns true if there is no object on this page, decoded or not.
    #[must_use]
    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty() && self.unreadable.is_empty()
    }
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectEvent {
    /// The object was created or changed.
    Put(StoredObject),
    /// The object was removed.
    Removed {
        /// Name of the object.
        name: Arc<str>,
        /// Store revision of the removal, if the store reports it.
        revision: StoreRevision,
    },
}

/// Changes since a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchPage {
    /// Changes, oldest first.
    pub events: Vec<ObjectEvent>,
    /// Revision from which to continue the watch.
    pub revision: StoreRevision,
    /// One message for each change that was skipped because it cannot be decoded.
    pub unreadable: Vec<String>,
}

/// Required freshness of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The list shows all writes that the store had acknowledged when the list was requested.
    Current,
    /// The list may be seconds old. Such a list costs the store a fraction and does not count
    /// towards its rate limit.
    SecondsOld,
}

/// Paths, methods and bodies of these calls for one kind of store.
#[derive(Clone, Copy, Debug)]
pub struct KindDialect {
    /// Returns the path that lists the objects of a kind, starting after the given name.
    pub list_path: fn(&str, Option<&str>, Freshness) -> String,
    /// Decodes the era from the headers of a response; 0 if it is missing or unreadable.
    pub read_era: fn(&HeaderMap) -> u16,
    /// Decodes a list response of the given era.
    pub read_list: fn(u16, &[u8]) -> Option<ListPage>,
    /// Returns the path that watches a kind from a revision, with the maximum time to wait.
    pub watch_path: fn(&str, u64, Duration) -> String,
    /// Decodes a watch response of the given era.
    pub read_watch: fn(u16, &[u8]) -> Option<WatchPage>,
    /// Returns method, path and body of the request that creates an object.
    pub create: fn(&str, &str, &Value) -> (Method, String, Value),
    /// Returns method, path and body of the request that replaces an object, whatever its current
    /// value.
    pub replace: fn(&str, &str, &Value) -> (Method, String, Value),
    /// Status code with which the store reports that the history of a watch is no longer kept.
    pub history_gone: u16,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchResult {
    /// Changes; empty if the wait ended without one.
    Changes(WatchPage),
    /// The store no longer keeps the changes since that revision: list again.
    HistoryGone,
}

impl Store {
    /// Returns the revision of the store with a single call, whatever the number of objects, by
    /// listing only what follows `last`, the last known name of a kind.
    pub async fn revision(
        &self,
        purpose: Purpose,
        dialect: &KindDialect,
        kind: &str,
        last: &str,
    ) -> Result<StoreRevision, StoreError> {
        let path = (dialect.list_path)(kind, Some(last), Freshness::Current);
        let response = self
            .read_over(Connection::New, purpose, &path, self.timeout())
            .await?;
        let era = (dialect.read_era)(&response.headers);
        let page = (dialect.read_list)(era, &response.body).ok_or(StoreError::Malformed)?;
        Ok(page.revision)
    }

    /// Waits up to `wait` for changes of a kind's objects since revision `from`.
    pub async fn watch_kind(
        &self,
        purpose: Purpose,
        dialect: &KindDialect,
        kind: &str,
        from: StoreRevision,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let path = (dialect.watch_path)(kind, from.number, wait);
        let timeout = wait + self.timeout();
        let response = self.read_over(Connection::Pooled, purpose, &path, timeout);
        match response.await {
            Ok(response) => {
                let era = (dialect.read_era)(&response.headers);
                if era != from.era {
                    // The same number means another state in another era.
                    return Ok(WatchResult::HistoryGone);
                }
                (dialect.read_watch)(era, &response.body)
                    .map(WatchResult::Changes)
                    .ok_or(StoreError::Malformed)
            }
            Err(StoreError::Refused(status)) if status == dialect.history_gone => {
                Ok(WatchResult::HistoryGone)
            }
            Err(error) => Err(error),
        }
    }

    /// Creates or replaces an object without a version check, for objects that only one instance
    /// writes.
    ///
    /// A lost response is returned as an error. Repeating the same write is harmless.
    pub async fn put_kind(
        &self,
        purpose: Purpose,
        dialect: &KindDialect,
        kind: &str,
        name: &str,
        value: &Value,
    ) -> Result<(), StoreError> {
        let created = self
            .write(purpose, (dialect.create)(kind, name, value))
            .await;
        match created {
            Err(StoreError::Refused(409) | StoreError::Conflict { .. }) => {
                self.write(purpose, (dialect.replace)(kind, name, value))
                    .await
            }
            other => other,
        }
    }

    pub(crate) async fn read_over(
        &self,
        connection: Connection,
        purpose: Purpose,
        path: &str,
        timeout: Duration,
    ) -> Result<Response, StoreError> {
        let req = Request::new(Full::default());
        self.call_over(connection, purpose, req, path, Effect::Read, timeout)
            .await
    }

    async fn write(
        &self,
        purpose: Purpose,
        (method, path, body): (Method, String, Value),
    ) -> Result<(), StoreError> {
        let req = Request::builder()
            .method(method)
            .header(header::CONTENT_TYPE, "application/json");
        let body = serde_json::to_vec(&body).map_err(|_| StoreError::Malformed)?;
        self.call(
            purpose,
            req,
            &path,
            body.into(),
            Effect::Write,
            self.timeout(),
        )
        .await
        .map(|_| ())
    }
}
