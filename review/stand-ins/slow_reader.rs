//! Consumers that read their answers slowly, but all the time.

use std::{
    io::Read,
    net::{SocketAddr, TcpStream},
    os::fd::AsRawFd,
    path::PathBuf,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    engine,
    net::Channel,
    store::Store,
    world::{self, Record},
};

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host_name":"h.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":20000,"aim_ms":4000,"priority":0,"service":"ledger","max_attempts":1,"stages":[],"public":false}],"services":[{"name":"ledger","health_path":"/health","max_conns":110,"protocol":"h1","tls_mode":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k-0123456789"],"priority":1}]}"#;

const CONSUMERS: usize = 6;
/// Size of the body of an answer.
const BYTES: usize = 76_000;
/// What a consumer reads in each of its steps: 4 KB a second, so that the answer takes 19 s.
const STEP_BYTES: usize = 400;
const STEP: Duration = Duration::from_millis(100);
/// Receive buffer of a consumer. The kernel's default is 128 KB.
const WINDOW: i32 = 16_384;
/// `Deadline-Ms` of the requests and `timeout_ms` of the route.
const DEADLINE: Duration = Duration::from_secs(20);

pub fn run(trouble: bool, record: &Arc<Record>, scratch: &PathBuf) -> i32 {
    let store = Store::start();
    store.put("config", "main", Some(CONFIG.to_owned()));
    for n in 0..4 {
        engine::start(&format!("i-{n}"), "ledger", 6, &store, record);
    }
    let mut instances = world::instances(scratch, world::KVARNHOLM_MM_GROWN, store.address, 3);
    instances.iter_mut().for_each(world::Instance::start);
    if !world::wait_until_ready(&instances) {
        return 2;
    }
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|n| {
            let (record, front) = (Arc::clone(record), instances[n % 3].front);
            thread::spawn(move || consume(n, front, trouble, &record))
        })
        .collect();
    let broken = consumers.into_iter().filter_map(|c| c.join().ok()).filter(|b| *b).count();
    record.line(&format!(
        "requests that were passed on to a sound server and whose channel was closed without a complete answer: {broken}"
    ));
    i32::from(broken > 3)
}

/// Returns true if the channel is closed before the whole answer, and before the deadline.
fn consume(n: usize, front: SocketAddr, trouble: bool, record: &Record) -> bool {
    let Ok(stream) = TcpStream::connect(front) else {
        record.line(&format!("consumer: slow-{n} cannot connect"));
        return false;
    };
    if trouble {
        // SAFETY: the descriptor is open, and the value is an int.
        unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &WINDOW, 4) };
    }
    let mut channel = Channel::new(stream);
    // The channel has served a request before, and is kept.
    let first = request(&format!("first-{n}"), 800);
    let _ = channel.send(first.as_bytes());
    let _ = channel.answer();
    let id = format!("slow-{n}");
    let sent = Instant::now();
    if channel.send(request(&id, BYTES).as_bytes()).is_err() {
        return false;
    }
    record.line(&format!("consumer: sends {id} on a kept channel"));
    let (step, pause) = if trouble { (STEP_BYTES, STEP) } else { (16 << 10, Duration::ZERO) };
    let (mut read, mut total, mut reads) = (Vec::new(), None, 0_u32);
    let mut part = vec![0; step];
    let end = loop {
        match channel.stream.read(&mut part) {
            Ok(0) => break Some("end of the connection".to_owned()),
            Ok(count) => read.extend_from_slice(&part[..count]),
            Err(error) => break Some(error.to_string()),
        }
        reads += 1;
        if total.is_none() {
            total = read.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4 + BYTES);
        }
        if total.is_some_and(|total| read.len() >= total) {
            break None;
        }
        sleep((pause * reads).saturating_sub(sent.elapsed()));
    };
    let took = sent.elapsed();
    let body = read.len().saturating_sub(total.map_or(0, |total| total - BYTES));
    let runs = record.runs(&id);
    match end {
        None => {
            let is_right = read.ends_with(engine::body_of(&id, BYTES).as_bytes());
            record.line(&format!("consumer: {id} has the whole answer after {} ms, right body {is_right}", took.as_millis()));
            false
        }
        Some(how) => {
            record.line(&format!(
                "consumer: {id}, run {runs} times: the channel ends after {body} of {BYTES} bytes of the body, {} ms after the request ({how})",
                took.as_millis()
            ));
            runs > 0 && took < DEADLINE
        }
    }
}

fn request(id: &str, bytes: usize) -> String {
    format!(
        "POST /book/20/{bytes} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer k-0123456789\r\nContent-Length: 4\r\n\r\nbody",
        DEADLINE.as_millis()
    )
}
