//! Synchronizes quarantines with the platform, so that they outlive the instances.

use std::{
    collections::HashSet,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tc_platform::{Quarantined, add_quarantined, list_quarantined};
use tc_protocol::{Fingerprint, MonoTime};

use crate::{node::NodeParts, suspects::Origin};

/// Interval between two rounds. Every instance makes one list call per round.
const INTERVAL: Duration = Duration::from_secs(5);
/// Added for each member, so that the fleet makes at most ten list calls per second, whatever its size.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(100);

/// Stores local quarantines in the platform, and applies those of other instances and removals by operators. Never
/// returns.
pub(crate) async fn sync(parts: NodeParts) {
    let mut stored: HashSet<Fingerprint> = HashSet::new();
    loop {
        if let Ok(listed) = list_quarantined(&parts.store).await {
            let now = MonoTime::now();
            let listed: HashSet<Fingerprint> =
                listed.into_iter().map(|entry| entry.fingerprint).collect();
            listed
                .difference(&stored)
                .for_each(|new| parts.suspects.adopt_quarantine(now, *new));
            // A quarantine that was in the platform and is gone was lifted by an operator. It must be dropped before
            // the local ones are stored, or it would be stored again immediately.
            stored
                .difference(&listed)
                .for_each(|lifted| parts.suspects.lift_quarantine(now, *lifted));
            stored = listed;
        }
        for (fingerprint, origin) in parts.suspects.quarantined() {
            // Instances that only received the evidence leave storing it to those that got a report.
            if stored.contains(&fingerprint) || origin.is_none() {
                continue;
            }
            // During a store outage this fails and is tried again in the next round; gossip still works.
            if add_quarantined(&parts.store, &entry(fingerprint, origin.as_ref()))
                .await
                .is_ok()
            {
                stored.insert(fingerprint);
            }
        }
        let members = parts.view.load().members.len() as u32;
        tokio::time::sleep(INTERVAL + INTERVAL_PER_INSTANCE * members).await;
    }
}

fn entry(fingerprint: Fingerprint, origin: Option<&Origin>) -> Quarantined {
    let added_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Quarantined {
        fingerprint,
        workspace: origin
            .as_ref()
            .map_or_else(|| "".into(), |o| o.workspace.clone()),
        service: origin
            .as_ref()
            .map_or_else(|| "".into(), |o| o.service.clone()),
        crashes: 0,
        added_at_ms: added_at.as_millis() as u64,
    }
}
