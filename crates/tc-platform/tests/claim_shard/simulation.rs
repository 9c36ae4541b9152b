//! Simulates writers of one shard and their callers, with an oracle that checks the replies.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use tc_platform::claim_shard::{
    Op, Progress, RecordResult, Reply, Shard, ShardLimits, Step, Ticket,
};
use tc_protocol::{ClaimVerdict, MonoTime, RecordedOutcome, RunState};

use crate::{
    fake_store::FakeStore,
    steps::{MAX_STEPS, StepResult, digest, execute, report_result},
};

pub(crate) const RETENTION: Duration = Duration::from_hours(1);
/// Small, so that a few claims fill a head and are sealed.
const LIMITS: ShardLimits = ShardLimits {
    seal_bytes: 400,
    batch_bytes: 700,
    max_batch: 4,
    max_segments: 500,
};

/// A submitted claim.
struct Call {
    key: u8,
    body_hash: u64,
    is_abandoned: bool,
    /// The outcome known to be recorded before the call.
    recorded_before: Option<Arc<RecordedOutcome>>,
}

struct Writer {
    incarnation: u32,
    shard: Shard,
    in_flight: Option<(Step, StepResult)>,
    calls: BTreeMap<Ticket, Call>,
    records: BTreeMap<Ticket, (u8, Arc<RecordedOutcome>)>,
    releases: BTreeMap<Ticket, u8>,
    /// Key and claim ID of each run without an outcome.
    running: Vec<(u8, Arc<str>)>,
}

impl Writer {
    fn new(incarnation: u32) -> Self {
        Self {
            incarnation,
            shard: Shard::new(0, LIMITS, RETENTION),
            in_flight: None,
            calls: BTreeMap::new(),
            records: BTreeMap::new(),
            releases: BTreeMap::new(),
            running: Vec::new(),
        }
    }
}

/// Expected state by key.
#[derive(Default)]
struct Oracle {
    runs: BTreeMap<u8, u32>,
    /// The only outcome that each run tries to record.
    outcomes: BTreeMap<u8, Arc<RecordedOutcome>>,
    /// Outcomes known to be recorded.
    confirmed: BTreeMap<u8, Arc<RecordedOutcome>>,
    bodies: BTreeMap<u8, BTreeSet<u64>>,
    /// Keys that may have been claimed, or left claimed, by a writer whose process ended.
    orphaned: BTreeSet<u8>,
}

pub(crate) struct Simulation {
    pub(crate) store: FakeStore,
    writers: Vec<Writer>,
    oracle: Oracle,
    now: MonoTime,
    next_id: u32,
}

impl Simulation {
    pub(crate) fn new(writers: u32) -> Self {
        Self {
            store: FakeStore::default(),
            writers: (0..writers).map(Writer::new).collect(),
            oracle: Oracle::default(),
            now: MonoTime::from_millis(1),
            next_id: writers,
        }
    }

    pub(crate) fn advance_time(&mut self, time: Duration) {
        self.now = self.now.after(time);
    }

    pub(crate) fn claim(&mut self, writer: u8, key: u8, body_hash: u64) {
        let at = self.at(writer);
        self.claim_at(at, key, body_hash);
    }

    fn claim_at(&mut self, at: usize, key: u8, body_hash: u64) -> Ticket {
        let claim_id: Arc<str> = format!("claim-{}", self.new_id()).into();
        self.oracle.bodies.entry(key).or_default().insert(body_hash);
        let writer = &mut self.writers[at];
        let ticket = writer.shard.push(Op::Claim {
            key: digest(key),
            body_hash,
            claim_id,
        });
        let call = Call {
            key,
            body_hash,
            is_abandoned: false,
            recorded_before: self.oracle.confirmed.get(&key).cloned(),
        };
        writer.calls.insert(ticket, call);
        ticket
    }

    /// Makes the caller of the oldest open call stop waiting.
    pub(crate) fn abandon(&mut self, writer: u8) {
        let at = self.at(writer);
        let waiting = self.writers[at]
            .calls
            .values_mut()
            .find(|c| !c.is_abandoned);
        if let Some(call) = waiting {
            call.is_abandoned = true;
        }
    }

    /// Ends the oldest run.
    pub(crate) fn record(&mut self, writer: u8) {
        let at = self.at(writer);
        if self.writers[at].running.is_empty() {
            return;
        }
        let (key, claim_id) = self.writers[at].running.remove(0);
        let outcome = Arc::new(RecordedOutcome {
            status: 200,
            content_type: "application/json".into(),
            body: Some(format!("outcome of {claim_id}")),
            run_state: RunState::Ran,
        });
        self.oracle.outcomes.insert(key, outcome.clone());
        let writer = &mut self.writers[at];
        let ticket = writer.shard.push(Op::Record {
            key: digest(key),
            claim_id,
            outcome: outcome.clone(),
        });
        writer.records.insert(ticket, (key, outcome));
    }

    /// Replaces a writer by a new process.
    pub(crate) fn restart(&mut self, writer: u8) {
        let at = self.at(writer);
        let incarnation = self.new_id();
        let old = std::mem::replace(&mut self.writers[at], Writer::new(incarnation));
        let unanswered = old.calls.values().map(|c| c.key);
        self.oracle.orphaned.extend(unanswered);
        self.oracle.orphaned.extend(old.releases.values());
    }

    /// Executes half of a step: either the store executes it, or the writer sees its result.
    pub(crate) fn half_step(&mut self, writer: u8) {
        let at = self.at(writer);
        self.half_step_at(at);
    }

