//! Carrying out a shard's steps on the fake store.

use serde_json::Value;
use tc_platform::{
    StoreError, Versioned,
    claim_shard::{KeyDigest, Progress, Reply, Shard, Step, Ticket},
};
use tc_protocol::{ClaimKey, MonoTime};

use crate::fake_store::{FakeStore, HEAD};

/// Steps after which a shard without faults must be idle.
pub(crate) const MAX_STEPS: usize = 2_000;

/// The result of a step that the store has carried out and the writer has not seen yet.
pub(crate) enum Outcome {
    Read(Result<Option<Versioned<Value>>, StoreError>),
    Written(Result<u64, StoreError>),
    Deleted(bool),
}

pub(crate) fn carry_out(store: &mut FakeStore, life: u32, step: &Step) -> Outcome {
    match step {
        Step::ReadHead | Step::Idle => Outcome::Read(store.get(HEAD)),
        Step::ReadSegment(name) => Outcome::Read(store.get(name)),
        Step::CreateSegment(name, value) => {
            Outcome::Written(store.put(life, name, 0, value.clone()))
        }
        Step::WriteHead(base, value) => {
            Outcome::Written(store.put(life, &HEAD.into(), *base, value.clone()))
        }
        Step::Delete(name) => Outcome::Deleted(store.delete(name)),
    }
}

pub(crate) fn feed(shard: &mut Shard, now: MonoTime, step: &Step, outcome: Outcome) -> Progress {
    match (step, outcome) {
        (Step::ReadHead, Outcome::Read(found)) => shard.on_head_read(now, found),
        (Step::ReadSegment(name), Outcome::Read(found)) => shard.on_segment_read(now, name, found),
        (Step::CreateSegment(name, _), Outcome::Written(done)) => {
            shard.on_segment_created(now, name, &done)
        }
        (Step::WriteHead(..), Outcome::Written(done)) => shard.on_head_written(now, done),
        (Step::Delete(name), Outcome::Deleted(done)) => {
            shard.on_segment_deleted(name, done);
            Progress::Made
        }
        (step, _) => panic!("no such outcome of {step:?}"),
    }
}

/// Lets a shard do all it has to, and takes its answers.
pub(crate) fn settle(
    shard: &mut Shard,
    store: &mut FakeStore,
    now: MonoTime,
) -> Vec<(Ticket, Reply)> {
    for _ in 0..MAX_STEPS {
        let step = shard.next_step(now);
        if step == Step::Idle {
            return shard.take_replies();
        }
        let outcome = carry_out(store, 0, &step);
        let _: Progress = feed(shard, now, &step, outcome);
    }
    panic!("a shard without faults does not settle");
}

pub(crate) fn digest(key: u8) -> KeyDigest {
    KeyDigest::of(&ClaimKey {
        workspace: "lintas".into(),
        target: "pipeline/notice".into(),
        key: key.to_string(),
    })
}
