//! The machines are stopped in turn; on each of them one consumer reads its answer slowly.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use super::{Case, Verdict, config, plan, request, route, server, service};
use crate::{
    http::{Answer, exchange, listen, send, with_length},
    narrow::open,
    record::Record,
    store::Store,
};

const MACHINES: usize = 8;
/// Times that all machines are stopped in turn and started again.
const ROUNDS: usize = 4;
/// Size of the answer of the first consumer. The others' are a little larger each, so that their ends lie differently in the
/// buffers on the way.
const BODY_BYTES: usize = 860_000;
const BODY_STEP: usize = 12_000;
const ROUND_STEP: usize = 5_000;
/// Bytes that a consumer reads in a second.
const BYTES_PER_S: f64 = 100_000.0;
/// Receive buffer of a consumer.
const WINDOW_BYTES: i32 = 4 << 10;
/// From a consumer's request to 1 s after the grace of 8 s that follows the SIGTERM: the rule counts a channel that ends within.
const WINDOW_OF_RULE: Duration = Duration::from_millis(9_200);
/// Time between two SIGTERMs.
const GAP: Duration = Duration::from_millis(1_300);
/// Time from the request of a consumer to the SIGTERM of its machine.
const BEFORE_TERM: Duration = Duration::from_millis(200);

/// Returns the size of the answer to a request, which is numbered through all rounds.
fn body_bytes(number: usize) -> usize {
    BODY_BYTES + number % MACHINES * BODY_STEP + number / MACHINES * ROUND_STEP
}

pub fn play(case: &Case) -> Verdict {
    let record = &case.record;
    let plan = plan(MACHINES);
    let store = Store::start(&format!("{}.2", plan.net));
    let listener = TcpListener::bind((format!("{}.3", plan.net), 0)).expect("a server");
    let address = listener.local_addr().expect("its address");
    let ran = Arc::new(Mutex::new(Vec::<String>::new()));
    let (runs, log) = (Arc::clone(&ran), record.clone());
    listen(listener, move |request, reader| {
        let id = request.header("request-id").to_owned();
        let number = request
            .path()
            .rsplit('/')
            .next()
            .and_then(|n| n.parse().ok());
        runs.lock().unwrap().push(id.clone());
        let size = number.map_or(800, body_bytes);
        let body: Vec<u8> = (0..size).map(|n| b'a' + (n % 23) as u8).collect();
        let head =
            format!("Request-Id: {id}\r\nServer-Seal: seal-of-{id}\r\nInstance-Load: 1,0,16\r\n");
        let sent = reader
            .stream
            .write_all(&with_length("200 OK", &head, &body));
        log.line(&format!(
            "server: ran {id}, sent its answer of {size} bytes whole: {}",
            sent.is_ok()
        ));
        sent.is_ok()
    });
    store.put("servers", "i-1", &server("status-web", address, 16));
    let routes = [route(
        "plain",
        "non_idempotent",
        "status-web",
        20_000,
        r#","max_attempts":1"#,
    )];
    store.put(
        "config",
        "main",
        &config(1, &routes, &[service("status-web")]),
    );
    let Some(mut machines) = case.start(&plan, &store) else {
        return Verdict::NotRun;
    };
    for machine in &machines {
        let id = format!("first-{}", machine.name);
        let first = send(
            machine.front(),
            &request("POST", "/plain/first", &id, 5_000, "", "x"),
            Duration::from_secs(5),
        );
        if !first.is_complete || first.status != 200 {
            record.line(&format!(
                "consumer: {id} got {} {}",
                first.status, first.problem
            ));
            return Verdict::NotRun;
        }
    }
    let mut answers = Vec::new();
    for round in 0..ROUNDS {
        let mut consumers = Vec::new();
        for (number, machine) in machines.iter().enumerate() {
            consumers.push(consumer(
                record.clone(),
                machine.front(),
                round * MACHINES + number,
            ));
            thread::sleep(BEFORE_TERM);
            if case.trouble {
                record.line(&format!("SIGTERM to {}", machine.name));
                machine.signal("TERM");
            }
            thread::sleep(GAP.saturating_sub(BEFORE_TERM));
        }
        answers.extend(consumers.into_iter().map(|c| c.join().expect("a consumer")));
        for machine in machines
            .iter_mut()
            .filter(|_| case.trouble && round + 1 < ROUNDS)
        {
            if !machine.has_ended() {
                record.line(&format!("{} has not ended", machine.name));
                return Verdict::NotRun;
            }
            machine.start();
        }
        if !machines
            .iter_mut()
            .all(|machine| round + 1 == ROUNDS || machine.wait_until_ready())
        {
            return Verdict::NotRun;
        }
    }
    let ran = ran.lock().unwrap();
    let is_lost = |(number, answer): (usize, &Answer)| {
        let in_window = answer.took <= WINDOW_OF_RULE;
        !answer.is_complete && in_window && ran.contains(&format!("slow-{number}"))
    };
    let lost = answers
        .iter()
        .enumerate()
        .filter(|(n, a)| is_lost((*n, a)))
        .count();
    record.line(&format!(
        "{lost} of {} requests that ran have no complete answer, with a channel that ended in the rule's time",
        answers.len()
    ));
    if lost == 0 {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Starts a consumer.
fn consumer(record: Record, front: SocketAddr, number: usize) -> JoinHandle<Answer> {
    thread::spawn(move || {
        let id = format!("slow-{number}");
        let stream = match open(front, WINDOW_BYTES) {
            Ok(stream) => stream,
            Err(error) => {
                record.line(&format!("consumer: {id} gets no channel: {error}"));
                return Answer::default();
            }
        };
        let text = request("POST", &format!("/plain/{number}"), &id, 20_000, "", "x");
        record.line(&format!("consumer: {id} sent, deadline 20000 ms"));
        let began = Instant::now();
        let pace = |read: usize| {
            let due = Duration::from_secs_f64(read as f64 / BYTES_PER_S);
            due.saturating_sub(began.elapsed())
        };
        let answer = exchange(stream, &text, &pace);
        let (bytes, of) = (answer.body.len(), body_bytes(number));
        record.line(&format!(
            "consumer: {id} got {}, {bytes} of {of} bytes, complete: {} {} after {} ms",
            answer.status,
            answer.is_complete,
            answer.problem,
            answer.took.as_millis()
        ));
        answer
    })
}
