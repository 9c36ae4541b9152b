//! Fuzz test: random sequences of jobs, call ends, lost upstreams and delays, checked against the limits of the
//! upstreams.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use bolero::{TypeGenerator, generator::produce};
use tc_policy::{BatchCall, BatchPlanner, CallEnd, CallKey, JobKey, NewJob, PlannerEffects};
use tc_protocol::{
    MonoTime, UpstreamId,
    routing::{BatchSpec, PieceFailure, PieceRequest, ResultHandle},
};

use crate::common::{at, job, retry_budget, spec, upstreams};

/// Size of a large result; eight of them fill an upstream.
const LARGE: u64 = 1_000_000;
/// Calls of a piece that may be in progress besides a new one, all of them overdue.
const MAX_REPLACEMENTS: usize = 3;
const DOMAINS: [&str; 4] = ["a", "a", "b", "c"];

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    Push {
        pieces: u8,
        large: bool,
        due: u8,
        priority: u8,
    },
    Cancel(u8),
    /// Ends the call in progress with this index.
    End {
        index: u8,
        outcome: u8,
    },
    /// Frees all results of a finished job, as if they were read.
    FreeResults(u8),
    Advance(u8),
    /// Sets the registered upstreams, one bit each.
    SetUpstreams(u8),
    HandOver,
}

#[derive(Debug)]
struct OpenJob {
    pieces: u32,
    /// Pieces that are not made and in no call.
    waiting: HashSet<u32>,
    made: HashSet<u32>,
}

struct OpenCall {
    call: BatchCall,
    sizes: Vec<u64>,
    overdue_at: MonoTime,
}

impl OpenCall {
    fn has_piece(&self, piece: &PieceRequest) -> bool {
        let mut own = self.call.pieces.iter();
        own.any(|own| own.request == piece.request && own.piece == piece.piece)
    }
}

struct Oracle {
    planner: BatchPlanner,
    spec: BatchSpec,
    now: u64,
    open_jobs: BTreeMap<JobKey, OpenJob>,
    calls: HashMap<CallKey, OpenCall>,
    /// Results held by upstreams: upstream, size and expiry.
    stored: HashMap<ResultHandle, (UpstreamId, u64, MonoTime)>,
    finished: Vec<Vec<ResultHandle>>,
    sizes: HashMap<String, (JobKey, u64)>,
    registered: u8,
    last_id: u64,
}

impl Oracle {
    fn new() -> Self {
        let spec = BatchSpec {
            result_capacity_bytes: 8 * LARGE,
            max_pieces: 6,
            ..spec()
        };
        let mut oracle = Self {
            planner: BatchPlanner::new(spec, retry_budget(200.0)),
            spec,
            now: 0,
            open_jobs: BTreeMap::new(),
            calls: HashMap::new(),
            stored: HashMap::new(),
            finished: Vec::new(),
            sizes: HashMap::new(),
            registered: 0,
            last_id: 0,
        };
        oracle.register(0xF);
        oracle
    }