    /// Returns whether there was anything to do.
    fn half_step_at(&mut self, at: usize) -> bool {
        if let Some((step, result)) = self.writers[at].in_flight.take() {
            // Backoff before the next step makes no difference here.
            let _: Progress = report_result(&mut self.writers[at].shard, self.now, &step, result);
            self.take_replies(at);
            return true;
        }
        let Writer { shard, calls, .. } = &mut self.writers[at];
        shard.drop_abandoned(|ticket| calls.get(&ticket).is_some_and(|c| c.is_abandoned));
        calls.retain(|ticket, _| shard.is_queued(*ticket));
        let step = shard.next_step(self.now);
        self.take_replies(at);
        if step == Step::Idle {
            // A reply to an abandoned call may have just led to a release.
            return self.writers[at].shard.queue_len() > 0;
        }
        let incarnation = self.writers[at].incarnation;
        let result = execute(&mut self.store, incarnation, &step);
        self.writers[at].in_flight = Some((step, result));
        true
    }

    fn take_replies(&mut self, at: usize) {
        for (ticket, reply) in self.writers[at].shard.take_replies() {
            match reply {
                Reply::Claim(verdict) => self.check_verdict(at, ticket, verdict),
                Reply::Record(recording) => {
                    let (key, outcome) = self.writers[at].records.remove(&ticket).unwrap();
                    assert_eq!(recording, RecordResult::Recorded, "outcome of key {key}");
                    self.oracle.confirmed.insert(key, outcome);
                }
                Reply::Released => {
                    self.writers[at].releases.remove(&ticket);
                }
                Reply::Lookup(_) => {}
            }
        }
    }

    fn check_verdict(&mut self, at: usize, ticket: Ticket, verdict: ClaimVerdict) {
        let call = self.writers[at].calls.remove(&ticket).unwrap();
        let key = call.key;
        if let Some(known) = &call.recorded_before {
            let same = verdict == ClaimVerdict::Recorded(known.as_ref().clone());
            let other = verdict == ClaimVerdict::BodyMismatch && self.oracle.bodies[&key].len() > 1;
            assert!(
                same || other,
                "key {key} has a recorded outcome, but the verdict is {verdict:?}"
            );
        }
        match verdict {
            ClaimVerdict::Acquired { claim_id } => self.check_acquired(at, &call, claim_id.into()),
            ClaimVerdict::Recorded(outcome) => {
                let known = self.oracle.outcomes.get(&key).map(Arc::as_ref);
                assert_eq!(Some(&outcome), known, "outcome of key {key}");
                // A caller that got an outcome must not get a different one later.
                self.oracle.confirmed.insert(key, Arc::new(outcome));
            }
            ClaimVerdict::BodyMismatch => {
                let bodies = &self.oracle.bodies[&key];
                assert!(bodies.iter().any(|b| *b != call.body_hash), "key {key}");
            }
            ClaimVerdict::Held => {}
            ClaimVerdict::Unavailable => panic!("no shard is full"),
        }
    }

    fn check_acquired(&mut self, at: usize, call: &Call, claim_id: Arc<str>) {
        let writer = &mut self.writers[at];
        if call.is_abandoned {
            let ticket = writer.shard.push(Op::Release {
                key: digest(call.key),
                claim_id,
            });
            writer.releases.insert(ticket, call.key);
            return;
        }
        writer.running.push((call.key, claim_id));
        let runs = self.oracle.runs.entry(call.key).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "key {} runs twice", call.key);
    }

    /// Ends all faults, lets all writers become idle, and resends every key to a new writer.
    pub(crate) fn check_final_state(mut self) {
        self.store.is_down = false;
        self.store.next_write = None;
        for at in 0..self.writers.len() {
            self.run_until_idle(at);
        }
        self.deliver_all_delayed();
        let incarnation = self.new_id();
        self.writers.push(Writer::new(incarnation));
        let keys: Vec<_> = self.oracle.bodies.clone().into_iter().collect();
        for (key, bodies) in keys {
            self.resend(key, &bodies);
        }
    }

    /// A delayed write of a live, idle writer must not take effect: it would contradict replies
    /// that callers already have.
    fn deliver_all_delayed(&mut self) {
        for delayed in std::mem::take(&mut self.store.delayed) {
            let incarnation = delayed.writer_incarnation;
            let is_live = self.writers.iter().any(|w| w.incarnation == incarnation);
            let applied = self.store.deliver(delayed);
            assert!(
                !applied || !is_live,
                "a delayed write of an idle writer took effect"
            );
        }
    }

    fn resend(&mut self, key: u8, bodies: &BTreeSet<u64>) {
        let at = self.writers.len() - 1;
        let had_run = self.oracle.runs.contains_key(&key);
        let ticket = self.claim_at(at, key, bodies.first().copied().unwrap_or(0));
        self.run_until_idle(at);
        assert!(!self.writers[at].calls.contains_key(&ticket));
        let ran_now = self.writers[at].running.iter().any(|(k, _)| *k == key);
        let is_stuck = !had_run && !ran_now;
        assert!(
            !is_stuck || self.oracle.orphaned.contains(&key),
            "key {key} never ran and cannot be claimed"
        );
    }

    fn run_until_idle(&mut self, at: usize) {
        for _ in 0..MAX_STEPS {
            if !self.half_step_at(at) {
                assert_eq!(self.writers[at].shard.queue_len(), 0);
                return;
            }
        }
        panic!("a shard without faults does not become idle");
    }

    fn at(&self, writer: u8) -> usize {
        usize::from(writer) % self.writers.len()
    }

    fn new_id(&mut self) -> u32 {
        self.next_id += 1;
        self.next_id
    }
}
