//! Copies of the store's state from other instances, for when this one is turned away or its watch has gone silent.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use tc_fleet::{Mesh, WorldHave};
use tc_policy::rendezvous_score;
use tc_protocol::{Member, MemberState};
use tokio::time::{Instant, sleep, timeout};

use super::WorldCell;

/// How long another instance may know more before it is asked: its news and the store's own usually come within
/// milliseconds of each other, and a copy is needless then.
const LAG: Duration = Duration::from_millis(250);
/// How often the world is compared without any news: news travel in datagrams, which may be lost.
const CHECK_EVERY: Duration = Duration::from_millis(500);

/// How often another instance is asked for a newer configuration, news or not.
///
/// What instances tell each other is one revision, the highest of configuration and upstreams: a configuration whose watch
/// got no answer would hide behind a current list of upstreams until the watch ends, half a minute later. A
/// configuration is to be in force within two seconds.
const ASK_EVERY: Duration = Duration::from_secs(1);
/// Longest wait for that answer; an instance that is well gives it in a few milliseconds.
const ASK_LIMIT: Duration = Duration::from_millis(300);
/// Instances that are asked by turns: one that knows more is most likely among them, and each is one connection.
const ASKED: usize = 4;

/// Tells others what is known here and gets what they know beyond; runs until it is dropped.
pub(crate) async fn follow_peers(mesh: Mesh, cell: Arc<WorldCell>) {
    let mut news = mesh.changes();
    let mut changes = cell.changes();
    let mut told = 0;
    let mut next_ask = Instant::now() + ASK_EVERY;
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
        if Instant::now() >= next_ask {
            // Jittered, so that instances that started together do not ask in step.
            next_ask = Instant::now() + ASK_EVERY.mul_f64(0.75 + 0.5 * rand::random::<f64>());
            ask_for_config(&mesh, &cell).await;
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

/// Asks one other instance for a configuration that is newer than the one in force here.
async fn ask_for_config(mesh: &Mesh, cell: &WorldCell) {
    let Some(other) = one_to_ask(mesh) else {
        return;
    };
    let have = WorldHave {
        // The list of upstreams is long and has its own news; it is not asked for.
        upstreams_revision: u64::MAX,
        ..cell.have()
    };
    match timeout(ASK_LIMIT, mesh.pull_world(&other, have)).await {
        Ok(Ok(copy)) => {
            if let Some(raw) = &copy.config {
                log::info!(from = other.id.as_str(); "another instance has a newer configuration; its own watch must have failed here");
                cell.apply_config(raw, cell.revision());
            }
        }
        Ok(Err(error)) => {
            log::debug!(error = error.to_string().as_str(); "another instance did not tell its configuration");
        }
        Err(_) => {
            log::debug!(instance = other.id.as_str(); "another instance did not tell its configuration in time");
        }
    }
}

/// One, by chance, of the few instances that this one asks as long as they live.
fn one_to_ask(mesh: &Mesh) -> Option<Member> {
    let me = &mesh.me().id;
    let members = mesh.members();
    let mut others: Vec<&Member> = members
        .iter()
        .filter(|member| member.id != *me && member.state == MemberState::Alive)
        .collect();
    others.sort_by_key(|member| Reverse(rendezvous_score(me.as_str(), member.id.as_str())));
    others.truncate(ASKED);
    let chosen = rand::random_range(0..others.len().max(1));
    others.get(chosen).copied().cloned()
}
