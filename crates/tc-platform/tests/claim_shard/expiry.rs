//! Sealing and expiry of claims.

use std::{sync::Arc, time::Duration};

use tc_platform::claim_shard::{Op, RecordResult, Reply, Shard, ShardLimits, Step};
use tc_protocol::{ClaimVerdict, MonoTime, RecordedOutcome, RunState};

use crate::{
    fake_store::FakeStore,
    steps::{carry_out, digest, feed, settle},
};

const RETENTION: Duration = Duration::from_mins(10);
const START: MonoTime = MonoTime::from_millis(1);

fn shard(seal_bytes: usize, max_segments: usize) -> Shard {
    let limits = ShardLimits {
        seal_bytes,
        max_segments,
        ..ShardLimits::default()
    };
    Shard::new(0, limits, RETENTION)
}

/// A time after the start, in parts of the retention.
fn at(part: f64) -> MonoTime {
    START.after(RETENTION.mul_f64(part))
}

fn claim(shard: &mut Shard, store: &mut FakeStore, now: MonoTime, key: u8) -> &'static str {
    // Unique, since no two claims of one key are made at the same time.
    let claim_id = format!("{key}-{}", now.0).into();
    let key = digest(key);
    let ticket = shard.push(Op::Claim {
        key,
        body_hash: 1,
        claim_id,
    });
    let replies = settle(shard, store, now);
    let reply = replies.into_iter().find(|(t, _)| *t == ticket).unwrap().1;
    match reply {
        Reply::Claim(ClaimVerdict::Acquired { .. }) => "ours",
        Reply::Claim(ClaimVerdict::Held) => "held",
        Reply::Claim(ClaimVerdict::Unavailable) => "unavailable",
        other => panic!("{other:?}"),
    }
}

/// Symptom: a key is free before its retention is over, or for ever claimed.
/// Sequence: claims are sealed; one instance is old enough to have seen their whole retention, another is not.
/// Cause: an instance may only trust its own monotonic clock, from when it first saw a sealed segment.
#[test]
fn claims_expire_by_the_clock_of_an_instance_that_saw_them_all_along() {
    let (mut store, mut old) = (FakeStore::default(), shard(1, 100));
    assert_eq!(claim(&mut old, &mut store, at(0.0), 1), "ours");
    assert_eq!(claim(&mut old, &mut store, at(0.0), 2), "ours");
    let mut young = shard(1, 100);
    assert_eq!(claim(&mut young, &mut store, at(0.9), 1), "held");
    assert_eq!(claim(&mut young, &mut store, at(1.0), 3), "ours");
    // The young one has seen the segment for a fifth of the retention.
    assert_eq!(claim(&mut young, &mut store, at(1.1), 4), "ours");
    assert_eq!(claim(&mut young, &mut store, at(1.1), 1), "held");
    assert_eq!(claim(&mut old, &mut store, at(1.1), 5), "ours");
    assert_eq!(claim(&mut old, &mut store, at(1.1), 1), "ours");
    assert_eq!(claim(&mut young, &mut store, at(1.2), 1), "held");
}

#[test]
fn few_claims_are_sealed_by_age_and_expire_too() {
    let (mut store, mut shard) = (FakeStore::default(), shard(100_000, 100));
    assert_eq!(claim(&mut shard, &mut store, at(0.0), 1), "ours");
    assert_eq!(claim(&mut shard, &mut store, at(0.4), 2), "ours");
    assert_eq!(store.names().len(), 1);
    assert_eq!(claim(&mut shard, &mut store, at(0.6), 3), "ours");
    assert_eq!(store.names().len(), 2);
    assert_eq!(claim(&mut shard, &mut store, at(1.5), 1), "held");
    assert_eq!(claim(&mut shard, &mut store, at(1.7), 4), "ours");
    assert_eq!(claim(&mut shard, &mut store, at(1.7), 1), "ours");
}

#[test]
fn expired_segments_are_deleted() {
    let (mut store, mut shard) = (FakeStore::default(), shard(1, 100));
    for key in 0..20 {
        claim(&mut shard, &mut store, at(0.0), key);
    }
    assert_eq!(store.names().len(), 20);
    claim(&mut shard, &mut store, at(1.1), 20);
    // The head, and the segment of the last claim before, which was sealed just now.
    assert_eq!(store.names().len(), 2);
}

/// Symptom: a live claim is dropped to make room, and its key runs twice.
/// Sequence: a shard gets claims faster than they expire.
/// Cause: a full shard must refuse new claims, and take outcomes and releases of the old ones.
#[test]
fn a_full_shard_refuses_claims_and_keeps_those_it_has() {
    let (mut store, mut shard) = (FakeStore::default(), shard(1, 2));
    for key in 0..3 {
        assert_eq!(claim(&mut shard, &mut store, at(0.0), key), "ours");
    }
    assert_eq!(claim(&mut shard, &mut store, at(0.0), 3), "unavailable");
    for key in 0..3 {
        assert_eq!(claim(&mut shard, &mut store, at(0.1), key), "held");
    }
    let ticket = shard.push(Op::Record {
        key: digest(0),
        claim_id: format!("0-{}", at(0.0).0).into(),
        outcome: Arc::new(RecordedOutcome {
            status: 200,
            content_type: String::new(),
            body: None,
            run_state: RunState::Ran,
        }),
    });
    let replies = settle(&mut shard, &mut store, at(0.1));
    assert_eq!(replies, [(ticket, Reply::Record(RecordResult::Recorded))]);
    assert_eq!(claim(&mut shard, &mut store, at(1.1), 3), "ours");
}

/// Symptom: the store fills with segments that no head lists.
/// Sequence: one instance seals a segment; another's commit comes before its own.
/// Cause: the segment is created before the head lists it, and the write that would list it fails.
#[test]
fn a_segment_that_was_overtaken_is_deleted() {
    let mut store = FakeStore::default();
    let (mut slow, mut fast) = (shard(200, 100), shard(100_000, 100));
    for key in 0..3 {
        claim(&mut fast, &mut store, at(0.0), key);
    }
    let key = digest(3);
    slow.push(Op::Claim {
        key,
        body_hash: 1,
        claim_id: "slow".into(),
    });
    loop {
        let step = slow.next_step(at(0.0));
        let outcome = carry_out(&mut store, 0, &step);
        let created = matches!(step, Step::CreateSegment(..));
        let _ = feed(&mut slow, at(0.0), &step, outcome);
        if created {
            break;
        }
    }
    claim(&mut fast, &mut store, at(0.0), 4);
    assert_eq!(store.names().len(), 2);
    settle(&mut slow, &mut store, at(0.0));
    let head = store.get("head").unwrap().unwrap().value;
    let listed = head["segments"].as_array().unwrap().len();
    assert_eq!(listed, 1);
    assert_eq!(store.names().len(), 1 + listed);
    for key in 0..5 {
        assert_eq!(claim(&mut fast, &mut store, at(0.1), key), "held");
    }
}
