//! Upstreams that leave: announcements in their answers, and the check right before a request is written.

use std::sync::Arc;

use tc_protocol::{MonoTime, UpstreamId};

use super::{World, WorldCell};

impl WorldCell {
    /// Excludes an upstream that has announced that it is leaving from new requests, whatever state
    /// the store shows.
    pub(crate) fn mark_leaving(&self, id: &UpstreamId) {
        // Avoids the write lock for repeated announcements: a leaving upstream sends one in every
        // answer.
        if self.load().upstreams.has_announced_leaving(id) {
            return;
        }
        let _guard = self.lock_writes();
        let world = self.load();
        if world.upstreams.has_announced_leaving(id) {
            return;
        }
        log::info!(upstream = id.as_str(); "an upstream announces that it is leaving");
        metrics::counter!("tc_upstreams_leaving_total").increment(1);
        self.publish(World {
            config: world.config.clone(),
            upstreams: Arc::new(world.upstreams.with_leaving(id, MonoTime::now())),
            evacuated: Arc::clone(&world.evacuated),
        });
    }

    /// Returns a check of whether an upstream still takes work, for requests whose connection is being opened.
    pub(crate) fn still_takes_work(
        self: &Arc<Self>,
        id: UpstreamId,
    ) -> Box<dyn Fn() -> bool + Send + Sync> {
        let cell = Arc::clone(self);
        Box::new(move || cell.takes_work(&id))
    }

    /// Returns true if an upstream is registered and takes work.
    pub(crate) fn takes_work(&self, id: &UpstreamId) -> bool {
        let world = self.load();
        let upstream = world.upstreams.upstream(id);
        upstream.is_some_and(|upstream| upstream.takes_work())
    }
}
