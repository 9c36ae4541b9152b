//! The stages before a request: order, and whether to begin them under a load that one of them cannot carry.

use std::{collections::BTreeMap, time::Duration};

use tc_policy::{
    BatchPlanner, BatchUpstream, CallEnd, CallKey, HomeOutlook, JobKey, JudgedRequest, NewJob,
    PiecesByDue, RepeatBudget, RepeatLimits, StageGraph, StageOutlooks,
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
fn a_stage_beside_a_long_chain_is_begun_late_and_its_inputs_are_freed_when_all_read_them() {
    let stages = [
        stage("read", &[], 8_000),
        stage("draw", &[0], 1_500_000),
        stage("check", &[0], 8_000),
        stage("join", &[2], 8_000),
    ];
    let mut graph = StageGraph::new(&stages, &[1, 1, 1, 1]);
    assert_eq!(graph.startable(), [0]);
    graph.begin(0);
    graph.done(0);
    assert_eq!(graph.startable(), [2], "the longer chain first");
    graph.begin(2);
    graph.done(2);
    assert!(graph.read_by_all(2).is_empty(), "`draw` still reads `read`");
    assert_eq!(graph.startable(), [1, 3], "both end together");
    graph.begin(1);
    graph.done(1);
    assert_eq!(graph.read_by_all(1), [0]);
}

#[test]
fn stages_without_pieces_take_no_time_and_hold_nothing_up() {
    let stages = [stage("read", &[], 8_000), stage("draw", &[0], 8_000)];
    let graph = StageGraph::new(&stages, &[0, 3]);
    assert_eq!(graph.startable(), [1]);
    let times = [ms(300), ms(400)];
    assert_eq!(graph.time_of_all(&times), ms(400));
    assert_eq!(StageGraph::new(&stages, &[]).time_of_all(&times), ms(0));
}

/// A service of upstreams that make one call at a time, without failures.
struct Service {
    planner: BatchPlanner,
    ends: BTreeMap<(MonoTime, CallKey), (Duration, usize)>,
}

impl Service {
    /// 200 ms a call and 6 ms a piece, `pieces` a call at most.
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
        let repeats = RepeatBudget::new(RepeatLimits {
            ratio: 0.2,
            extra: 50.0,
            window: Duration::from_secs(10),
        });
        let mut planner = BatchPlanner::new(spec, repeats);
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

    /// Ends what ends and begins what can be begun; jobs that are over, and whether they were made.
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
        over.extend(self.planner.expire(now).finished);
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
            self.planner.freed(&result);
        }
        over.into_iter()
            .map(|finished| (finished.job, finished.result.is_ok()))
            .collect()
    }
}

#[derive(Debug, Default)]
struct Tally {
    asked: usize,
    in_time: usize,
    refused_at_once: usize,
    refused_late: usize,
    late: usize,
}

const AIM: Duration = ms(1_500);
const LEAVES: Duration = ms(6_000);

struct Request {
    came: MonoTime,
}

