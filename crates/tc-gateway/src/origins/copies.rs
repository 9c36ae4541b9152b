//! Copies origins to the instances that keep them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tc_fleet::Mesh;
use tc_membership::{OriginGroup, origin_holders};
use tc_protocol::{InstanceId, Member, routing::OriginRecord};
use tokio::time::sleep;

use super::{NewOrigins, StreamOrigins};

/// Maximum number of origins in one message.
const MAX_BATCH: usize = 512;
/// Time for which changes of the members are collected before copies are handed over.
const HAND_OVER_DELAY: Duration = Duration::from_millis(100);

/// Sends new origins to the instances that keep them, until the process ends.
pub(crate) async fn send_new_origins(mesh: Mesh, mut new_origins: NewOrigins) {
    let mut batch = Vec::new();
    while new_origins.0.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let members = mesh.members();
        let mut by_holder: HashMap<&InstanceId, (&Member, Vec<OriginRecord>)> = HashMap::new();
        for record in batch.drain(..) {
            for holder in origin_holders(&members, OriginGroup::of(record.key)) {
                let (_, records) = by_holder.entry(&holder.id).or_insert((holder, Vec::new()));
                records.push(record.clone());
            }
        }
        for (holder, records) in by_holder.into_values() {
            spawn_send(&mesh, holder, records);
        }
    }
}

/// Sends the origins of a group to instances that have become holders of it, until the process ends. An instance that is
/// leaving hands its copies over in the same way.
pub(crate) async fn hand_over_origins(mesh: Mesh, origins: Arc<StreamOrigins>) {
    let mut changes = mesh.changes();
    let mut known = holders_by_group(&mesh.members());
    while changes.changed().await.is_ok() {
        sleep(HAND_OVER_DELAY).await;
        changes.mark_unchanged();
        let current = holders_by_group(&mesh.members());
        for (group, holders) in &current {
            let is_new = |holder: &&Member| {
                let before = known.get(group).into_iter().flatten();
                !before.map(|m| &m.id).any(|id| *id == holder.id)
            };
            let added: Vec<&Member> = holders.iter().filter(is_new).collect();
            if added.is_empty() {
                continue;
            }
            let records = origins.of_group(*group);
            for holder in added {
                for part in records.chunks(MAX_BATCH) {
                    spawn_send(&mesh, holder, part.to_vec());
                }
            }
        }
        known = current;
    }
}

fn holders_by_group(members: &[Member]) -> HashMap<OriginGroup, Vec<Member>> {
    let holders = |group| origin_holders(members, group).into_iter().cloned();
    OriginGroup::all()
        .map(|group| (group, holders(group).collect()))
        .collect()
}

fn spawn_send(mesh: &Mesh, holder: &Member, records: Vec<OriginRecord>) {
    if holder.id == mesh.me().id {
        return;
    }
    let (mesh, holder) = (mesh.clone(), holder.clone());
    tokio::spawn(async move {
        let sent = mesh.record_origins(&holder, &records).await;
        let result = if sent.is_ok() { "sent" } else { "failed" };
        metrics::counter!("tc_stream_origin_copies_total", "result" => result)
            .increment(records.len() as u64);
        if let Err(error) = sent {
            log::debug!(holder = holder.id.as_str(), origins = records.len(), error = error.to_string().as_str(); "sending the origins of streams failed");
            mesh.report_error(&error);
        }
    });
}
