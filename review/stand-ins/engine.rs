//! A sound server of a plain service: it works for as long as the path says and answers with its seal.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    net::{Channel, Message},
    store::Store,
    world::Record,
};

/// Starts a server and registers it in the store. The target `ROUTE/MS/BYTES` asks for so long a work and so long an
/// answer.
pub fn start(id: &str, service: &str, slots: u32, store: &Store, record: &Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let running = Arc::new(AtomicU32::new(0));
    let (name, log) = (id.to_owned(), Arc::clone(record));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, log, running) = (name.clone(), Arc::clone(&log), Arc::clone(&running));
            thread::spawn(move || serve(&name, slots, &running, Channel::new(stream), &log));
        }
    });
    store.put("servers", id, Some(entry(service, address, slots, "ready")));
    address
}

/// The entry of a server.
pub fn entry(service: &str, address: SocketAddr, slots: u32, lifecycle: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone_name\":\"kl-a\",\"version\":\"v1\",\
         \"slot_count\":{slots},\"lifecycle\":\"{lifecycle}\",\"cold_left_ms\":0,\"call_seq\":1,\"born\":1796492000000}}"
    )
}

fn serve(id: &str, slots: u32, running: &AtomicU32, mut channel: Channel, record: &Record) {
    let _ = channel.stream.set_nodelay(true);
    while let Ok(Some(request)) = channel.request() {
        let answer = answer(id, slots, running, &request, record);
        let request_id = request.header("request-id").unwrap_or("-").to_owned();
        let sent = channel.send(answer.as_bytes());
        if request.target() != "/health" {
            let how = if sent.is_ok() { "sends its answer" } else { "cannot send its answer" };
            record.line(&format!("server {id} {how} to {request_id}"));
        }
        if sent.is_err() {
            return;
        }
    }
}

fn answer(id: &str, slots: u32, running: &AtomicU32, request: &Message, record: &Record) -> String {
    let load = running.load(Ordering::SeqCst);
    if request.target() == "/health" {
        return format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nInstance-Load: {load},0,{slots}\r\nContent-Length: 0\r\n\r\n");
    }
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        return format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
    }
    let Some(request_id) = request.header("request-id").map(str::to_owned) else {
        return "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
    };
    if running.fetch_add(1, Ordering::SeqCst) >= slots {
        running.fetch_sub(1, Ordering::SeqCst);
        return format!("HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: {request_id}\r\nInstance-Load: {load},0,{slots}\r\nContent-Length: 0\r\n\r\n");
    }
    let mut parts = request.target().rsplit('/');
    let bytes: usize = parts.next().and_then(|p| p.parse().ok()).unwrap_or(800);
    let work: u64 = parts.next().and_then(|p| p.parse().ok()).unwrap_or(20);
    let deadline: u64 = request.header("deadline-ms").and_then(|d| d.parse().ok()).unwrap_or(60_000);
    record.begin_run(id, &request_id);
    record.line(&format!("server {id} begins {request_id}, work {work} ms, Deadline-Ms {deadline}"));
    let started = Instant::now();
    sleep(Duration::from_millis(work.min(deadline)));
    running.fetch_sub(1, Ordering::SeqCst);
    record.line(&format!(
        "server {id} has run {request_id} for {} ms",
        started.elapsed().as_millis()
    ));
    let (status, body) = if work > deadline {
        ("504 Gateway Timeout", "late".to_owned())
    } else {
        ("200 OK", body_of(&request_id, bytes))
    };
    format!(
        "HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nServer-Seal: {id}.{request_id}\r\nInstance-Load: {load},0,{slots}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The body of the answer to a request, which no other request has.
pub fn body_of(request_id: &str, bytes: usize) -> String {
    let mut body = String::with_capacity(bytes + 32);
    while body.len() < bytes {
        body.push_str(request_id);
        body.push('.');
    }
    body.truncate(bytes);
    body
}