/// Two stages in a row of which the second carries half of what the first does, calm for 2 s, then 2.5 times what the
/// second can carry for 4 s. Entries hear of the homes with each answer; here every 50 ms.
fn play(judges: bool) -> Tally {
    let stages = [stage("first", &[], 8_000), stage("second", &[0], 8_000)];
    let mut services = [Service::new(8, 30), Service::new(4, 60)];
    let mut running: [BTreeMap<JobKey, Request>; 2] = [BTreeMap::new(), BTreeMap::new()];
    let names: [ServiceName; 2] = ["first".into(), "second".into()];
    let mut told = StageOutlooks::default();
    let mut tally = Tally::default();
    // The second stage makes 4 calls of 60 pieces in 560 ms: 428 pieces, 107 requests a second.
    let mut due = 0.0;
    for tick in 0..8_000_u64 {
        let now = MonoTime::from_millis(1_000 + tick);
        if tick % 50 == 0 {
            for (name, service) in names.iter().zip(&services) {
                told.note(now, name, service.planner.outlook(now));
            }
        }
        due += match tick {
            0..2_000 => 0.06,
            2_000..6_000 => 0.267,
            _ => 0.0,
        };
        while due >= 1.0 {
            due -= 1.0;
            tally.asked += 1;
            let graph = StageGraph::new(&stages, &[1, 4]);
            let expected = told.expect(
                now,
                &JudgedRequest {
                    graph: &graph,
                    call_times: &[ms(200); 2],
                    until_aim: AIM,
                    rank: 0,
                },
            );
            if judges && graph.worth_beginning(&expected, AIM, LEAVES).is_err() {
                tally.refused_at_once += 1;
                continue;
            }
            let following = graph.time_after(0, &expected.in_time);
            match services[0]
                .planner
                .push(now, job(0, 1, now, now, following))
            {
                Ok(key) => drop(running[0].insert(key, Request { came: now })),
                Err(_) => tally.refused_at_once += 1,
            }
        }
        for (key, made) in services[0].step(now) {
            let Some(request) = running[0].remove(&key) else {
                continue;
            };
            let new = job(1, 4, now, request.came, ms(0));
            let pushed = made.then(|| services[1].planner.push(now, new));
            match pushed {
                Some(Ok(key)) => drop(running[1].insert(key, request)),
                _ => tally.refused_late += 1,
            }
        }
        for (key, made) in services[1].step(now) {
            let Some(request) = running[1].remove(&key) else {
                continue;
            };
            match made {
                true if now.since(request.came) <= AIM => tally.in_time += 1,
                true => tally.late += 1,
                false => tally.refused_late += 1,
            }
        }
    }
    tally
}

fn job(stage: u32, pieces: u32, now: MonoTime, came: MonoTime, following: Duration) -> NewJob {
    let aim = came.after(AIM).since(now).saturating_sub(following);
    NewJob {
        request: "r".into(),
        stage,
        pieces,
        input: PieceInput::Request("k".into()),
        result_bytes: 8_000,
        rank: 0,
        in_time_until: now.after(aim),
        deadline: came.after(LEAVES),
        prefer: None,
        held_bytes: 0,
        is_last_reader: false,
        following: match stage {
            0 => vec![("second".into(), 4)],
            _ => Vec::new(),
        },
    }
}

/// Symptom: in a burst most requests are refused after their first stage was made for them, and most of the rest are late.
/// Sequence: the second of two stages is full; requests pass the first, which has room, and wait or are turned away at the
/// second. Cause: each stage is judged by itself when the request comes to it.
#[test]
fn a_burst_that_the_second_stage_cannot_carry_is_refused_before_the_first() {
    let (alone, judged) = (play(false), play(true));
    // The first stage has room to spare here, so trying costs nothing but itself: nearly as much is in time.
    // Here the first stage has room to spare and costs nothing, so trying whatever comes serves the most. What the
    // judgement may cost of that is bounded; what it saves is half a second of every caller that is refused late.
    assert!(
        judged.refused_late * 4 <= alone.refused_late,
        "{judged:?} against {alone:?}"
    );
    assert!(
        judged.in_time * 100 >= alone.in_time * 85,
        "{judged:?} against {alone:?}"
    );
}

/// Symptom: an instance ends by itself. Sequence: another one, of another version or broken, tells numbers that are none.
/// Cause: a wait is computed from them as they are.
#[test]
fn no_numbers_that_a_home_tells_bring_an_entry_down() {
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
        let mut told = StageOutlooks::default();
        for service in ["first", "second"] {
            let outlook = HomeOutlook {
                waiting: u32::MAX,
                in_time: PiecesByDue::from_counts(&[u32::MAX; 40]),
                pieces_per_s: number,
                free: number,
                ..HomeOutlook::default()
            };
            told.note(now, &service.into(), outlook);
        }
        let expected = told.expect(
            now,
            &JudgedRequest {
                graph: &graph,
                call_times: &[ms(200); 2],
                until_aim: AIM,
                rank: u8::MAX,
            },
        );
        // Whatever it decides, it decides.
        let _ = graph.worth_beginning(&expected, AIM, LEAVES);
    }
}
