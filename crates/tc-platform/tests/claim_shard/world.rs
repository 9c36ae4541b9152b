//! Writers of one shard, their callers, and the oracle that judges what callers are told.

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
    steps::{MAX_STEPS, Outcome, carry_out, digest, feed},
};

pub(crate) const RETENTION: Duration = Duration::from_hours(1);
/// Small, so that a few claims fill a head and are sealed.
const LIMITS: ShardLimits = ShardLimits {
    seal_bytes: 400,
    batch_bytes: 700,
    max_batch: 4,
    max_segments: 500,
};

/// A claim that was asked for.
struct Call {
    key: u8,
    body: u64,
    left: bool,
    /// The outcome that was known to be recorded before the call.
    recorded_before: Option<Arc<RecordedOutcome>>,
}

struct Writer {
    life: u32,
    shard: Shard,
    in_flight: Option<(Step, Outcome)>,
    calls: BTreeMap<Ticket, Call>,
    records: BTreeMap<Ticket, (u8, Arc<RecordedOutcome>)>,
    releases: BTreeMap<Ticket, u8>,
    /// Runs without an outcome: key and claim.
    running: Vec<(u8, Arc<str>)>,
}

impl Writer {
    fn new(life: u32) -> Self {
        Self {
            life,
            shard: Shard::new(0, LIMITS, RETENTION),
            in_flight: None,
            calls: BTreeMap::new(),
            records: BTreeMap::new(),
            releases: BTreeMap::new(),
            running: Vec::new(),
        }
    }
}

/// What must hold, by key.
#[derive(Default)]
struct Oracle {
    runs: BTreeMap<u8, u32>,
    /// The one outcome each run tries to record.
    outcomes: BTreeMap<u8, Arc<RecordedOutcome>>,
    /// Outcomes whose recording was confirmed.
    confirmed: BTreeMap<u8, Arc<RecordedOutcome>>,
    bodies: BTreeMap<u8, BTreeSet<u64>>,
    /// Keys a writer may have claimed or left claimed when its process ended.
    orphaned: BTreeSet<u8>,
}

pub(crate) struct World {
    pub(crate) store: FakeStore,
    writers: Vec<Writer>,
    oracle: Oracle,
    now: MonoTime,
    next_id: u32,
}

impl World {
    pub(crate) fn new(writers: u32) -> Self {
        Self {
            store: FakeStore::default(),
            writers: (0..writers).map(Writer::new).collect(),
            oracle: Oracle::default(),
            now: MonoTime::from_millis(1),
            next_id: writers,
        }
    }

    pub(crate) fn pass(&mut self, time: Duration) {
        self.now = self.now.after(time);
    }

    pub(crate) fn claim(&mut self, writer: u8, key: u8, body: u64) {
        let at = self.at(writer);
        self.claim_at(at, key, body);
    }

    fn claim_at(&mut self, at: usize, key: u8, body: u64) -> Ticket {
        let claim_id: Arc<str> = format!("claim-{}", self.fresh_id()).into();
        self.oracle.bodies.entry(key).or_default().insert(body);
        let writer = &mut self.writers[at];
        let ticket = writer.shard.push(Op::Claim {
            key: digest(key),
            body_hash: body,
            claim_id,
        });
        let call = Call {
            key,
            body,
            left: false,
            recorded_before: self.oracle.confirmed.get(&key).cloned(),
        };
        writer.calls.insert(ticket, call);
        ticket
    }

    /// The oldest waiting caller stops waiting.
    pub(crate) fn leave(&mut self, writer: u8) {
        let at = self.at(writer);
        let waiting = self.writers[at].calls.values_mut().find(|c| !c.left);
        if let Some(call) = waiting {
            call.left = true;
        }
    }

    /// The oldest run ends.
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

    /// The writer's process ends and a new one starts.
    pub(crate) fn restart(&mut self, writer: u8) {
        let at = self.at(writer);
        let life = self.fresh_id();
        let old = std::mem::replace(&mut self.writers[at], Writer::new(life));
        let unanswered = old.calls.values().map(|c| c.key);
        self.oracle.orphaned.extend(unanswered);
        self.oracle.orphaned.extend(old.releases.values());
    }

    /// One half of a step: the store carries it out, or the writer sees what came of it.
    pub(crate) fn half_step(&mut self, writer: u8) {
        let at = self.at(writer);
        self.half_step_at(at);
    }