    fn register(&mut self, bits: u8) {
        self.registered = bits;
        let all = upstreams(&DOMAINS);
        let listed = all.into_iter().enumerate();
        let listed: Vec<_> = listed
            .filter(|(i, _)| bits >> i & 1 == 1)
            .map(|(_, upstream)| upstream)
            .collect();
        self.planner.set_upstreams(&listed);
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Push {
                pieces,
                large,
                due,
                priority,
            } => self.push(pieces, large, due, priority),
            Op::Cancel(index) => {
                if let Some(key) = nth(self.open_jobs.keys().copied(), index) {
                    self.open_jobs.remove(&key);
                    let freed = self.planner.cancel(key);
                    self.free(&freed);
                }
            }
            Op::End { index, outcome } => {
                let mut keys: Vec<CallKey> = self.calls.keys().copied().collect();
                keys.sort_unstable();
                if let Some(key) = nth(keys.into_iter(), index) {
                    self.end(key, outcome);
                }
            }
            Op::FreeResults(index) => {
                if !self.finished.is_empty() {
                    let read = self
                        .finished
                        .swap_remove(usize::from(index) % self.finished.len());
                    self.free(&read);
                }
            }
            Op::Advance(ms) => {
                self.now += u64::from(ms) * 4;
                let now = at(self.now);
                self.stored.retain(|_, (_, _, until)| *until > now);
                let effects = self.planner.refuse_late_jobs(now);
                self.apply_effects(effects);
            }
            Op::SetUpstreams(bits) => self.register(bits),
            Op::HandOver => {
                let effects = self.planner.hand_over();
                self.apply_effects(effects);
            }
        }
    }

    fn push(&mut self, pieces: u8, large: bool, due: u8, priority: u8) {
        self.last_id += 1;
        let name = format!("r{}", self.last_id);
        let pieces = u32::from(pieces % 10) + 1;
        let result_bytes = if large { LARGE } else { 8_000 };
        let new = NewJob {
            result_bytes,
            priority: priority % 3,
            in_time_until: at(self.now + u64::from(due) * 8),
            deadline: at(self.now + 4_000),
            ..job(&name, pieces)
        };
        if let Ok(key) = self.planner.push(at(self.now), new) {
            let open = OpenJob {
                pieces,
                waiting: (0..pieces).collect(),
                made: HashSet::new(),
            };
            assert!(self.open_jobs.insert(key, open).is_none());
            self.sizes.insert(name, (key, result_bytes));
        }
    }

    fn start_calls(&mut self) {
        while let Some(call) = self.planner.next_call(at(self.now)) {
            let number: usize = call.upstream.as_str()[1..].parse().expect("a number");
            assert!(
                self.registered >> number & 1 == 1,
                "a call to an unregistered upstream"
            );
            assert!(call.pieces.len() <= self.spec.max_pieces);
            assert!(!call.pieces.is_empty());
            let mut sizes = Vec::new();
            for piece in &call.pieces {
                let (key, bytes) = self.sizes[&*piece.request];
                let job = self.open_jobs.get_mut(&key).expect("its job is open");
                if !job.waiting.remove(&piece.piece) {
                    assert!(!job.made.contains(&piece.piece), "made again");
                    let others: Vec<&OpenCall> =
                        self.calls.values().filter(|c| c.has_piece(piece)).collect();
                    assert!(
                        others
                            .iter()
                            .all(|c| c.overdue_at <= at(self.now)
                                && c.call.upstream != call.upstream),
                        "a piece in two calls"
                    );
                    assert!(others.len() <= MAX_REPLACEMENTS);
                }
                sizes.push(bytes);
            }
            let overdue_at = at(self.now).after(call.overdue_after);
            let open = OpenCall {
                call,
                sizes,
                overdue_at,
            };
            self.calls.insert(open.call.key, open);
            self.check_limits();
        }
    }

    fn end(&mut self, key: CallKey, outcome: u8) {
        let OpenCall { call, sizes, .. } = self.calls.remove(&key).expect("in progress");
        let until = at(self.now).after(self.spec.result_ttl);
        let end = match outcome % 8 {
            0 => CallEnd::NotRun,
            1 => CallEnd::Unreachable,
            2 => CallEnd::Answered(vec![Err(PieceFailure::Failed); call.pieces.len()]),
            _ => {
                let results = call.pieces.iter().zip(&sizes).map(|(piece, bytes)| {
                    self.last_id += 1;
                    let name = format!("{}-{}-{}", piece.request, piece.piece, self.last_id);
                    let handle = ResultHandle(format!("10.0.0.1:80/{name}").into());
                    let stored = (call.upstream.clone(), *bytes, until);
                    self.stored.insert(handle.clone(), stored);
                    Ok(handle)
                });
                CallEnd::Answered(results.collect())
            }
        };
        for piece in &call.pieces {
            let (job, _) = self.sizes[&*piece.request];
            let failed = !matches!(&end, CallEnd::Answered(results) if results[0].is_ok());
            let in_other_call = self.calls.values().any(|c| c.has_piece(piece));
            let Some(job) = self.open_jobs.get_mut(&job) else {
                continue;
            };
            if !failed {
                job.waiting.remove(&piece.piece);
                job.made.insert(piece.piece);
            } else if !in_other_call && !job.made.contains(&piece.piece) {
                job.waiting.insert(piece.piece);
            }
        }
        let effects = self.planner.end_call(at(self.now), key, end);
        self.apply_effects(effects);
    }

    fn apply_effects(&mut self, effects: PlannerEffects) {
        for finished in effects.finished {
            let job = self.open_jobs.remove(&finished.job);
            let job = job.expect("a job ends once");
            if let Ok(results) = finished.result {
                assert!(
                    job.waiting.is_empty(),
                    "finished with pieces that are in no call"
                );
                assert_eq!(job.made.len(), job.pieces as usize);
                assert_eq!(results.len(), job.pieces as usize);
                self.finished.push(results);
            }
        }
        self.free(&effects.discarded_results);
    }

    fn free(&mut self, handles: &[ResultHandle]) {
        for handle in handles {
            self.stored.remove(handle);
            self.planner.result_freed(handle);
        }
    }

    /// Asserts that no upstream has more calls than slots, besides overdue ones, or more results than memory.
    fn check_limits(&self) {
        let mut calls: HashMap<&UpstreamId, u32> = HashMap::new();
        let mut bytes: HashMap<&UpstreamId, u64> = HashMap::new();
        for OpenCall {
            call,
            sizes,
            overdue_at,
        } in self.calls.values()
        {
            *calls.entry(&call.upstream).or_default() += u32::from(*overdue_at > at(self.now));
            *bytes.entry(&call.upstream).or_default() += sizes.iter().sum::<u64>();
        }
        for (upstream, size, _) in self.stored.values() {
            *bytes.entry(upstream).or_default() += size;
        }
        assert!(
            calls.values().all(|calls| *calls <= self.spec.slots),
            "more calls than slots"
        );
        let max_bytes = bytes.values().max().copied().unwrap_or_default();
        assert!(
            max_bytes <= self.spec.result_capacity_bytes,
            "more results than memory: {max_bytes}"
        );
    }

    /// Asserts that every job ends once all upstreams are back and their calls have ended.
    fn drain(&mut self) {
        self.register(0xF);
        for _ in 0..400 {
            self.now += 100;
            let effects = self.planner.refuse_late_jobs(at(self.now));
            self.apply_effects(effects);
            let now = at(self.now);
            self.stored.retain(|_, (_, _, until)| *until > now);
            self.start_calls();
            let keys: Vec<CallKey> = self.calls.keys().copied().collect();
            for key in keys {
                self.end(key, 7);
            }
            for read in std::mem::take(&mut self.finished) {
                self.free(&read);
            }
        }
        assert!(
            self.open_jobs.is_empty(),
            "jobs that never end: {:?}",
            self.open_jobs
        );
        assert_eq!(self.planner.backlog(), (0, 0));
        assert_eq!(self.planner.expected_wait(), Duration::ZERO);
    }
}

fn nth<T>(items: impl Iterator<Item = T>, index: u8) -> Option<T> {
    let mut items: Vec<T> = items.collect();
    let index = usize::from(index) % items.len().max(1);
    (index < items.len()).then(|| items.swap_remove(index))
}

/// Guards against planner bookkeeping that deviates from what the upstreams hold: pieces refused for lack of memory or
/// slots, jobs that hang, or a piece made twice at the same time. Covers any order of jobs, call ends, upstreams that
/// leave and return, and delays. A piece may be in another call only while all of its calls are overdue.
#[test]
fn calls_respect_upstream_limits() {
    let ops = produce::<Vec<Op>>().with().len(0..120_usize);
    tc_fuzz::check(1_000, ops, |ops: &Vec<Op>| {
        let mut oracle = Oracle::new();
        for &op in ops {
            oracle.apply(op);
            oracle.start_calls();
        }
        oracle.drain();
    });
}
