//! Listing and watching all objects of a kind, and writing an object whoever wrote it last.
//!
//! Stores differ in paths and bodies; a [`KindDialect`] is what this client needs to know of one.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use serde_json::Value;

use crate::{
    Purpose, StoreError,
    store::{Connection, Effect, Store},
};

/// An object with the revision of its last change.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredObject {
    /// Its name within its kind.
    pub name: Arc<str>,
    /// The store's revision at its last change.
    pub revision: u64,
    /// Its value; shared, as it is handed on between instances.
    pub value: Arc<Value>,
}

/// Some objects of a kind, in order of name.
#[derive(Clone, Debug, PartialEq)]
pub struct ListPage {
    /// The objects.
    pub items: Vec<StoredObject>,
    /// Whether more follow after the last of them.
    pub has_more: bool,
    /// The store's revision that the page shows.
    pub revision: u64,
    /// Why objects were left out that cannot be read, one line each.
    pub unreadable: Vec<String>,
}

/// One change of an object.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectEvent {
    /// It was created or changed.
    Put(StoredObject),
    /// It is gone.
    Removed {
        /// Its name.
        name: Arc<str>,
        /// The store's revision of the removal, as far as it is told.
        revision: u64,
    },
}

/// What changed since a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchPage {
    /// The changes, oldest first.
    pub events: Vec<ObjectEvent>,
    /// Where to go on.
    pub revision: u64,
    /// Why changes were left out that cannot be read, one line each.
    pub unreadable: Vec<String>,
}

/// How current a list must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It shows all that the store had acknowledged when it was asked.
    Current,
    /// It may be seconds old; such a list costs a fraction and counts towards no rate.
    SecondsOld,
}

/// How a store spells these calls.
#[derive(Clone, Copy, Debug)]
pub struct KindDialect {
    /// Path of a list of a kind's objects, after a name.
    pub list_path: fn(&str, Option<&str>, Freshness) -> String,
    /// Reads a list.
    pub read_list: fn(&[u8]) -> Option<ListPage>,
    /// Path of a watch of a kind from a revision on, with the longest time to wait.
    pub watch_path: fn(&str, u64, Duration) -> String,
    /// Reads the answer of a watch.
    pub read_watch: fn(&[u8]) -> Option<WatchPage>,
    /// Method, path and body that create an object.
    pub create: fn(&str, &str, &Value) -> (Method, String, Value),
    /// Method, path and body that replace an object's value whatever it is.
    pub replace: fn(&str, &str, &Value) -> (Method, String, Value),
    /// Status by which the store says that a watch's history is no longer kept.
    pub history_gone: u16,
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchResult {
    /// Changes, none if the wait ended without one.
    Changes(WatchPage),
    /// Changes since then are no longer kept: list again.
    HistoryGone,
}

impl Store {
    /// Lists every object of a kind and tells the revision from which to watch.
    ///
    /// That is the first page's: what changes while later pages are read is seen again by the watch.
    ///
    /// Each page is read over a new connection, so that a list still succeeds when pooled connections
    /// have stopped responding, and returns changes that a watch on such a connection misses.
    pub async fn list_kind(
        &self,
        purpose: Purpose,
        dialect: &KindDialect,
        kind: &str,
        freshness: Freshness,
    ) -> Result<ListPage, StoreError> {
        let mut all: Option<ListPage> = None;
        loop {
            let after = all.as_ref().and_then(|page| page.items.last());
            let after = after.map(|object| &*object.name);
            let path = (dialect.list_path)(kind, after, freshness);
            let body = self
                .read_body(Connection::New, purpose, &path, self.timeout())
                .await?;
            let page = (dialect.read_list)(&body).ok_or(StoreError::Malformed)?;
            let has_more = page.has_more && !page.items.is_empty();
            match &mut all {
                None => all = Some(page),
                Some(all) => all.items.extend(page.items),
            }
            if !has_more {
                return all.ok_or(StoreError::Malformed);
            }
        }
    }

    /// Waits up to `wait` for changes of a kind's objects since revision `from`.
    pub async fn watch_kind(
        &self,
        purpose: Purpose,
        dialect: &KindDialect,
        kind: &str,
        from: u64,
        wait: Duration,
    ) -> Result<WatchResult, StoreError> {
        let path = (dialect.watch_path)(kind, from, wait);
        let timeout = wait + self.timeout();
        let body = self.read_body(Connection::Pooled, purpose, &path, timeout);
        match body.await {
            Ok(body) => (dialect.read_watch)(&body)
                .map(WatchResult::Changes)
                .ok_or(StoreError::Malformed),
            Err(StoreError::Refused(status)) if status == dialect.history_gone => {
                Ok(WatchResult::HistoryGone)
            }
            Err(error) => Err(error),
        }
    }

    /// Writes an object whoever wrote it last; for objects that only one instance writes.
    ///
    /// A lost answer is an error, and writing the same again is harmless.
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

    async fn read_body(
        &self,
        connection: Connection,
        purpose: Purpose,
        path: &str,
        timeout: Duration,
    ) -> Result<Bytes, StoreError> {
        let req = Request::new(Full::default());
        let response = self
            .call_over(connection, purpose, req, path, Effect::Read, timeout)
            .await?;
        Ok(response.body)
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
