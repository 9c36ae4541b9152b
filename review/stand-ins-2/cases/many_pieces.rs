//! One consumer asks for a stage with very many pieces, again and again.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{Case, Verdict, config, plan, request, route, server, service};
use crate::{
    gateway::Machine,
    http::{listen, send, with_length},
    record::Record,
    store::Store,
};

const MACHINES: usize = 4;
/// Value of `Pieces` with the disruption, and without it.
const MANY: u32 = 10_000_000;
const FEW: u32 = 2;
/// Requests of the consumer, and the time between two of them.
const REQUESTS: usize = 14;
const PAUSE: Duration = Duration::from_millis(3_000);
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);
const MEMORY_KB: u64 = 260_000;
/// Ends of a machine's processes, and machines with so many, from which on the rule is broken.
const MAX_ENDS: usize = 3;
const MAX_MACHINES: usize = 2;

/// Serves stage calls: each piece gets a result.
fn serve_stage(listener: TcpListener, record: Record) {
    let address = listener.local_addr().expect("its address");
    let made = Mutex::new(0_u64);
    listen(listener, move |request, reader| {
        let json = "Content-Type: application/json\r\nInstance-Load: 0,0,1\r\n";
        if request.path() != "/stage-run" {
            return reader
                .stream
                .write_all(&with_length("200 OK", json, b"{}"))
                .is_ok();
        }
        let items = String::from_utf8_lossy(&request.body)
            .matches("\"instance_id\"")
            .count();
        thread::sleep(Duration::from_millis(200 + 12 * items as u64));
        let first = {
            let mut made = made.lock().unwrap();
            *made += items as u64;
            *made - items as u64
        };
        record.line(&format!("stage engine: made {items} pieces"));
        let results =
            (0..items as u64).map(|n| format!(r#"{{"handle_id":"{address}/{:x}"}}"#, first + n));
        let body = format!(r#"{{"items":[{}]}}"#, results.collect::<Vec<_>>().join(","));
        reader
            .stream
            .write_all(&with_length("200 OK", json, body.as_bytes()))
            .is_ok()
    });
}

/// Runs a machine as the platform does: kills a process that exceeds its memory, and starts one that has ended again.
/// Returns how often it has ended.
fn supervise(mut machine: Machine, stop: Arc<AtomicBool>, record: Record) -> JoinHandle<usize> {
    thread::spawn(move || {
        let mut ends = 0;
        while !stop.load(Ordering::Relaxed) {
            let kb = machine.memory_kb();
            if kb > MEMORY_KB {
                record.line(&format!(
                    "platform: {} has {} MB, limit 260 MB; killed",
                    machine.name,
                    kb / 1_000
                ));
                machine.signal("KILL");
                thread::sleep(Duration::from_millis(20));
            }
            if machine.has_ended() {
                ends += 1;
                record.line(&format!(
                    "platform: {} has ended, {ends} times by now",
                    machine.name
                ));
                thread::sleep(RESTART);
                machine.start();
            }
            thread::sleep(Duration::from_millis(5));
        }
        ends
    })
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let plan = plan(MACHINES);
    let store = Store::start(&format!("{}.2", plan.net));
    for number in 0..2 {
        let listener =
            TcpListener::bind((format!("{}.{}", plan.net, 3 + number), 0)).expect("a server");
        let address = listener.local_addr().expect("its address");
        serve_stage(listener, record.clone());
        store.put(
            "servers",
            &format!("i-stage-{number}"),
            &server("tenant-api", address, 1),
        );
    }
    let listener = TcpListener::bind((format!("{}.5", plan.net), 0)).expect("a server");
    let address = listener.local_addr().expect("its address");
    let log = record.clone();
    listen(listener, move |request, reader| {
        let id = request.header("request-id").to_owned();
        log.line(&format!("engine: ran {id}"));
        let head =
            format!("Request-Id: {id}\r\nServer-Seal: seal-{id}\r\nInstance-Load: 1,0,16\r\n");
        reader
            .stream
            .write_all(&with_length("200 OK", &head, b"answer"))
            .is_ok()
    });
    store.put("servers", "i-web", &server("status-web", address, 16));
    let stages =
        r#","max_attempts":2,"stages":[{"service":"tenant-api","after":[],"byte_size":8000}]"#;
    let routes = [route("staged", "idempotent", "status-web", 6_000, stages)];
    let stage_service = r#"{"name":"tenant-api","health_path":"/health","max_conns":620,"pieces":{"slot_count":1,"queue":2,"batch_size":14,"call_ms":200,"item_ms":12,"headroom_mb":32,"handle_s":4,"link_mbps":10000}}"#;
    store.put(
        "config",
        "main",
        &config(
            1,
            &routes,
            &[service("status-web"), stage_service.to_owned()],
        ),
    );
    let Some(machines) = case.start(&plan, &store) else {
        return Verdict::NotRun;
    };
    let fronts: Vec<SocketAddr> = machines.iter().map(Machine::front).collect();
    let text = request("GET", "/staged/1", "first", 6_000, &pieces(FEW), "");
    let first = send(fronts[0], &text, DEADLINE);
    record.line(&format!(
        "consumer: first with {FEW} pieces got {}",
        first.status
    ));
    if first.status != 200 {
        return Verdict::NotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let names: Vec<String> = machines
        .iter()
        .map(|machine| machine.name.clone())
        .collect();
    let platform = machines
        .into_iter()
        .map(|m| supervise(m, Arc::clone(&stop), record.clone()));
    let platform: Vec<JoinHandle<usize>> = platform.collect();
    for number in 0..REQUESTS {
        let began = Instant::now();
        ask(
            record,
            &fronts,
            number,
            if case.trouble { MANY } else { FEW },
        );
        thread::sleep(PAUSE.saturating_sub(began.elapsed()));
    }
    stop.store(true, Ordering::Relaxed);
    let ends: Vec<usize> = platform
        .into_iter()
        .map(|p| p.join().unwrap_or(0))
        .collect();
    let by_machine: BTreeMap<&String, &usize> = names.iter().zip(&ends).collect();
    record.line(&format!("ends of processes: {by_machine:?}"));
    let often = ends.iter().filter(|ends| **ends >= MAX_ENDS).count();
    if often >= MAX_MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn pieces(count: u32) -> String {
    format!("Pieces: {count}\r\nPiece-Key: 7c1e07a291bd\r\n")
}

/// Sends a request as consumers do: after a failure once more, on a new channel to another machine.
fn ask(record: &Record, fronts: &[SocketAddr], number: usize, count: u32) {
    let began = Instant::now();
    for attempt in 0..2 {
        let left = DEADLINE.saturating_sub(began.elapsed());
        let id = format!("{number}-{attempt}");
        let text = request(
            "GET",
            "/staged/1",
            &id,
            left.as_millis() as u32,
            &pieces(count),
            "",
        );
        let answer = send(fronts[(number + attempt) % fronts.len()], &text, left);
        record.line(&format!(
            "consumer: {id} with {count} pieces got {} {} {}",
            answer.status,
            answer.text(),
            answer.problem
        ));
        if answer.status == 200 {
            return;
        }
        let after = answer.header("retry-after").parse().unwrap_or(0.02_f64);
        thread::sleep(
            Duration::from_secs_f64(after).min(DEADLINE.saturating_sub(began.elapsed()) / 3),
        );
    }
}
