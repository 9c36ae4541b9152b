//! Copies of the store's state from other instances, for when this one is turned away or its watch has gone silent.

use std::{sync::Arc, time::Duration};

use tc_fleet::Mesh;
use tokio::time::{sleep, timeout};

use super::WorldCell;

/// How long another instance may know more before it is asked: its news and the store's own usually come within
/// milliseconds of each other, and a copy is needless then.
const LAG: Duration = Duration::from_millis(250);
/// How often the world is compared without any news: news travel in datagrams, which may be lost.
const CHECK_EVERY: Duration = Duration::from_millis(500);

/// Tells others what is known here and gets what they know beyond; runs until it is dropped.
pub(crate) async fn follow_peers(mesh: Mesh, cell: Arc<WorldCell>) {
    let mut news = mesh.changes();
    let mut changes = cell.changes();
    let mut told = 0;
    loop {
        let revision = cell.revision();
        if revision > told {
            told = revision;
            mesh.set_revision(revision);
        }
        if is_behind(&mesh, &cell) {
            sleep(LAG).await;
            if is_behind(&mesh, &cell) {
                pull(&mesh, &cell).await;
            }
        }
        // Either kind of news, or the time, leads to the same comparison.
        let _ = timeout(CHECK_EVERY, async {
            tokio::select! {
                _ = news.changed() => {}
                _ = changes.changed() => {}
            }
        })
        .await;
    }
}

fn is_behind(mesh: &Mesh, cell: &WorldCell) -> bool {
    mesh.newest_revision().0 > cell.revision()
}

async fn pull(mesh: &Mesh, cell: &WorldCell) {
    let (newest, Some(holder)) = mesh.newest_revision() else {
        return;
    };
    match mesh.pull_world(&holder, cell.have()).await {
        Ok(copy) => {
            log::info!(from = holder.id.as_str(), newest = newest, config = copy.config.is_some(), upstreams = copy.upstreams.is_some(); "took the store's state from another instance");
            if let Some(raw) = &copy.config {
                cell.apply_config(raw, newest);
            }
            if let Some((revision, objects)) = &copy.upstreams {
                cell.replace_upstreams(objects, *revision);
            }
        }
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "another instance knows more and did not tell");
            mesh.doubt(&holder.id);
        }
    }
}
