//! Any sequence of jobs, ends of calls, lost upstreams and time, against what upstreams can take.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use bolero::{TypeGenerator, generator::produce};
use tc_policy::{BatchCall, BatchPlanner, CallEnd, CallKey, JobKey, NewJob, Settled};
use tc_protocol::{
    MonoTime, UpstreamId,
    routing::{BatchSpec, PieceFailure, ResultHandle},
};

use crate::common::{at, job, repeats, spec, upstreams};

/// Size of a large result; eight of them fill an upstream.
const LARGE: u64 = 1_000_000;
const DOMAINS: [&str; 4] = ["a", "a", "b", "c"];

#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Op {
    Push {
        pieces: u8,
        large: bool,
        aim: u8,
        rank: u8,
    },
    Cancel(u8),
    /// The call in progress with this number ends.
    End {
        which: u8,
        how: u8,
    },
    /// All results of a finished job were read.
    Read(u8),
    Wait(u8),
    /// Upstreams that are registered, a bit each.
    Registered(u8),
    HandOver,
}

struct Oracle {
    planner: BatchPlanner,
    spec: BatchSpec,
    now: u64,
    /// Jobs that have not ended, with the pieces that are in no call.
    open: BTreeMap<JobKey, HashSet<u32>>,
    calls: HashMap<CallKey, (BatchCall, Vec<u64>)>,
    /// Results that are kept at their makers: who, how large, until when.
    kept: HashMap<ResultHandle, (UpstreamId, u64, MonoTime)>,
    finished: Vec<Vec<ResultHandle>>,
    sizes: HashMap<String, (JobKey, u64)>,
    registered: u8,
    serial: u64,
}