    /// Returns whether there was anything to do.
    fn half_step_at(&mut self, at: usize) -> bool {
        if let Some((step, outcome)) = self.writers[at].in_flight.take() {
            // Whether to wait before the next step makes no difference here.
            let _: Progress = feed(&mut self.writers[at].shard, self.now, &step, outcome);
            self.take_replies(at);
            return true;
        }
        let Writer { shard, calls, .. } = &mut self.writers[at];
        shard.drop_abandoned(|ticket| calls.get(&ticket).is_some_and(|c| c.left));
        calls.retain(|ticket, _| shard.is_queued(*ticket));
        let step = shard.next_step(self.now);
        self.take_replies(at);
        if step == Step::Idle {
            // An answer nobody waited for may just have led to a release.
            return self.writers[at].shard.queue_len() > 0;
        }
        let life = self.writers[at].life;
        let outcome = carry_out(&mut self.store, life, &step);
        self.writers[at].in_flight = Some((step, outcome));
        true
    }

    fn take_replies(&mut self, at: usize) {
        for (ticket, reply) in self.writers[at].shard.take_replies() {
            match reply {
                Reply::Claim(verdict) => self.judge_claim(at, ticket, verdict),
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

    fn judge_claim(&mut self, at: usize, ticket: Ticket, verdict: ClaimVerdict) {
        let call = self.writers[at].calls.remove(&ticket).unwrap();
        let key = call.key;
        if let Some(known) = &call.recorded_before {
            let same = verdict == ClaimVerdict::Recorded(known.as_ref().clone());
            let other = verdict == ClaimVerdict::BodyMismatch && self.oracle.bodies[&key].len() > 1;
            assert!(same || other, "key {key} is recorded, yet: {verdict:?}");
        }
        match verdict {
            ClaimVerdict::Acquired { claim_id } => self.judge_ours(at, &call, claim_id.into()),
            ClaimVerdict::Recorded(outcome) => {
                let known = self.oracle.outcomes.get(&key).map(Arc::as_ref);
                assert_eq!(Some(&outcome), known, "outcome of key {key}");
                // Whoever was told an outcome must not be told anything else later.
                self.oracle.confirmed.insert(key, Arc::new(outcome));
            }
            ClaimVerdict::BodyMismatch => {
                let bodies = &self.oracle.bodies[&key];
                assert!(bodies.iter().any(|b| *b != call.body), "key {key}");
            }
            ClaimVerdict::Held => {}
            ClaimVerdict::Unavailable => panic!("nothing is full"),
        }
    }

    fn judge_ours(&mut self, at: usize, call: &Call, claim_id: Arc<str>) {
        let writer = &mut self.writers[at];
        if call.left {
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

    /// Ends all faults, lets everything settle, and resends every key to a fresh writer.
    pub(crate) fn finish(mut self) {
        self.store.is_down = false;
        self.store.next_write = None;
        for at in 0..self.writers.len() {
            self.settle(at);
        }
        self.deliver_all_late();
        let life = self.fresh_id();
        self.writers.push(Writer::new(life));
        let keys: Vec<_> = self.oracle.bodies.clone().into_iter().collect();
        for (key, bodies) in keys {
            self.resend(key, &bodies);
        }
    }

    /// A write by a live writer that has settled must be dead: it would change what callers were told.
    fn deliver_all_late(&mut self) {
        for late in std::mem::take(&mut self.store.late) {
            let life = late.writer_life;
            let is_live = self.writers.iter().any(|w| w.life == life);
            let applied = self.store.deliver(late);
            assert!(!applied || !is_live, "a settled write took effect late");
        }
    }

    fn resend(&mut self, key: u8, bodies: &BTreeSet<u64>) {
        let at = self.writers.len() - 1;
        let had_run = self.oracle.runs.contains_key(&key);
        let ticket = self.claim_at(at, key, bodies.first().copied().unwrap_or(0));
        self.settle(at);
        assert!(!self.writers[at].calls.contains_key(&ticket));
        let ran_now = self.writers[at].running.iter().any(|(k, _)| *k == key);
        let is_stuck = !had_run && !ran_now;
        assert!(
            !is_stuck || self.oracle.orphaned.contains(&key),
            "key {key} never ran and can never run"
        );
    }

    fn settle(&mut self, at: usize) {
        for _ in 0..MAX_STEPS {
            if !self.half_step_at(at) {
                assert_eq!(self.writers[at].shard.queue_len(), 0);
                return;
            }
        }
        panic!("a shard without faults does not settle");
    }

    fn at(&self, writer: u8) -> usize {
        usize::from(writer) % self.writers.len()
    }

    fn fresh_id(&mut self) -> u32 {
        self.next_id += 1;
        self.next_id
    }
}
