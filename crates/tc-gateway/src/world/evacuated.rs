//! Failure domains that operators have evacuated.
//!
//! A store entry with the name of a failure domain excludes the upstreams of that domain from new
//! requests for as long as the entry exists. Only the name matters; the content is informational. A
//! name that matches no registered upstream's domain has no effect until one registers there.

use std::{collections::BTreeSet, time::Duration};

use tc_fleet::EvacuatedDomains;
use tc_platform::Purpose;
use tc_protocol::{FailureDomain, MonoTime};

use super::{
    WorldPart,
    kind_watch::{KindUpdate, WATCH_WAIT},
    removals::REREGISTRATION_TIME,
    watch::{GatedWatch, WatchContext},
};

/// Keeps the evacuated failure domains up to date until the future is dropped.
///
/// Changes are applied at once, without batching: they are rare, and simultaneous changes concern
/// whole domains rather than single upstreams.
pub(crate) async fn watch_evacuations(cx: WatchContext) {
    let kind = cx.codec.kinds.evacuations;
    let part = WorldPart::Evacuations;
    let target = cx.target(part, kind, Purpose::Registry, "evacuated failure domains");
    let mut watch = GatedWatch::new(&cx, target);
    let mut kept = KeptEvacuations::default();
    while let Some(update) = watch.next(kept.wait()).await {
        let (revision, store_read, is_list) = match update {
            KindUpdate::List(page, store_read) => (page.revision, store_read, true),
            KindUpdate::Changes(page, store_read) => (page.revision, store_read, false),
            KindUpdate::Failed => continue,
        };
        let now = MonoTime::now();
        let known = &cx.cell.load().evacuated;
        if revision.era > known.revision.era && known.revision.is_known() {
            kept = KeptEvacuations::after_restore(now, &known.domains);
        }
        let names = watch.names().iter().map(|name| (**name).into());
        cx.cell.apply_evacuated(&EvacuatedDomains {
            revision,
            domains: names.chain(kept.domains(now)).collect(),
        });
        cx.cell.confirm(part, &store_read);
        if is_list {
            cx.cell.record_full_read(part, store_read.pauses);
        }
    }
}

/// Evacuations from before a restore of the store. They stay in force until operators have had time to write them again.
#[derive(Default)]
struct KeptEvacuations {
    domains: BTreeSet<FailureDomain>,
    until: MonoTime,
}

impl KeptEvacuations {
    fn after_restore(now: MonoTime, domains: &BTreeSet<FailureDomain>) -> Self {
        Self {
            domains: domains.clone(),
            until: now.after(REREGISTRATION_TIME),
        }
    }

    /// Returns the domains that are still kept.
    fn domains(&mut self, now: MonoTime) -> impl Iterator<Item = FailureDomain> + '_ {
        if now >= self.until {
            self.domains.clear();
        }
        self.domains.iter().cloned()
    }

    /// Returns the duration of the next watch, after which the domains may have to be released.
    fn wait(&self) -> Duration {
        if self.domains.is_empty() {
            return WATCH_WAIT;
        }
        let left = self.until.since(MonoTime::now());
        left.max(Duration::from_millis(1))
    }
}