impl Oracle {
    fn new() -> Self {
        let spec = BatchSpec {
            result_capacity_bytes: 8 * LARGE,
            max_pieces: 6,
            ..spec()
        };
        let mut oracle = Self {
            planner: BatchPlanner::new(spec, repeats(200.0)),
            spec,
            now: 0,
            open: BTreeMap::new(),
            calls: HashMap::new(),
            kept: HashMap::new(),
            finished: Vec::new(),
            sizes: HashMap::new(),
            registered: 0,
            serial: 0,
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
                aim,
                rank,
            } => self.push(pieces, large, aim, rank),
            Op::Cancel(which) => {
                if let Some(key) = nth(self.open.keys().copied(), which) {
                    self.open.remove(&key);
                    let freed = self.planner.cancel(key);
                    self.free(&freed);
                }
            }
            Op::End { which, how } => {
                let mut keys: Vec<CallKey> = self.calls.keys().copied().collect();
                keys.sort_unstable();
                if let Some(key) = nth(keys.into_iter(), which) {
                    self.end(key, how);
                }
            }
            Op::Read(which) => {
                if !self.finished.is_empty() {
                    let read = self
                        .finished
                        .swap_remove(usize::from(which) % self.finished.len());
                    self.free(&read);
                }
            }
            Op::Wait(ms) => {
                self.now += u64::from(ms) * 4;
                let now = at(self.now);
                self.kept.retain(|_, (_, _, until)| *until > now);
                let settled = self.planner.expire(now);
                self.settle(settled);
            }
            Op::Registered(bits) => self.register(bits),
            Op::HandOver => {
                let settled = self.planner.hand_over();
                self.settle(settled);
            }
        }
    }

    fn push(&mut self, pieces: u8, large: bool, aim: u8, rank: u8) {
        self.serial += 1;
        let name = format!("r{}", self.serial);
        let pieces = u32::from(pieces % 10) + 1;
        let result_bytes = if large { LARGE } else { 8_000 };
        let new = NewJob {
            result_bytes,
            rank: rank % 3,
            in_time_until: at(self.now + u64::from(aim) * 8),
            deadline: at(self.now + 4_000),
            ..job(&name, pieces)
        };
        if let Ok(key) = self.planner.push(at(self.now), new) {
            assert!(self.open.insert(key, (0..pieces).collect()).is_none());
            self.sizes.insert(name, (key, result_bytes));
        }
    }

    fn take_calls(&mut self) {
        while let Some(call) = self.planner.next_call(at(self.now)) {
            let number: usize = call.upstream.as_str()[1..].parse().expect("a number");
            assert!(
                self.registered >> number & 1 == 1,
                "a call to an upstream that left"
            );
            assert!(call.pieces.len() <= self.spec.max_pieces);
            assert!(!call.pieces.is_empty());
            let mut sizes = Vec::new();
            for piece in &call.pieces {
                let (key, bytes) = self.sizes[&*piece.request];
                let waiting = self.open.get_mut(&key).expect("its job is open");
                assert!(waiting.remove(&piece.piece), "a piece in two calls");
                sizes.push(bytes);
            }
            self.calls.insert(call.key, (call, sizes));
            self.check_room();
        }
    }

    fn end(&mut self, key: CallKey, how: u8) {
        let (call, sizes) = self.calls.remove(&key).expect("in progress");
        let until = at(self.now).after(self.spec.result_ttl);
        let end = match how % 8 {
            0 => CallEnd::NotRun,
            1 => CallEnd::Unreachable,
            2 => CallEnd::Answered(vec![Err(PieceFailure::Failed); call.pieces.len()]),
            _ => {
                let results = call.pieces.iter().zip(&sizes).map(|(piece, bytes)| {
                    self.serial += 1;
                    let name = format!("{}-{}-{}", piece.request, piece.piece, self.serial);
                    let handle = ResultHandle(format!("10.0.0.1:80/{name}").into());
                    let kept = (call.upstream.clone(), *bytes, until);
                    self.kept.insert(handle.clone(), kept);
                    Ok(handle)
                });
                CallEnd::Answered(results.collect())
            }
        };
        for piece in &call.pieces {
            let (job, _) = self.sizes[&*piece.request];
            let failed = !matches!(&end, CallEnd::Answered(results) if results[0].is_ok());
            if failed && let Some(waiting) = self.open.get_mut(&job) {
                waiting.insert(piece.piece);
            }
        }
        let settled = self.planner.end_call(at(self.now), key, end);
        self.settle(settled);
    }

    fn settle(&mut self, settled: Settled) {
        for finished in settled.finished {
            let waiting = self.open.remove(&finished.job);
            let waiting = waiting.expect("a job ends once");
            if let Ok(results) = finished.result {
                assert!(waiting.is_empty(), "done with pieces in no call");
                self.finished.push(results);
            }
        }
        self.free(&settled.unwanted);
    }

    fn free(&mut self, handles: &[ResultHandle]) {
        for handle in handles {
            self.kept.remove(handle);
            self.planner.freed(handle);
        }
    }

    /// No upstream has more calls than it takes, nor is it asked for results that it has no room for.
    fn check_room(&self) {
        let mut calls: HashMap<&UpstreamId, u32> = HashMap::new();
        let mut bytes: HashMap<&UpstreamId, u64> = HashMap::new();
        for (call, sizes) in self.calls.values() {
            *calls.entry(&call.upstream).or_default() += 1;
            *bytes.entry(&call.upstream).or_default() += sizes.iter().sum::<u64>();
        }
        for (maker, size, _) in self.kept.values() {
            *bytes.entry(maker).or_default() += size;
        }
        assert!(
            calls.values().all(|calls| *calls <= self.spec.slots),
            "above the slots"
        );
        let most = bytes.values().max().copied().unwrap_or_default();
        assert!(
            most <= self.spec.result_capacity_bytes,
            "above the room: {most}"
        );
    }

    /// With all upstreams back and their calls ended, every job ends.
    fn drain(&mut self) {
        self.register(0xF);
        for _ in 0..400 {
            self.now += 100;
            let settled = self.planner.expire(at(self.now));
            self.settle(settled);
            let now = at(self.now);
            self.kept.retain(|_, (_, _, until)| *until > now);
            self.take_calls();
            let keys: Vec<CallKey> = self.calls.keys().copied().collect();
            for key in keys {
                self.end(key, 7);
            }
            for read in std::mem::take(&mut self.finished) {
                self.free(&read);
            }
        }
        assert!(self.open.is_empty(), "jobs hang: {:?}", self.open);
        assert_eq!(self.planner.backlog(), (0, 0));
        assert_eq!(self.planner.expected_wait(), Duration::ZERO);
    }
}

fn nth<T>(items: impl Iterator<Item = T>, which: u8) -> Option<T> {
    let mut items: Vec<T> = items.collect();
    let index = usize::from(which) % items.len().max(1);
    (index < items.len()).then(|| items.swap_remove(index))
}

/// Symptom: an upstream refuses pieces for want of room or slots, a job hangs, or a piece is made twice at a time.
/// Sequence: any order of jobs, ends of calls, upstreams that leave the list and come back, and time.
/// Cause: what a planner counts is not what its upstreams hold.
#[test]
fn upstreams_are_asked_for_no_more_than_they_take() {
    let ops = produce::<Vec<Op>>().with().len(0..120_usize);
    tc_fuzz::check(1_000, ops, |ops: &Vec<Op>| {
        let mut oracle = Oracle::new();
        for &op in ops {
            oracle.apply(op);
            oracle.take_calls();
        }
        oracle.drain();
    });
}
