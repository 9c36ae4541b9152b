//! The origins of streams: the software version with which each one began, which binds the rest of it.
//!
//! The origin of a resumable stream is kept here while its caller may take the stream up, and copied to a few other
//! instances, so that it survives the loss of this one.

mod copies;
mod lookup;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_membership::{CoverageLog, HolderFinding, HolderLog, OriginGroup, OriginTable};
use tc_protocol::{
    InstanceId, Member, MonoTime,
    routing::{OriginAnswer, OriginRecord, StreamKey},
};
use tokio::sync::mpsc;

pub(crate) use copies::{follow_holders, send_new_origins};
pub(crate) use lookup::{ContentMatch, OriginSource};

/// Maximum number of origins that wait to be copied.
const MAX_QUEUED: usize = 4_096;

#[derive(Default)]
struct Kept {
    table: OriginTable,
    coverage: CoverageLog,
    holders: HolderLog,
}

/// The origins that this instance keeps.
pub(crate) struct StreamOrigins {
    kept: Mutex<Kept>,
    new_origins: mpsc::Sender<OriginRecord>,
}

/// Receiving end of the origins that are to be copied to other instances.
pub(crate) struct NewOrigins(mpsc::Receiver<OriginRecord>);

impl StreamOrigins {
    /// Creates an empty table and the queue of its new origins.
    pub(crate) fn new() -> (Arc<Self>, NewOrigins) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        let origins = Self {
            kept: Mutex::default(),
            new_origins: sender,
        };
        (Arc::new(origins), NewOrigins(receiver))
    }

    /// Records the origin of a stream that this instance serves. Copies are sent in the background.
    pub(crate) fn record(&self, record: OriginRecord) {
        self.receive(vec![record.clone()]);
        if self.new_origins.try_send(record).is_err() {
            log::warn!("the origin of a stream is not copied: the queue is full");
            metrics::counter!("tc_stream_origin_copies_total", "result" => "dropped").increment(1);
        }
    }

    /// Records origins that another instance sent.
    pub(crate) fn receive(&self, records: Vec<OriginRecord>) {
        let now = MonoTime::now();
        let mut kept = self.lock();
        for record in records {
            kept.table.record(now, record);
        }
        metrics::gauge!("tc_stream_origins").set(kept.table.len() as f64);
    }

    /// Returns what is recorded here of a stream.
    pub(crate) fn get(&self, key: StreamKey) -> Option<OriginRecord> {
        self.lock().table.get(MonoTime::now(), key).cloned()
    }

    /// Returns what is recorded here of a stream, and for how long this instance has kept the origins of its group.
    pub(crate) fn answer(&self, key: StreamKey) -> OriginAnswer {
        let now = MonoTime::now();
        let kept = self.lock();
        OriginAnswer {
            record: kept.table.get(now, key).cloned(),
            coverage: kept.coverage.of(now, OriginGroup::of(key)),
        }
    }

    /// Applies the current holders of each group to its coverage.
    fn holders_changed(&self, me: &InstanceId, holders: &HashMap<OriginGroup, Vec<Member>>) {
        let now = MonoTime::now();
        let mut kept = self.lock();
        for (group, holders) in holders {
            kept.coverage.update(now, me, *group, holders);
            kept.holders.update(now, *group, holders);
        }
    }

    /// Records a pause of this process, in which it received no origins.
    fn paused(&self) {
        let mut kept = self.lock();
        kept.coverage.restart(MonoTime::now());
        kept.holders.restart();
    }

    /// Returns the members that have been holders of a group within `window`.
    fn holders_within(&self, group: OriginGroup, window: Duration) -> Vec<Member> {
        let kept = self.lock();
        let holders = kept.holders.within(MonoTime::now(), group, window);
        holders.cloned().collect()
    }

    /// Returns true if the holders that have kept all origins of a group for `window` outnumber those that may know others.
    fn is_covered(
        &self,
        group: OriginGroup,
        window: Duration,
        finding: impl Fn(&Member) -> HolderFinding,
    ) -> bool {
        let kept = self.lock();
        kept.holders.covers(MonoTime::now(), group, window, finding)
    }

    /// Returns all records of a group.
    fn of_group(&self, group: OriginGroup) -> Vec<OriginRecord> {
        let kept = self.lock();
        let records = kept.table.iter(MonoTime::now());
        let records = records.filter(|record| OriginGroup::of(record.key) == group);
        records.cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
