//! The table of origins.

use std::time::Duration;

use tc_membership::OriginTable;
use tc_protocol::{
    MonoTime,
    routing::{OriginRecord, StreamKey, StreamOrigin},
};

fn record(key: u128, version: &str, began_ms: u64, expires_ms: u64) -> OriginRecord {
    OriginRecord {
        key: StreamKey(key),
        origin: Some(StreamOrigin {
            service: "engines".into(),
            version: version.into(),
        }),
        began_at: MonoTime::from_millis(began_ms),
        expires_at: MonoTime::from_millis(expires_ms),
    }
}

const NOW: MonoTime = MonoTime::from_millis(100);

#[test]
fn record_is_kept_until_it_expires() {
    let mut table = OriginTable::default();
    table.record(NOW, record(1, "v1", 90, 500));
    assert_eq!(
        table.get(NOW, StreamKey(1)),
        Some(&record(1, "v1", 90, 500))
    );
    assert_eq!(table.get(MonoTime::from_millis(500), StreamKey(1)), None);
    assert_eq!(table.iter(MonoTime::from_millis(500)).count(), 0);
    table.record(MonoTime::from_millis(600), record(2, "v1", 600, 900));
    assert_eq!(table.len(), 1, "expired records are dropped");
}

/// Guards against copies that expire although the stream was taken up again.
#[test]
fn repeated_record_keeps_the_begin_and_the_later_expiry() {
    let mut table = OriginTable::default();
    table.record(NOW, record(1, "v1", 90, 500));
    table.record(NOW, record(1, "v1", 95, 800));
    table.record(NOW, record(1, "v1", 95, 300));
    assert_eq!(
        table.get(NOW, StreamKey(1)),
        Some(&record(1, "v1", 90, 800))
    );
}

/// Guards against a stream that goes on at the version of another stream, because two callers use the same identifier.
#[test]
fn contradicting_records_are_not_relied_on() {
    let mut table = OriginTable::default();
    table.record(NOW, record(1, "v1", 90, 500));
    table.record(NOW, record(1, "v2", 95, 500));
    table.record(NOW, record(1, "v1", 96, 500));
    let known = table.get(NOW, StreamKey(1)).expect("a record");
    assert_eq!(known.origin, None);
}

/// Guards against memory that grows with a burst of streams.
#[test]
fn full_table_drops_the_record_that_expires_first() {
    let mut table = OriginTable::default();
    let mut size = 0;
    for key in 0..100_000 {
        table.record(NOW, record(key, "v1", 90, 1_000 + key as u64));
        if table.len() == size {
            break;
        }
        size = table.len();
    }
    assert!(size < 100_000, "the table is bounded");
    assert_eq!(table.get(NOW, StreamKey(0)), None);
    assert!(table.get(NOW, StreamKey(size as u128)).is_some());
    table.record(
        NOW.after(Duration::from_secs(200)),
        record(1, "v1", 90, 500_000),
    );
    assert_eq!(table.len(), 1);
}
