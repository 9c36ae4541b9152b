//! The failure domains that operators have evacuated.
//!
//! An entry of the store named like a failure domain asks that nothing new be sent to the upstreams there for as long as the
//! entry lies there. Only its name counts: what else is in it is for those who read it. A name that no upstream's domain
//! bears changes nothing until one registers there.

use tc_fleet::EvacuatedDomains;
use tc_platform::Purpose;

use super::{
    WorldPart,
    kind_watch::{Seen, WATCH_WAIT},
    watch::{GatedWatch, WatchContext},
};

/// Keeps the evacuated failure domains up to date; runs until it is dropped.
///
/// A change counts at once: there are few, and those that come together concern domains, not single upstreams.
pub(crate) async fn watch_evacuations(cx: WatchContext) {
    let kind = cx.codec.kinds.evacuations;
    let part = WorldPart::Evacuations;
    let followed = cx.followed(part, kind, Purpose::Registry, "evacuated failure domains");
    let mut watch = GatedWatch::new(&cx, followed);
    while let Some(seen) = watch.next(WATCH_WAIT).await {
        let (revision, reading, is_list) = match seen {
            Seen::All(page, reading) => (page.at, reading, true),
            Seen::Changes(page, reading) => (page.at, reading, false),
            Seen::Failed => continue,
        };
        let names = watch.names().iter();
        cx.cell.apply_evacuated(&EvacuatedDomains {
            revision,
            domains: names.map(|name| (**name).into()).collect(),
        });
        cx.cell.confirm(part, &reading);
        if is_list {
            cx.cell.note_read(part, reading.absences);
        }
    }
}
