//! Lists of all objects of a kind, page by page.

use std::{collections::BTreeSet, sync::Arc};

use futures::future::try_join_all;

use crate::{Freshness, KindDialect, ListPage, Purpose, Store, StoreError, store::Connection};

/// Number of objects from which a list is read in parts at the same time, one for each such number.
const OBJECTS_PER_PART: usize = 2_500;

/// A call that lists a kind.
#[derive(Clone, Copy)]
struct ListCall<'a> {
    purpose: Purpose,
    dialect: &'a KindDialect,
    kind: &'a str,
    freshness: Freshness,
}

impl Store {
    /// Lists every object of a kind, with the revision to watch from.
    ///
    /// That is the revision of the first page, so the watch reports again what changed while later
    /// pages were read.
    ///
    /// Each page is read over a new connection, so that a list still succeeds when pooled
    /// connections have stopped responding, and returns changes that a watch on such a connection
    /// misses.
    pub async fn list_kind(
        &self,
        purpose: Purpose,
        dialect: &KindDialect,
        kind: &str,
        freshness: Freshness,
    ) -> Result<ListPage, StoreError> {
        let call = ListCall {
            purpose,
            dialect,
            kind,
            freshness,
        };
        self.list_part(call, None, None).await
    }

    /// Lists every object of a kind like [`list_kind`](Self::list_kind), of which `known` existed
    /// lately. Parts of a long list are read at the same time, so that its time does not grow with
    /// the number of objects.
    pub async fn list_known_kind(
        &self,
        purpose: Purpose,
        dialect: &KindDialect,
        kind: &str,
        known: &BTreeSet<Arc<str>>,
    ) -> Result<ListPage, StoreError> {
        let call = ListCall {
            purpose,
            dialect,
            kind,
            freshness: Freshness::Current,
        };
        let bounds = part_bounds(known);
        let starts = [None].into_iter().chain(bounds.iter().copied().map(Some));
        let ends = bounds.iter().copied().map(Some).chain([None]);
        let parts = starts.zip(ends);
        let parts = parts.map(|(start, end)| self.list_part(call, start, end));
        let parts = try_join_all(parts).await?;
        let is_split = parts.len() > 1;
        let mut parts = parts.into_iter();
        let mut all = parts.next().ok_or(StoreError::Malformed)?;
        for part in parts {
            check_same_era(&all, &part)?;
            all.revision = all.revision.min(part.revision);
            all.items.extend(part.items);
            all.unreadable.extend(part.unreadable);
            all.last_name = part.last_name;
            all.bytes += part.bytes;
        }
        all.has_more |= is_split;
        Ok(all)
    }

    /// Lists the objects with names after `start`, up to and including `end`.
    async fn list_part(
        &self,
        call: ListCall<'_>,
        start: Option<&str>,
        end: Option<&str>,
    ) -> Result<ListPage, StoreError> {
        let mut part = self.list_page(call, start).await?;
        let mut has_more = part.has_more && !part.is_empty();
        while has_more {
            // Without a name to continue after, a part of the list would pass for the whole of it.
            let after = part.last_name.clone().ok_or(StoreError::Malformed)?;
            if end.is_some_and(|end| &*after >= end) {
                break;
            }
            let page = self.list_page(call, Some(&after)).await?;
            check_same_era(&part, &page)?;
            has_more = page.has_more && !page.is_empty();
            if has_more && page.last_name.as_ref().is_none_or(|last| *last <= after) {
                return Err(StoreError::Malformed);
            }
            part.items.extend(page.items);
            part.unreadable.extend(page.unreadable);
            part.last_name = page.last_name;
            part.bytes += page.bytes;
        }
        if let Some(end) = end {
            let within = part.items.partition_point(|object| &*object.name <= end);
            part.items.truncate(within);
        }
        Ok(part)
    }

    async fn list_page(
        &self,
        call: ListCall<'_>,
        after: Option<&str>,
    ) -> Result<ListPage, StoreError> {
        let path = (call.dialect.list_path)(call.kind, after, call.freshness);
        let response = self
            .read_over(Connection::New, call.purpose, &path, self.timeout())
            .await?;
        let era = (call.dialect.read_era)(&response.headers);
        (call.dialect.read_list)(era, &response.body).ok_or(StoreError::Malformed)
    }
}

/// Returns an error if the store was restored between two pages, which together show no state that it ever had.
fn check_same_era(first: &ListPage, next: &ListPage) -> Result<(), StoreError> {
    if first.revision.era == next.revision.era {
        Ok(())
    } else {
        Err(StoreError::Restored)
    }
}

/// Returns the last names of all parts of a list but the last one.
fn part_bounds(known: &BTreeSet<Arc<str>>) -> Vec<&str> {
    let parts = (known.len() / OBJECTS_PER_PART).max(1);
    let part_size = known.len().div_ceil(parts).max(1);
    let ends = known.iter().skip(part_size - 1).step_by(part_size);
    ends.take(parts - 1).map(|name| &**name).collect()
}
