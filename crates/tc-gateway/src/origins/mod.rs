//! The origins of streams: the software version with which each one began, which binds the rest of it.
//!
//! The origin of a resumable stream is kept here while its caller may take the stream up, and copied to a few other
//! instances, so that it survives the loss of this one.

mod copies;
mod lookup;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tc_membership::{OriginGroup, OriginTable};
use tc_protocol::{
    MonoTime,
    routing::{OriginRecord, StreamKey},
};
use tokio::sync::mpsc;

pub(crate) use copies::{hand_over_origins, send_new_origins};
pub(crate) use lookup::OriginSource;

/// Maximum number of origins that wait to be copied.
const MAX_QUEUED: usize = 4_096;

/// The origins that this instance keeps.
pub(crate) struct StreamOrigins {
    table: Mutex<OriginTable>,
    new_origins: mpsc::Sender<OriginRecord>,
}

/// Receiving end of the origins that are to be copied to other instances.
pub(crate) struct NewOrigins(mpsc::Receiver<OriginRecord>);

impl StreamOrigins {
    /// Creates an empty table and the queue of its new origins.
    pub(crate) fn new() -> (Arc<Self>, NewOrigins) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED);
        let origins = Self {
            table: Mutex::default(),
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
        let mut table = self.lock();
        for record in records {
            table.record(now, record);
        }
        metrics::gauge!("tc_stream_origins").set(table.len() as f64);
    }

    /// Returns what is recorded here of a stream.
    pub(crate) fn get(&self, key: StreamKey) -> Option<OriginRecord> {
        self.lock().get(MonoTime::now(), key).cloned()
    }

    /// Returns all records of a group.
    fn of_group(&self, group: OriginGroup) -> Vec<OriginRecord> {
        let table = self.lock();
        let records = table.iter(MonoTime::now());
        let records = records.filter(|record| OriginGroup::of(record.key) == group);
        records.cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, OriginTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
