//! The failure domains that operators have evacuated.
//!
//! An entry of the store named like a failure domain asks that nothing new be sent to the upstreams there for as long as the
//! entry lies there. Only its name counts: what else is in it is for those who read it. A name that no upstream's domain
//! bears changes nothing until one registers there.

use std::time::Duration;

use tc_fleet::EvacuatedDomains;
use tc_platform::Purpose;

use super::{
    WorldPart,
    kind_watch::{Seen, WATCH_WAIT},
    watch::{GatedWatch, WatchContext},
};

/// Keeps the evacuated failure domains up to date, within `bound`; runs until it is dropped.
///
/// A change counts at once: there are few, and those that come together concern domains, not single upstreams.
pub(crate) async fn watch_evacuations(cx: WatchContext, bound: Duration) {
    let kind = cx.edges.kinds.evacuations;
    let followed = cx.followed(kind, Purpose::Registry, "evacuated failure domains", bound);
    let mut watch = GatedWatch::new(&cx, followed, WorldPart::Evacuations);
    while let Some(seen) = watch.next(WATCH_WAIT).await {
        let (revision, absences) = match seen {
            Seen::All(page, absences) => (page.at, Some(absences)),
            Seen::Changes(page) => (page.at, None),
            Seen::Failed => continue,
        };
        let names = watch.names().iter();
        cx.cell.apply_evacuated(&EvacuatedDomains {
            revision,
            domains: names.map(|name| (**name).into()).collect(),
        });
        if let Some(absences) = absences {
            cx.cell.note_read(WorldPart::Evacuations, absences);
        }
    }
}
