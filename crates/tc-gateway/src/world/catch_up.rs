//! Fetches what other instances gossip and this instance's source does not send: a newer configuration or list of upstreams.
//!
//! The source may be outdated itself. Every gossip message carries the state of the store that its sender has, so an
//! instance notices that it is behind as long as it hears from any instance that is not.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use tc_fleet::{Mesh, MeshError, NewerWorld, StoreUpdate, WorldHave};
use tokio::time::{sleep, timeout};

use super::{WorldCell, follow::UpdateAssembler};

/// Gossips the state of the store that this instance has, until the future is dropped.
pub(crate) async fn gossip_world(mesh: Mesh, cell: Arc<WorldCell>) {
    let mut changes = cell.changes();
    loop {
        mesh.set_world(cell.have());
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Fetches gossiped state until the future is dropped.
///
/// It may arrive from this instance's source within `grace` after it was gossiped. A fetch fails if it gets no message for as
/// long again; the next gossip message then names another instance.
pub(crate) async fn fetch_gossiped_world(mesh: Mesh, cell: Arc<WorldCell>, grace: Duration) {
    let mut gossiped = mesh.newer_world();
    let mut last_fetched = WorldHave::default();
    while gossiped.changed().await.is_ok() {
        sleep(grace).await;
        let newer = gossiped.borrow_and_update().clone();
        let before = cell.have();
        // What a fetch leaves out would be gossiped again.
        let is_needed =
            |newer: &NewerWorld| newer.have != last_fetched && newer.have.is_newer_than(&before);
        let Some(newer) = newer.filter(is_needed) else {
            continue;
        };
        match fetch_world(&mesh, &cell, &newer, grace).await {
            Ok(()) => {
                last_fetched = newer.have;
                log_fetch(&newer, &before, &cell.have());
            }
            Err(error) => {
                log::info!(from = newer.holder.as_str(), before = before.config_version, version = newer.have.config_version, list_before = before.upstreams_revision.to_string().as_str(), list = newer.have.upstreams_revision.to_string().as_str(), problem = error.to_string().as_str(); "fetching newer state of the store failed");
            }
        }
    }
}

fn log_fetch(newer: &NewerWorld, before: &WorldHave, after: &WorldHave) {
    let from = newer.holder.as_str();
    if after.config_version > before.config_version {
        metrics::counter!("tc_config_fetches_total").increment(1);
        log::info!(from = from, before = before.config_version, version = after.config_version; "configuration fetched that the source has not sent");
    }
    if after.upstreams_digest != before.upstreams_digest {
        metrics::counter!("tc_upstream_fetches_total").increment(1);
        log::info!(from = from, before = before.upstreams_revision.to_string().as_str(), revision = newer.have.upstreams_revision.to_string().as_str(); "changes of upstreams fetched that the source has not sent");
    }
}

/// Applies the state of the instance that gossiped it. Does nothing if that instance is no longer a member.
///
/// Fails if no message comes for `limit`. The time for all of them depends on the size of the state and on the link.
async fn fetch_world(
    mesh: &Mesh,
    cell: &WorldCell,
    newer: &NewerWorld,
    limit: Duration,
) -> Result<(), MeshError> {
    let members = mesh.members();
    let Some(holder) = members.iter().find(|member| member.id == newer.holder) else {
        return Ok(());
    };
    let timed_out = |_| MeshError::TimedOut {
        instance: holder.id.clone(),
    };
    let updates = timeout(limit, mesh.follow_world(holder, cell.have())).await;
    let mut updates = updates.map_err(timed_out)??;
    let mut assembler = UpdateAssembler::default();
    while let Some(update) = timeout(limit, updates.next()).await.map_err(timed_out)? {
        if let Some(update) = assembler.complete(update?) {
            apply(cell, &update);
            return Ok(());
        }
    }
    Ok(())
}

fn apply(cell: &WorldCell, update: &StoreUpdate) {
    if let Some(config) = &update.config {
        cell.apply_config(config);
    }
    if let Some(upstreams) = &update.upstreams {
        cell.apply_changed_entries(upstreams);
    }
}
