//! Execution of a shard's steps on the fake store.

use serde_json::Value;
use tc_platform::{
    StoreError, Versioned,
    claim_shard::{KeyDigest, Progress, Reply, Shard, Step, Ticket},
};
use tc_protocol::{ClaimKey, MonoTime};

use crate::fake_store::{FakeStore, HEAD};

/// Steps after which a shard must be idle if there are no faults.
pub(crate) const MAX_STEPS: usize = 2_000;

/// Result of a step that the store has executed and the writer has not seen so far.
pub(crate) enum StepResult {
    Read(Result<Option<Versioned<Value>>, StoreError>),
    Written(Result<u64, StoreError>),
    Deleted(bool),
}

pub(crate) fn execute(store: &mut FakeStore, incarnation: u32, step: &Step) -> StepResult {
    match step {
        Step::ReadHead | Step::Idle => StepResult::Read(store.get(HEAD)),
        Step::ReadSegment(name) => StepResult::Read(store.get(name)),
        Step::CreateSegment(name, value) => {
            StepResult::Written(store.put(incarnation, name, 0, value.clone()))
        }
        Step::WriteHead(base, value) => {
            StepResult::Written(store.put(incarnation, &HEAD.into(), *base, value.clone()))
        }
        Step::Delete(name) => StepResult::Deleted(store.delete(name)),
    }
}

pub(crate) fn report_result(
    shard: &mut Shard,
    now: MonoTime,
    step: &Step,
    result: StepResult,
) -> Progress {
    match (step, result) {
        (Step::ReadHead, StepResult::Read(found)) => shard.on_head_read(now, found),
        (Step::ReadSegment(name), StepResult::Read(found)) => {
            shard.on_segment_read(now, name, found)
        }
        (Step::CreateSegment(name, _), StepResult::Written(done)) => {
            shard.on_segment_created(now, name, &done)
        }
        (Step::WriteHead(..), StepResult::Written(done)) => shard.on_head_written(now, done),
        (Step::Delete(name), StepResult::Deleted(done)) => {
            shard.on_segment_deleted(name, done);
            Progress::Made
        }
        (step, _) => panic!("unexpected result of {step:?}"),
    }
}

/// Executes a shard's steps until it is idle, and takes its replies.
pub(crate) fn run_until_idle(
    shard: &mut Shard,
    store: &mut FakeStore,
    now: MonoTime,
) -> Vec<(Ticket, Reply)> {
    for _ in 0..MAX_STEPS {
        let step = shard.next_step(now);
        if step == Step::Idle {
            return shard.take_replies();
        }
        let result = execute(store, 0, &step);
        let _: Progress = report_result(shard, now, &step, result);
    }
    panic!("a shard without faults does not become idle");
}

pub(crate) fn digest(key: u8) -> KeyDigest {
    KeyDigest::of(&ClaimKey {
        workspace: "lintas".into(),
        target: "pipeline/notice".into(),
        key: key.to_string(),
    })
}
