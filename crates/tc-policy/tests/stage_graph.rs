//! Order of the stages that precede a request, and their admission when one of them is overloaded.

use std::{collections::BTreeMap, time::Duration};

use tc_policy::{
    BatchPlanner, BatchUpstream, CallEnd, CallKey, ChainQuery, DueHistogram, HomeOutlook, JobKey,
    NewJob, RetryBudget, RetryLimits, StageGraph, StageOutlooks,
};
use tc_protocol::{
    MonoTime, ServiceName,
    routing::{BatchSpec, PieceInput, ResultHandle, RouteStage},
};

fn stage(service: &str, after: &[usize], result_bytes: u64) -> RouteStage {
    RouteStage {
        service: service.into(),
        depends_on: after.to_vec(),
        result_bytes,
    }
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn stage_beside_a_longer_chain_starts_late_and_inputs_are_released_after_the_last_reader() {
    let stages = [
        stage("read", &[], 8_000),
        stage("draw", &[0], 1_500_000),
        stage("check", &[0], 8_000),
        stage("join", &[2], 8_000),
    ];
    let mut graph = StageGraph::new(&stages, &[1, 1, 1, 1]);
    assert_eq!(graph.startable(), [0]);
    graph.mark_running(0);
    graph.mark_done(0);
    assert_eq!(graph.startable(), [2], "the longer chain first");
    graph.mark_running(2);
    graph.mark_done(2);
    assert!(
        graph.fully_read_inputs(2).is_empty(),
        "`draw` still reads `read`"
    );
    assert_eq!(graph.startable(), [1, 3], "both end together");
    graph.mark_running(1);
    graph.mark_done(1);
    assert_eq!(graph.fully_read_inputs(1), [0]);
}

#[test]
fn stages_without_pieces_take_no_time_and_block_nothing() {
    let stages = [stage("read", &[], 8_000), stage("draw", &[0], 8_000)];
    let graph = StageGraph::new(&stages, &[0, 3]);
    assert_eq!(graph.startable(), [1]);
    let times = [ms(300), ms(400)];
    assert_eq!(graph.critical_path(&times), ms(400));
    assert_eq!(StageGraph::new(&stages, &[]).critical_path(&times), ms(0));
}

/// A service of upstreams that run one call at a time without failures.
struct SimulatedService {
    planner: BatchPlanner,
    ends: BTreeMap<(MonoTime, CallKey), (Duration, usize)>,
}

impl SimulatedService {
    /// Calls take 200 ms plus 6 ms per piece and have at most `pieces` pieces.
    fn new(upstreams: usize, pieces: usize) -> Self {
        let spec = BatchSpec {
            slots: 1,
            queue_capacity: 2,
            max_pieces: pieces,
            call_overhead: ms(200),
            piece_time: ms(6),
            result_capacity_bytes: 1 << 30,
            result_ttl: Duration::from_secs(4),
            link_bytes_per_s: 1.25e9,
        };
        let limits = RetryLimits {
            ratio: 0.2,
            extra: 50.0,
            window: Duration::from_secs(10),
        };
        let retry_budget = RetryBudget::new(limits, MonoTime::default());
        let mut planner = BatchPlanner::new(spec, retry_budget);
        let all: Vec<BatchUpstream> = (0..upstreams)
            .map(|number| BatchUpstream {
                id: format!("u{number}").into(),
                domain: "a".into(),
            })
            .collect();
        planner.set_upstreams(&all);
        Self {
            planner,
            ends: BTreeMap::new(),
        }
    }

    /// Ends the calls that are due and starts those that can start; returns the finished jobs and whether they
    /// succeeded.
    fn step(&mut self, now: MonoTime) -> Vec<(JobKey, bool)> {
        let mut over = Vec::new();
        while let Some((&(at, key), &(_, pieces))) = self.ends.first_key_value()
            && at <= now
        {
            self.ends.remove(&(at, key));
            let made = (0..pieces).map(|piece| {
                let name = format!("10.0.0.1:80/{}-{piece}-{key:?}", at.0);
                Ok(ResultHandle(name.into()))
            });
            let settled = self
                .planner
                .end_call(now, key, CallEnd::Answered(made.collect()));
            over.extend(settled.finished);
        }
        over.extend(self.planner.refuse_late_jobs(now).finished);
        while let Some(call) = self.planner.next_call(now) {
            let took = ms(200) + ms(6) * call.pieces.len() as u32;
            self.ends
                .insert((now.after(took), call.key), (took, call.pieces.len()));
        }
        let freed: Vec<ResultHandle> = over
            .iter()
            .filter_map(|finished| finished.result.as_ref().ok())
            .flatten()
            .cloned()
            .collect();
        for result in freed {
            self.planner.result_freed(&result);
        }
        over.into_iter()
            .map(|finished| (finished.job, finished.result.is_ok()))
            .collect()
    }
}

#[derive(Debug, Default)]
struct Counts {
    requests: usize,
    in_time: usize,
    refused_early: usize,
    refused_late: usize,
    late: usize,
}

const LATENCY_TARGET: Duration = ms(1_500);
const CALLER_TIMEOUT: Duration = ms(6_000);

struct Request {
    arrived_at: MonoTime,
}

/// Simulates two consecutive stages, of which the second has half the capacity of the first: a light load for 2 s, then
/// 2.5 times the capacity of the second stage for 4 s. Entries receive the homes' outlooks with each answer; here every
/// 50 ms.
fn simulate(checks_feasibility: bool) -> Counts {
    let stages = [stage("first", &[], 8_000), stage("second", &[0], 8_000)];
    let mut services = [SimulatedService::new(8, 30), SimulatedService::new(4, 60)];
    let mut running: [BTreeMap<JobKey, Request>; 2] = [BTreeMap::new(), BTreeMap::new()];
    let names: [ServiceName; 2] = ["first".into(), "second".into()];
    let mut outlooks = StageOutlooks::default();
    let mut counts = Counts::default();
    // The second stage completes 4 calls of 60 pieces in 560 ms: 428 pieces or 107 requests per second.
    let mut due = 0.0;
    for tick in 0..8_000_u64 {
        let now = MonoTime::from_millis(1_000 + tick);
        if tick % 50 == 0 {
            for (name, service) in names.iter().zip(&services) {
                outlooks.record(now, name, service.planner.outlook(now));
            }
        }
        due += match tick {
            0..2_000 => 0.06,
            2_000..6_000 => 0.267,
            _ => 0.0,
        };
        while due >= 1.0 {
            due -= 1.0;
            counts.requests += 1;
            let graph = StageGraph::new(&stages, &[1, 4]);
            let expected = outlooks.estimate(
                now,
                &ChainQuery {
                    workspace: &"".into(),
                    graph: &graph,
                    call_times: &[ms(200); 2],
                    until_latency_target: LATENCY_TARGET,
                    priority: 0,
                },
            );
            if checks_feasibility
                && graph
                    .check_feasible(&expected, LATENCY_TARGET, CALLER_TIMEOUT)
                    .is_err()
            {
                counts.refused_early += 1;
                continue;
            }
            let time_after = graph.critical_path_after(0, &expected.in_time);
            match services[0]
                .planner
                .push(now, job(0, 1, now, now, time_after))
            {
                Ok(key) => drop(running[0].insert(key, Request { arrived_at: now })),
                Err(_) => counts.refused_early += 1,
            }
        }
        for (key, made) in services[0].step(now) {
            let Some(request) = running[0].remove(&key) else {
                continue;
            };
            let new = job(1, 4, now, request.arrived_at, ms(0));
            let pushed = made.then(|| services[1].planner.push(now, new));
            match pushed {
                Some(Ok(key)) => drop(running[1].insert(key, request)),
                _ => counts.refused_late += 1,
            }
        }
        for (key, made) in services[1].step(now) {
            let Some(request) = running[1].remove(&key) else {
                continue;
            };
            match made {
                true if now.since(request.arrived_at) <= LATENCY_TARGET => counts.in_time += 1,
                true => counts.late += 1,
                false => counts.refused_late += 1,
            }
        }
    }
    counts
}

fn job(
    stage: u32,
    pieces: u32,
    now: MonoTime,
    arrived_at: MonoTime,
    time_after: Duration,
) -> NewJob {
    let in_time_for = arrived_at
        .after(LATENCY_TARGET)
        .since(now)
        .saturating_sub(time_after);
    NewJob {
        request: "r".into(),
        workspace: "".into(),
        stage,
        pieces,
        input: PieceInput::Request("k".into()),
        result_bytes: 8_000,
        priority: 0,
        in_time_until: now.after(in_time_for),
        deadline: arrived_at.after(CALLER_TIMEOUT),
        preferred_domain: None,
        held_bytes: 0,
        is_last_reader: false,
        dependent_pieces: match stage {
            0 => vec![("second".into(), 4)],
            _ => Vec::new(),
        },
        later_pieces: Vec::new(),
    }
}

/// Guards against a burst in which most requests are refused after their first stage has run, and most of the others
/// are late: the second of two stages is overloaded, but the requests pass the first, which has capacity, and wait or
/// are refused at the second, because each stage decides by itself.
#[test]
fn burst_beyond_the_second_stage_is_refused_before_the_first() {
    let (unchecked, checked) = (simulate(false), simulate(true));
    // In this setup the first stage has spare capacity, so admitting every request serves the most. The bounds limit
    // how much of that the check may cost; it saves every caller that would be refused late half a second.
    assert!(
        checked.refused_late * 4 <= unchecked.refused_late,
        "{checked:?} against {unchecked:?}"
    );
    assert!(
        checked.in_time * 100 >= unchecked.in_time * 85,
        "{checked:?} against {unchecked:?}"
    );
}

/// Guards against a crash when an instance that is broken or has another version reports figures that are not valid
/// numbers, and a wait is computed from them.
#[test]
fn invalid_figures_from_a_home_do_not_panic() {
    let stages = [stage("first", &[], 8_000), stage("second", &[0], 8_000)];
    let graph = StageGraph::new(&stages, &[1, 4]);
    let now = MonoTime::from_millis(1_000);
    for number in [
        f64::NAN,
        f64::INFINITY,
        f64::NEG_INFINITY,
        -1.0,
        0.0,
        1e-300,
        1e300,
    ] {
        let mut outlooks = StageOutlooks::default();
        for service in ["first", "second"] {
            let outlook = HomeOutlook {
                waiting: u32::MAX,
                in_time: DueHistogram::from_counts(&[u32::MAX; 40]),
                pieces_per_s: number,
                spare_capacity: number,
                ..HomeOutlook::default()
            };
            outlooks.record(now, &service.into(), outlook);
        }
        let expected = outlooks.estimate(
            now,
            &ChainQuery {
                workspace: &"".into(),
                graph: &graph,
                call_times: &[ms(200); 2],
                until_latency_target: LATENCY_TARGET,
                priority: u8::MAX,
            },
        );
        // Any decision is accepted, as long as there is no panic.
        let _ = graph.check_feasible(&expected, LATENCY_TARGET, CALLER_TIMEOUT);
    }
}

/// A chain of three stages and one with large results beside it, which the request reads as well.
fn chain_beside_large_results() -> [RouteStage; 4] {
    [
        stage("large", &[], 1_500_000),
        stage("read", &[], 8_000),
        stage("draw", &[1], 60_000),
        stage("check", &[2], 6_000),
    ]
}

fn make(graph: &mut StageGraph<'_>, stages: &[usize]) {
    for stage in stages {
        graph.mark_running(*stage);
        graph.mark_done(*stage);
    }
}

/// Guards against results at a bottleneck that are thrown away and made again because those of another stage were lost.
#[test]
fn only_stages_whose_results_are_gone_are_made_again() {
    let stages = chain_beside_large_results();
    let mut graph = StageGraph::new(&stages, &[2, 1, 6, 10]);
    make(&mut graph, &[1, 2, 0]);
    graph.mark_running(3);
    let mut still_held = graph.clone();
    assert_eq!(still_held.put_back(3, |_| true), Some(vec![2]));
    assert_eq!(still_held.startable(), [2]);

    // The results of `read` were freed when `draw` had read them.
    assert_eq!(graph.put_back(3, |stage| stage == 0), Some(vec![1, 2]));
    assert!(graph.is_complete(0), "nothing was made from lost results");
    assert_eq!(graph.startable(), [1]);
    make(&mut graph, &[1, 2, 3]);
    assert!((0..4).all(|stage| graph.is_complete(stage)));
    assert!(!graph.is_repeat(0) && (1..4).all(|stage| graph.is_repeat(stage)));
}

/// Guards against a request that makes its stages again without end while an upstream keeps losing results.
#[test]
fn no_stage_is_made_a_third_time() {
    let stages = chain_beside_large_results();
    let mut graph = StageGraph::new(&stages, &[2, 1, 6, 10]);
    make(&mut graph, &[1, 2]);
    graph.mark_running(3);
    assert_eq!(graph.put_back(3, |_| false), Some(vec![1, 2]));
    make(&mut graph, &[1, 2]);
    graph.mark_running(3);
    assert_eq!(graph.put_back(3, |_| false), None);
    let mut first = StageGraph::new(&stages, &[2, 1, 6, 10]);
    first.mark_running(1);
    assert_eq!(first.put_back(1, |_| true), None, "it has no inputs");
}

/// Guards against results made a third time because two readers miss the same ones, one after the other.
#[test]
fn a_loss_that_two_readers_notice_is_made_good_once() {
    let stages = [
        stage("read", &[], 8_000),
        stage("draw", &[0], 8_000),
        stage("check", &[0], 8_000),
    ];
    let mut graph = StageGraph::new(&stages, &[1, 1, 1]);
    make(&mut graph, &[0]);
    graph.mark_running(1);
    graph.mark_running(2);
    assert_eq!(graph.put_back(1, |_| true), Some(vec![0]));
    assert!(graph.is_being_read(0), "`check` may still fetch them");
    make(&mut graph, &[0]);
    assert_eq!(graph.put_back(2, |_| true), Some(Vec::new()));
    assert!(!graph.is_being_read(0));
    assert_eq!(graph.startable(), [1, 2]);
}
