//! Tests of the sealing and expiry of claims.

use std::{sync::Arc, time::Duration};

use tc_platform::claim_shard::{Op, RecordResult, Reply, Shard, ShardLimits, Step};
use tc_protocol::{ClaimVerdict, MonoTime, RecordedOutcome, RunState};

use crate::{
    fake_store::FakeStore,
    steps::{digest, execute, report_result, run_until_idle},
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

/// Returns the start time plus a fraction of the retention.
fn at(part: f64) -> MonoTime {
    START.after(RETENTION.mul_f64(part))
}

fn claim(shard: &mut Shard, store: &mut FakeStore, now: MonoTime, key: u8) -> &'static str {
    // Unique, because no two claims of one key are made at the same time.
    let claim_id = format!("{key}-{}", now.0).into();
    let key = digest(key);
    let ticket = shard.push(Op::Claim {
        key,
        body_hash: 1,
        claim_id,
    });
    let replies = run_until_idle(shard, store, now);
    let reply = replies.into_iter().find(|(t, _)| *t == ticket).unwrap().1;
    match reply {
        Reply::Claim(ClaimVerdict::Acquired { .. }) => "acquired",
        Reply::Claim(ClaimVerdict::Held) => "held",
        Reply::Claim(ClaimVerdict::Unavailable) => "unavailable",
        other => panic!("{other:?}"),
    }
}

/// Guards against keys that become free before their retention ends, or never. An instance may rely
/// only on its own monotonic clock, from when it first saw a sealed segment. Here one instance has
/// seen the sealed claims for their whole retention, and another has not.
#[test]
fn claims_expire_once_an_instance_has_seen_them_for_the_retention() {
    let (mut store, mut long_running) = (FakeStore::default(), shard(1, 100));
    assert_eq!(claim(&mut long_running, &mut store, at(0.0), 1), "acquired");
    assert_eq!(claim(&mut long_running, &mut store, at(0.0), 2), "acquired");
    let mut recent = shard(1, 100);
    assert_eq!(claim(&mut recent, &mut store, at(0.9), 1), "held");
    assert_eq!(claim(&mut recent, &mut store, at(1.0), 3), "acquired");
    // The recent instance has seen the segment for a fifth of the retention.
    assert_eq!(claim(&mut recent, &mut store, at(1.1), 4), "acquired");
    assert_eq!(claim(&mut recent, &mut store, at(1.1), 1), "held");
    assert_eq!(claim(&mut long_running, &mut store, at(1.1), 5), "acquired");
    assert_eq!(claim(&mut long_running, &mut store, at(1.1), 1), "acquired");
    assert_eq!(claim(&mut recent, &mut store, at(1.2), 1), "held");
}

#[test]
fn few_claims_are_sealed_by_age_and_expire_too() {
    let (mut store, mut shard) = (FakeStore::default(), shard(100_000, 100));
    assert_eq!(claim(&mut shard, &mut store, at(0.0), 1), "acquired");
    assert_eq!(claim(&mut shard, &mut store, at(0.4), 2), "acquired");
    assert_eq!(store.names().len(), 1);
    assert_eq!(claim(&mut shard, &mut store, at(0.6), 3), "acquired");
    assert_eq!(store.names().len(), 2);
    assert_eq!(claim(&mut shard, &mut store, at(1.5), 1), "held");
    assert_eq!(claim(&mut shard, &mut store, at(1.7), 4), "acquired");
    assert_eq!(claim(&mut shard, &mut store, at(1.7), 1), "acquired");
}

#[test]
fn expired_segments_are_deleted() {
    let (mut store, mut shard) = (FakeStore::default(), shard(1, 100));
    for key in 0..20 {
        claim(&mut shard, &mut store, at(0.0), key);
    }
    assert_eq!(store.names().len(), 20);
    claim(&mut shard, &mut store, at(1.1), 20);
    // Remaining are the head, and the segment that was sealed just now with the previous claim.
    assert_eq!(store.names().len(), 2);
}

/// Guards against dropping a live claim to make space, so that its key runs twice. A shard that
/// gets claims faster than they expire must refuse new ones, and still accept outcomes and releases
/// of existing ones.
#[test]
fn a_full_shard_refuses_new_claims_and_keeps_existing_ones() {
    let (mut store, mut shard) = (FakeStore::default(), shard(1, 2));
    for key in 0..3 {
        assert_eq!(claim(&mut shard, &mut store, at(0.0), key), "acquired");
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
    let replies = run_until_idle(&mut shard, &mut store, at(0.1));
    assert_eq!(replies, [(ticket, Reply::Record(RecordResult::Recorded))]);
    assert_eq!(claim(&mut shard, &mut store, at(1.1), 3), "acquired");
}

/// Guards against segments accumulating in the store that no head lists. A segment is created
/// before the head lists it. If another instance commits in between, the write that would list it
/// fails.
#[test]
fn a_segment_is_deleted_if_the_write_that_lists_it_conflicts() {
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
        let result = execute(&mut store, 0, &step);
        let created = matches!(step, Step::CreateSegment(..));
        let _ = report_result(&mut slow, at(0.0), &step, result);
        if created {
            break;
        }
    }
    claim(&mut fast, &mut store, at(0.0), 4);
    assert_eq!(store.names().len(), 2);
    run_until_idle(&mut slow, &mut store, at(0.0));
    let head = store.get("head").unwrap().unwrap().value;
    let listed = head["segments"].as_array().unwrap().len();
    assert_eq!(listed, 1);
    assert_eq!(store.names().len(), 1 + listed);
    for key in 0..5 {
        assert_eq!(claim(&mut fast, &mut store, at(0.1), key), "held");
    }
}
