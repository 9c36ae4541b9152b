//! An entry of another writer, with a byte that can't be read, beside those of the servers.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    engine,
    net::{Answer, Channel},
    store::Store,
    world::{self, Record},
};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host_name":"h.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":800,"aim_ms":300,"priority":0,"service":"ledger","max_attempts":1,"stages":[],"public":false}],"services":[{"name":"ledger","health_path":"/health","max_conns":110,"protocol":"h1","tls_mode":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k-0123456789"],"priority":1}]}"#;

/// The entry: complete, but for a byte 1 inside the name of its service.
const ODD_ENTRY: &str = "{\"service\":\"led\u{1}ger\",\"address\":\"127.0.0.1:9\",\"zone_name\":\"kl-a\",\"version\":\"v1\",\
    \"slot_count\":6,\"lifecycle\":\"ready\",\"cold_left_ms\":0,\"call_seq\":1}";
const DRAIN: Duration = Duration::from_millis(3_000);
const TRAFFIC: Duration = Duration::from_secs(14);
const SLOTS: u32 = 6;

pub fn run(trouble: bool, record: &Arc<Record>, scratch: &PathBuf) -> i32 {
    let store = Store::start();
    store.put("config", "main", Some(CONFIG.to_owned()));
    let leaving = engine::start("i-0", "ledger", SLOTS, &store, record);
    let mut instances = world::instances(scratch, world::KVARNHOLM_MM_GROWN, store.address, 3);
    instances.iter_mut().for_each(world::Instance::start);
    if !world::wait_until_ready(&instances) {
        return 2;
    }
    if trouble {
        store.put("servers", "i-5", Some(ODD_ENTRY.to_owned()));
        record.line("store: another writer has put servers/i-5, whose service has a byte 1 in it");
    }
    sleep(Duration::from_secs(2));
    engine::start("i-9", "ledger", SLOTS, &store, record);
    record.line("store: servers/i-9 is registered, ready");
    sleep(Duration::from_secs(2));
    // The server goes on serving for longer than `drain_ms`, as the pages allow.
    let entry = engine::entry("ledger", leaving, SLOTS, "draining");
    store.put("servers", "i-0", Some(entry));
    let acknowledged = Instant::now();
    record.line("store: acknowledges that i-0 is draining");
    let mut number = 0;
    while acknowledged.elapsed() < TRAFFIC {
        for instance in &instances {
            number += 1;
            consume(&format!("q-{number}"), instance.front, record);
        }
        sleep(Duration::from_millis(300));
    }
    // A second beyond the bound, so that no request of this list was under way at its end.
    let late = record.runs_at("i-0", acknowledged + DRAIN + Duration::from_secs(1));
    let new = record.runs_at("i-9", acknowledged);
    record.line(&format!(
        "requests that reached i-0 later than drain_ms + 1 s after the acknowledgement: {late}; requests at i-9: {new}"
    ));
    i32::from(late > 0)
}

fn consume(id: &str, front: SocketAddr, record: &Record) {
    let Ok(mut channel) = Channel::open(front) else {
        record.line(&format!("consumer: {id} cannot connect to {front}"));
        return;
    };
    let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(3)));
    let text = format!(
        "POST /book/20/800 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
         Authorization: Bearer k-0123456789\r\nContent-Length: 0\r\n\r\n"
    );
    let _ = channel.send(text.as_bytes());
    match channel.answer() {
        Answer::Whole(answer) => {
            let seal = answer.header("server-seal").unwrap_or("no seal").to_owned();
            record.line(&format!("consumer: {id} sent to {front}: {} {seal}", answer.status()));
        }
        Answer::Cut(_, how) => record.line(&format!("consumer: {id} sent to {front}: {how}")),
    }
}
