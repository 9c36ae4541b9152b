//! A request that crashes each engine comes again and again, beside sound requests of its tenant that differ from it in the
//! query only, and those of other tenants.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{Case, TENANTS, Verdict, config, plan, request_of, route, server, service};
use crate::{
    engine::{DEADLY, Engine},
    http::send,
    record::Record,
    store::Store,
};

const MACHINES: usize = 3;
const ENGINES: usize = 6;
const WORK_MS: u32 = 60;
/// Consumers of each tenant, those that the first one has besides, and the time between two requests of a consumer.
const CONSUMERS: usize = 6;
const FIRST_BESIDES: usize = 6;
const PAUSE: Duration = Duration::from_millis(250);
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Number of times that the deadly request comes, and the time between two of them.
const COMES: usize = 55;
const COMES_EVERY: Duration = Duration::from_millis(1_000);
/// Time after which a crashed engine is back, and after which the platform removes the entry of the old one.
const BACK_AFTER: Duration = Duration::from_millis(2_000);
const EXPIRY: Duration = Duration::from_millis(3_600);
const CONTACT_MS: u128 = 3_000;
/// Time that a run's way from its machine to the engine takes at most.
const SENDING_MS: u128 = 100;
/// Late retries that rule BUDGET allows.
const MAX_LATE: usize = 3;

/// Sound requests of a tenant, each counted once with the consumer's own attempts.
#[derive(Default)]
struct Tally {
    asked: AtomicUsize,
    served: AtomicUsize,
}

