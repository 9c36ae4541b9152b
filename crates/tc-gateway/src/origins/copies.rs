//! Copies origins to the instances that keep them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tc_fleet::{Mesh, MeshError};
use tc_membership::{OriginGroup, origin_holders};
use tc_protocol::{InstanceId, Member, routing::OriginRecord};
use tokio::{sync::watch, time::sleep};

use super::{NewOrigins, StreamOrigins};

/// Maximum number of origins in one message.
const MAX_BATCH: usize = 512;
/// Time for which changes of the members are collected before copies are handed over.
const HAND_OVER_DELAY: Duration = Duration::from_millis(100);

/// Delay of the first repetition of a message that was not answered; doubled for each further one.
const FIRST_RETRY: Duration = Duration::from_millis(200);
/// Delay of the last repetition.
const LAST_RETRY: Duration = Duration::from_millis(1_600);

/// The holders of each group.
type Holders = HashMap<OriginGroup, Vec<Member>>;

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

/// Hands the origins of a group over to instances that have become holders of it, and keeps the coverage of each group up
/// to date, until the process ends. An instance that is leaving hands its copies over in the same way.
///
/// A pause of the process ends the coverage, as origins that others sent meanwhile may be lost.
pub(crate) async fn follow_holders(
    mesh: Mesh,
    origins: Arc<StreamOrigins>,
    mut pauses: watch::Receiver<u64>,
) {
    let mut changes = mesh.changes();
    let mut known = holders_by_group(&mesh.members());
    loop {
        origins.holders_changed(&mesh.me().id, &known);
        tokio::select! {
            update = changes.changed() => if update.is_err() { return },
            update = pauses.changed() => match update {
                Ok(()) => origins.paused(),
                Err(_) => return,
            },
        }
        sleep(HAND_OVER_DELAY).await;
        changes.mark_unchanged();
        let current = holders_by_group(&mesh.members());
        hand_over(&mesh, &origins, &known, &current);
        known = current;
    }
}

/// Sends the origins of each group to the holders that it had not before.
fn hand_over(mesh: &Mesh, origins: &StreamOrigins, before: &Holders, current: &Holders) {
    for (group, holders) in current {
        let is_new = |holder: &&Member| {
            let before = before.get(group).into_iter().flatten();
            !before.map(|m| &m.id).any(|id| *id == holder.id)
        };
        let added: Vec<&Member> = holders.iter().filter(is_new).collect();
        if added.is_empty() {
            continue;
        }
        let records = origins.of_group(*group);
        for holder in added {
            for part in records.chunks(MAX_BATCH) {
                spawn_send(mesh, holder, part.to_vec());
            }
        }
    }
}

fn holders_by_group(members: &[Member]) -> Holders {
    let holders = |group| origin_holders(members, group).into_iter().cloned();
    OriginGroup::all()
        .map(|group| (group, holders(group).collect()))
        .collect()
}

/// Sends origins to a holder, again after a failure while it is a member: a holder that was behind a cut for a moment would
/// vouch for streams that it does not know.
fn spawn_send(mesh: &Mesh, holder: &Member, records: Vec<OriginRecord>) {
    if holder.id == mesh.me().id {
        return;
    }
    let (mesh, holder) = (mesh.clone(), holder.clone());
    tokio::spawn(async move {
        let mut delay = FIRST_RETRY;
        let mut sent = mesh.record_origins(&holder, &records).await;
        while let Err(error) = &sent {
            log::debug!(holder = holder.id.as_str(), origins = records.len(), error = error.to_string().as_str(); "sending the origins of streams failed");
            mesh.report_error(error);
            let is_member = mesh.members().iter().any(|m| m.id == holder.id);
            if matches!(error, MeshError::Refused { .. }) || !is_member || delay > LAST_RETRY {
                break;
            }
            sleep(delay).await;
            delay *= 2;
            sent = mesh.record_origins(&holder, &records).await;
        }
        let result = if sent.is_ok() { "sent" } else { "failed" };
        metrics::counter!("tc_stream_origin_copies_total", "result" => result)
            .increment(records.len() as u64);
    });
}
