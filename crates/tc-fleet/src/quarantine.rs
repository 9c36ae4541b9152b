//! Keeps quarantines in the platform, so that they outlive every instance.

use std::{
    collections::HashSet,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tc_platform::{Quarantined, add_quarantined, list_quarantined};
use tc_protocol::{Fingerprint, MonoTime};

use crate::{node::NodeParts, suspects::Origin};

/// Time between two rounds; one list call each, by every instance.
const INTERVAL: Duration = Duration::from_secs(5);
/// Added per live instance, so that the whole fleet's list calls stay at ten a second however large it grows.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(100);

/// Writes quarantines found here to the platform and takes up those found by others and those lifted by an operator, for ever.
pub(crate) async fn keep(parts: NodeParts) {
    let mut kept: HashSet<Fingerprint> = HashSet::new();
    loop {
        if let Ok(listed) = list_quarantined(&parts.store).await {
            let now = MonoTime::now();
            let listed: HashSet<Fingerprint> =
                listed.into_iter().map(|entry| entry.fingerprint).collect();
            listed
                .difference(&kept)
                .for_each(|new| parts.suspects.adopt_quarantine(now, *new));
            // Known to have been in the platform and gone from it: an operator lifted it. It must be dropped before
            // those found here are written, or it would be put back at once.
            kept.difference(&listed)
                .for_each(|lifted| parts.suspects.lift_quarantine(now, *lifted));
            kept = listed;
        }
        for (fingerprint, origin) in parts.suspects.quarantined() {
            if kept.contains(&fingerprint) {
                continue;
            }
            // A store outage only puts this off: the next round tries again, and gossip works meanwhile.
            if add_quarantined(&parts.store, &entry(fingerprint, origin.as_ref()))
                .await
                .is_ok()
            {
                kept.insert(fingerprint);
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