/// Starts a crashed engine again as a new boot, and keeps the store up to date.
fn supervise(
    number: usize,
    mut engine: Engine,
    store: Store,
    log: PathBuf,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        for boot in 1.. {
            while !engine.has_ended() {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(Duration::from_millis(5));
            }
            let (store_then, old) = (store.clone(), engine.instance.clone());
            thread::spawn(move || {
                thread::sleep(EXPIRY);
                store_then.remove("servers", &old);
            });
            thread::sleep(BACK_AFTER);
            let instance = format!("i-{number}-{boot}");
            engine = Engine::start(&engine.address.to_string(), &instance, WORK_MS, &log);
            store.put(
                "servers",
                &instance,
                &server("status-web", engine.address, 6),
            );
        }
    })
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let plan = plan(MACHINES);
    let store = Store::start(&format!("{}.2", plan.net));
    let runs = case.folder.join("runs.txt");
    let stop = Arc::new(AtomicBool::new(false));
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let address = format!("{}.{}:0", plan.net, 31 + number);
        let engine = Engine::start(&address, &format!("i-{number}-0"), WORK_MS, &runs);
        store.put(
            "servers",
            &engine.instance,
            &server("status-web", engine.address, 6),
        );
        engines.push(supervise(
            number,
            engine,
            store.clone(),
            runs.clone(),
            Arc::clone(&stop),
        ));
    }
    let routes = [route(
        "lookup",
        "idempotent",
        "status-web",
        1_500,
        r#","max_attempts":1"#,
    )];
    store.put(
        "config",
        "main",
        &config(1, &routes, &[service("status-web")]),
    );
    let Some(machines) = case.start(&plan, &store) else {
        return Verdict::NotRun;
    };
    let fronts: Vec<SocketAddr> = machines.iter().map(|m| m.front()).collect();
    let tallies: Arc<Vec<Tally>> = Arc::new((0..TENANTS).map(|_| Tally::default()).collect());
    let consumers: Vec<JoinHandle<()>> = (0..TENANTS * CONSUMERS + FIRST_BESIDES)
        .map(|number| {
            let (fronts, stop) = (fronts.clone(), Arc::clone(&stop));
            let (tallies, record) = (Arc::clone(&tallies), record.clone());
            thread::spawn(move || {
                thread::sleep(PAUSE.mul_f64(number as f64 * 0.618 % 1.0));
                let tenant = if number < TENANTS * CONSUMERS {
                    number % TENANTS
                } else {
                    0
                };
                for turn in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let began = Instant::now();
                    let path = format!("/lookup/plate?p=sound-{number}-{turn}");
                    let status = ask(
                        &record,
                        &fronts,
                        tenant,
                        &format!("s-{number}-{turn}"),
                        &path,
                        number + turn,
                    );
                    tallies[tenant].asked.fetch_add(1, Ordering::Relaxed);
                    tallies[tenant]
                        .served
                        .fetch_add(usize::from(status == 200), Ordering::Relaxed);
                    thread::sleep(PAUSE.saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let deadly = format!(
        "/lookup/plate?p={}",
        if case.trouble { DEADLY } else { "harmless" }
    );
    for number in 0..COMES {
        let began = Instant::now();
        let status = ask(record, &fronts, 0, &format!("d-{number}"), &deadly, number);
        record.line(&format!(
            "consumer: {deadly} came for the {}th time: {status}",
            number + 1
        ));
        thread::sleep(COMES_EVERY.saturating_sub(began.elapsed()));
    }
    stop.store(true, Ordering::Relaxed);
    for handle in consumers.into_iter().chain(engines) {
        let _ = handle.join();
    }
    let late = late_runs(record, &runs);
    let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
    let share = |served: usize, asked: usize| served as f64 / asked.max(1) as f64;
    let shares: Vec<f64> = tallies
        .iter()
        .map(|t| share(count(&t.served), count(&t.asked)))
        .collect();
    let asked: usize = tallies.iter().map(|t| count(&t.asked)).sum();
    let served: usize = tallies.iter().map(|t| count(&t.served)).sum();
    let all = share(served, asked);
    record.line(&format!(
        "served of each tenant's sound requests: {shares:.3?}; of all: {all:.3} of {asked}"
    ));
    let starved = shares.iter().any(|share| *share < all / 4.0);
    if late > MAX_LATE {
        record.line("broken: BUDGET, more than three late retries");
    }
    if starved {
        record.line("broken: Starved, a tenant is served less than a quarter as often as all");
    }
    if late > MAX_LATE || starved {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Counts the runs of the deadly request later than `contact_ms` after its third crash.
fn late_runs(record: &Record, runs: &Path) -> usize {
    let text = fs::read_to_string(runs).unwrap_or_default();
    let times = |mark: &str| -> Vec<u128> {
        let lines = text
            .lines()
            .filter(|line| line.contains(mark) && line.contains(" d-"));
        let time = |line: &str| line.split(" at ").nth(1)?.split(' ').next()?.parse().ok();
        lines.filter_map(time).collect()
    };
    let (crashes, mut ran) = (times(" crashed "), times(" ran "));
    ran.sort_unstable();
    let Some(third) = crashes.get(2) else {
        record.line(&format!(
            "its request ran {} times and crashed {} engines",
            ran.len(),
            crashes.len()
        ));
        return 0;
    };
    let late: Vec<u128> = ran
        .iter()
        .filter(|at| **at > third + CONTACT_MS + SENDING_MS)
        .map(|at| at - third)
        .collect();
    record.line(&format!(
        "the deadly request ran {} times and crashed {} engines; {} runs later than {CONTACT_MS} ms after the third crash, at (ms after it) {late:?}",
        ran.len(), crashes.len(), late.len()
    ));
    late.len()
}

/// Asks as consumers do: after a failure once more, at another machine, within the deadline.
fn ask(
    record: &Record,
    fronts: &[SocketAddr],
    tenant: usize,
    id: &str,
    path: &str,
    turn: usize,
) -> u16 {
    let began = Instant::now();
    let mut status = 0;
    for attempt in 0..2 {
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left < Duration::from_millis(50) {
            break;
        }
        let id = format!("{id}-{attempt}");
        let text = request_of(
            tenant + 1,
            "GET",
            path,
            &id,
            left.as_millis() as u32,
            "",
            "",
        );
        let answer = send(fronts[(turn + attempt) % fronts.len()], &text, left);
        status = answer.status;
        if status == 200 && answer.is_complete {
            return 200;
        }
        record.line(&format!(
            "consumer: {path} {id} got {status} {} {}",
            answer.text(),
            answer.problem
        ));
        let after = answer.header("retry-after").parse().unwrap_or(0.02_f64);
        thread::sleep(
            Duration::from_secs_f64(after).min(DEADLINE.saturating_sub(began.elapsed()) / 3),
        );
    }
    status
}
