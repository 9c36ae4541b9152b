//! Failure domains that operators have evacuated.
//!
//! A store entry with the name of a failure domain excludes the upstreams of that domain from new
//! requests for as long as the entry exists. Only the name matters; the content is informational. A
//! name that matches no registered upstream's domain has no effect until one registers there.

use tc_fleet::EvacuatedDomains;
use tc_platform::Purpose;

use super::{
    WorldPart,
    kind_watch::{KindUpdate, WATCH_WAIT},
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
    while let Some(update) = watch.next(WATCH_WAIT).await {
        let (revision, store_read, is_list) = match update {
            KindUpdate::List(page, store_read) => (page.revision, store_read, true),
            KindUpdate::Changes(page, store_read) => (page.revision, store_read, false),
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
