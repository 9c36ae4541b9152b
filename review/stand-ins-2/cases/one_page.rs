//! All engines of a service crash while a crowd refreshes one page. The engines come back; is the page served again?

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{Case, TENANTS, Verdict, config, plan, request_of, route, server, service};
use crate::{engine::Engine, http::send, record::Record, store::Store};

const MACHINES: usize = 3;
const ENGINES: usize = 4;
const WORK_MS: u32 = 60;
/// Consumers of the first tenant, of each other tenant, and the time between two requests of a consumer.
const CROWD: usize = 60;
const CONSUMERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_millis(1_500);
/// Times that all engines crash together.
const OUTAGES: usize = 3;
/// Time from the start of traffic to the first outage, how long the engines are down, the time from their return to the next
/// outage, and how long traffic goes on after the last one.
const BEFORE: Duration = Duration::from_secs(4);
const DOWN: Duration = Duration::from_secs(4);
const BETWEEN: Duration = Duration::from_secs(2);
const AFTER: Duration = Duration::from_secs(62);
/// Time of silence after which the platform removes the entry of an engine: three times `heartbeat_ms`.
const EXPIRY: Duration = Duration::from_millis(3_600);

/// Requests of a tenant, each counted once with the consumer's own attempts.
#[derive(Default)]
struct Tally {
    asked: AtomicUsize,
    served: AtomicUsize,
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let plan = plan(MACHINES);
    let store = Store::start(&format!("{}.2", plan.net));
    let runs = case.folder.join("runs.txt");
    let mut engines: Vec<Engine> = (0..ENGINES)
        .map(|n| {
            Engine::start(
                &format!("{}.{}:0", plan.net, 3 + n),
                &format!("i-{n}"),
                WORK_MS,
                &runs,
            )
        })
        .collect();
    for engine in &engines {
        store.put(
            "servers",
            &engine.instance,
            &server("status-web", engine.address, 6),
        );
    }
    let routes = [route(
        "page",
        "idempotent",
        "status-web",
        800,
        r#","max_attempts":2"#,
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
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(
        std::collections::BTreeMap::<String, usize>::new(),
    ));
    let consumers: Vec<_> = (0..CROWD + (TENANTS - 1) * CONSUMERS)
        .map(|number| {
            let (fronts, tallies) = (fronts.clone(), Arc::clone(&tallies));
            let (stop, answers, record) = (Arc::clone(&stop), Arc::clone(&answers), record.clone());
            thread::spawn(move || {
                thread::sleep(PAUSE.mul_f64(number as f64 * 0.618 % 1.0));
                for turn in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let began = Instant::now();
                    let tenant = if number < CROWD {
                        0
                    } else {
                        1 + number % (TENANTS - 1)
                    };
                    // The first tenant's consumers refresh one page; the others' ask for a page each time that no one else asks for.
                    let page = if tenant == 0 {
                        "status".to_owned()
                    } else {
                        format!("{number}-{turn}")
                    };
                    let status = ask(&record, &fronts, tenant, number, turn, &page);
                    tallies[tenant].asked.fetch_add(1, Ordering::Relaxed);
                    if status == 200 {
                        tallies[tenant].served.fetch_add(1, Ordering::Relaxed);
                    }
                    *answers
                        .lock()
                        .unwrap()
                        .entry(format!("tenant-{} {status}", tenant + 1))
                        .or_default() += 1;
                    thread::sleep(PAUSE.saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    let log = |what: &str| {
        let answers = std::mem::take(&mut *answers.lock().unwrap());
        record.line(&format!(
            "{what}; final answers since the last line: {answers:?}"
        ));
    };
    thread::sleep(BEFORE);
    log("before");
    for outage in 1..=OUTAGES {
        if !case.trouble {
            break;
        }
        engines.iter_mut().for_each(Engine::kill);
        engines.iter_mut().for_each(Engine::crash);
        log(&format!(
            "outage {outage}: all engines of status-web have crashed"
        ));
        thread::sleep(EXPIRY);
        for engine in &engines {
            store.remove("servers", &engine.instance);
        }
        thread::sleep(DOWN.saturating_sub(EXPIRY));
        for (n, engine) in engines.iter_mut().enumerate() {
            let instance = format!("i-{n}-{outage}");
            *engine = Engine::start(&engine.address.to_string(), &instance, WORK_MS, &runs);
            store.put(
                "servers",
                &engine.instance,
                &server("status-web", engine.address, 6),
            );
        }
        log("all engines are back as new boots");
        thread::sleep(BETWEEN);
    }
    let until = Instant::now() + AFTER;
    while Instant::now() < until {
        thread::sleep(Duration::from_secs(5));
        log("5 s");
    }
    stop.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    for machine in &machines {
        let lines = machine.log_lines("\"quarantined\":true");
        let refused = machine
            .log_lines("the request has crashed upstreams that ran it")
            .len();
        record.line(&format!(
            "log of {}: {refused} lines of refusals; first {:?}",
            machine.name,
            lines.first()
        ));
    }
    let ran = std::fs::read_to_string(&runs).unwrap_or_default();
    let of_page = ran
        .lines()
        .filter(|line| line.ends_with(" /page/status"))
        .count();
    record.line(&format!(
        "engines ran {} requests, {of_page} of them for the first tenant's page",
        ran.lines().count()
    ));
    let shares: Vec<f64> = tallies
        .iter()
        .map(|tally| {
            tally.served.load(Ordering::Relaxed) as f64
                / tally.asked.load(Ordering::Relaxed).max(1) as f64
        })
        .collect();
    let asked: usize = tallies
        .iter()
        .map(|t| t.asked.load(Ordering::Relaxed))
        .sum();
    let served: usize = tallies
        .iter()
        .map(|t| t.served.load(Ordering::Relaxed))
        .sum();
    let all = served as f64 / asked.max(1) as f64;
    record.line(&format!(
        "served of each tenant's requests: {shares:.3?}; of all: {all:.3} of {asked}"
    ));
    if all < 0.3 {
        return Verdict::NotRun;
    }
    if shares.iter().any(|share| *share < all / 4.0) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Asks for a page as consumers do: at another machine after a failure, once more, within the deadline.
fn ask(
    record: &Record,
    fronts: &[SocketAddr],
    tenant: usize,
    number: usize,
    turn: usize,
    page: &str,
) -> u16 {
    let began = Instant::now();
    let mut status = 0;
    for attempt in 0..2 {
        let left = DEADLINE.saturating_sub(began.elapsed());
        if left < Duration::from_millis(50) {
            break;
        }
        let id = format!("{number}-{turn}-{attempt}");
        let path = format!("/page/{page}");
        let text = request_of(
            tenant + 1,
            "GET",
            &path,
            &id,
            left.as_millis() as u32,
            "",
            "",
        );
        let answer = send(
            fronts[(number + turn + attempt) % fronts.len()],
            &text,
            left,
        );
        status = answer.status;
        if status == 200 && answer.is_complete {
            return 200;
        }
        if turn % 10 == 0 {
            record.line(&format!(
                "consumer: {path} {id} got {status} {} {}",
                answer.text(),
                answer.problem
            ));
        }
        let after = answer.header("retry-after").parse().unwrap_or(0.02_f64);
        thread::sleep(
            Duration::from_secs_f64(after).min(DEADLINE.saturating_sub(began.elapsed()) / 3),
        );
    }
    status
}
