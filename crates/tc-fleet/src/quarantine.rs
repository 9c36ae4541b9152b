//! Synchronizes quarantines with the platform, so that they outlive the instances.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tc_platform::{Lift, Quarantined, StoreError, add_quarantined, last_lift, list_quarantined};
use tc_protocol::{Fingerprint, MonoTime};

use crate::{node::NodeParts, suspects::Origin};

/// Interval between two rounds. Every instance makes one list call per round.
const INTERVAL: Duration = Duration::from_secs(5);
/// Added for each member, so that the fleet makes at most ten list calls per second, whatever its size.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(100);
/// Maximum number of fingerprints whose last lift is stored.
const MAX_APPLIED_LIFTS: usize = 4_096;

/// Stores local quarantines in the platform, and applies those of other instances and removals by operators. Never
/// returns.
pub(crate) async fn sync(parts: NodeParts) {
    let mut sync = QuarantineSync {
        parts,
        stored: HashSet::new(),
        applied_lifts: HashMap::new(),
    };
    loop {
        if let Ok(listed) = list_quarantined(&sync.parts.store).await {
            let listed = listed.into_iter().map(|entry| entry.fingerprint);
            sync.apply(listed.collect()).await;
        }
        for (fingerprint, origin) in sync.parts.suspects.quarantined() {
            // Instances that only received the evidence leave storing it to those that got a report.
            if let Some(origin) = origin
                && !sync.stored.contains(&fingerprint)
            {
                // During a store outage this fails and is tried again in the next round; gossip still works.
                let _ = sync.store(fingerprint, &origin).await;
            }
        }
        let members = sync.parts.view.load().members.len() as u32;
        tokio::time::sleep(INTERVAL + INTERVAL_PER_INSTANCE * members).await;
    }
}

struct QuarantineSync {
    parts: NodeParts,
    /// The quarantines that were last known to be in the platform.
    stored: HashSet<Fingerprint>,
    /// The last lift of a quarantine that this instance has applied.
    applied_lifts: HashMap<Fingerprint, Lift>,
}

impl QuarantineSync {
    /// Applies what was added to the platform and removed from it since the last round.
    ///
    /// Lifted quarantines must be dropped before the local ones are stored, or they would be stored again immediately.
    async fn apply(&mut self, listed: HashSet<Fingerprint>) {
        let before = std::mem::replace(&mut self.stored, listed);
        for added in self.stored.difference(&before) {
            let suspects = &self.parts.suspects;
            suspects.adopt_quarantine(MonoTime::now(), *added);
        }
        let removed: Vec<Fingerprint> = before.difference(&self.stored).copied().collect();
        for fingerprint in removed {
            let suspects = &self.parts.suspects;
            suspects.lift_quarantine(MonoTime::now(), fingerprint);
            // Otherwise the next quarantine of the same request would be taken for the lifted one.
            if let Ok(Some(lift)) = last_lift(&self.parts.store, fingerprint).await {
                self.record_lift(fingerprint, lift);
            }
        }
    }

    /// Stores a local quarantine, unless it was lifted: another instance may have stored it, and an operator removed it,
    /// since the last round.
    async fn store(&mut self, fingerprint: Fingerprint, origin: &Origin) -> Result<(), StoreError> {
        let lift = last_lift(&self.parts.store, fingerprint).await?;
        if let Some(lift) = lift
            && self.applied_lifts.get(&fingerprint) != Some(&lift)
        {
            log::info!(input = format!("{:016x}", fingerprint.0).as_str(); "quarantine lifted before it was listed");
            self.record_lift(fingerprint, lift);
            self.parts
                .suspects
                .lift_quarantine(MonoTime::now(), fingerprint);
            return Ok(());
        }
        add_quarantined(&self.parts.store, &entry(fingerprint, origin)).await?;
        self.stored.insert(fingerprint);
        Ok(())
    }

    fn record_lift(&mut self, fingerprint: Fingerprint, lift: Lift) {
        if self.applied_lifts.len() >= MAX_APPLIED_LIFTS {
            self.applied_lifts.clear();
        }
        self.applied_lifts.insert(fingerprint, lift);
    }
}

fn entry(fingerprint: Fingerprint, origin: &Origin) -> Quarantined {
    let added_at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Quarantined {
        fingerprint,
        workspace: origin.workspace.clone(),
        service: origin.service.clone(),
        crashes: 0,
        added_at_ms: added_at.as_millis() as u64,
    }
}
