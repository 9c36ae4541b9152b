//! The failure domains that operators have evacuated.
//!
//! An entry of the store named like a failure domain asks that nothing new be sent to the upstreams there for as long as the
//! entry lies there. Only its name counts: what else is in it is for those who read it. A name that no upstream's domain
//! bears changes nothing until one registers there.

use tc_fleet::EvacuatedDomains;
use tc_platform::Purpose;

use super::{
    WorldPart,
    kind_watch::{KindUpdate, WATCH_WAIT},
    watch::{GatedWatch, WatchContext},
};

/// Keeps the evacuated failure domains up to date; runs until it is dropped.
///
/// A change counts at once: there are few, and those that come together concern domains, not single upstreams.
pub(crate) async fn watch_evacuations(cx: WatchContext) {
    let kind = cx.edges.kinds.evacuations;
    let part = WorldPart::Evacuations;
    let target = cx.target(part, kind, Purpose::Registry, "evacuated failure domains");
    let mut watch = GatedWatch::new(&cx, target);
    while let Some(update) = watch.next(WATCH_WAIT).await {
        let (revision, store_read, is_list) = match update {
            KindUpdate::List(page, store_read) => (page.at, store_read, true),
            KindUpdate::Changes(page, store_read) => (page.at, store_read, false),
            KindUpdate::Failed => continue,
        };
        let names = watch.names().iter();
        cx.cell.apply_evacuated(&EvacuatedDomains {
            revision,
            domains: names.map(|name| (**name).into()).collect(),
        });
        cx.cell.confirm(part, &store_read);
        if is_list {
            cx.cell.record_full_read(part, store_read.pauses);
        }
    }
}
