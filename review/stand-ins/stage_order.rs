//! A new version of the config with a route whose stages are listed in another order than they run.

use std::{
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

const OLD_KEY: &str = "k-old-0123456789";
const KEY: &str = "k-0123456789";
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
const SKEW_MAX: Duration = Duration::from_millis(5_000);

fn config(version: u32, service: &str, keys: &str, routes: &str) -> String {
    let pieces = r#""pieces":{"slot_count":1,"queue":2,"batch_size":14,"call_ms":200.0,"item_ms":12.0,"headroom_mb":32.0,"handle_s":4.0,"link_mbps":10000}"#;
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-book","host_name":"h.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":800,"aim_ms":300,"priority":0,"service":"{service}","max_attempts":1,"stages":[],"public":false}}{routes}],"services":[{{"name":"ledger","health_path":"/health","max_conns":110,"protocol":"h1","tls_mode":false}},{{"name":"ledger-2","health_path":"/health","max_conns":110,"protocol":"h1","tls_mode":false}},{{"name":"parts","health_path":"/health","max_conns":110,"protocol":"h1","tls_mode":false,{pieces}}}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"t1","api_keys":[{keys}],"priority":1}}]}}"#
    )
}

pub fn run(trouble: bool, record: &Arc<Record>, scratch: &PathBuf) -> i32 {
    let store = Store::start();
    let both = format!("\"{KEY}\",\"{OLD_KEY}\"");
    store.put("config", "main", Some(config(7, "ledger", &both, "")));
    engine::start("i-0", "ledger", 6, &store, record);
    engine::start("i-1", "ledger-2", 6, &store, record);
    let mut instances = world::instances(scratch, world::LINTAS_KL, store.address, 3);
    instances.iter_mut().for_each(world::Instance::start);
    if !world::wait_until_ready(&instances) {
        return 2;
    }
    for (n, instance) in instances.iter().enumerate() {
        send(&format!("before-{n}"), OLD_KEY, instance.front, record);
    }
    // Stage 0 needs the results of stage 1, or the other way round.
    let stages = if trouble {
        r#"{"service":"parts","after":[1],"byte_size":8000},{"service":"parts","after":[],"byte_size":8000}"#
    } else {
        r#"{"service":"parts","after":[],"byte_size":8000},{"service":"parts","after":[0],"byte_size":8000}"#
    };
    let route = format!(
        r#",{{"name":"r-new","host_name":"h.example","path_prefix":"/new/","route_kind":"non_idempotent","timeout_ms":2000,"aim_ms":1000,"priority":0,"service":"ledger","max_attempts":1,"stages":[{stages}],"public":false}}"#
    );
    let only = format!("\"{KEY}\"");
    store.put("config", "main", Some(config(9, "ledger-2", &only, &route)));
    let acknowledged = Instant::now();
    record.line("store: acknowledges version 9: /book/ goes to ledger-2, a key is gone, /new/ has two stages");
    sleep(CONFIG_APPLY + SKEW_MAX);
    let since = Instant::now();
    let mut broken = 0;
    for n in 0..10 {
        for (at, instance) in instances.iter().enumerate() {
            let id = format!("moved-{n}-{at}");
            send(&id, KEY, instance.front, record);
            let id = format!("revoked-{n}-{at}");
            send(&id, OLD_KEY, instance.front, record);
            broken += record.runs(&id);
        }
        sleep(Duration::from_millis(300));
    }
    let old = record.runs_at("i-0", since);
    record.line(&format!(
        "sent {} ms and more after the acknowledgement: {old} requests ran at the old service, {broken} of them with the key that is gone",
        since.duration_since(acknowledged).as_millis()
    ));
    i32::from(old > 0)
}

fn send(id: &str, key: &str, front: std::net::SocketAddr, record: &Record) {
    let Ok(mut channel) = Channel::open(front) else {
        record.line(&format!("consumer: {id} cannot connect"));
        return;
    };
    let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(3)));
    let text = format!(
        "POST /book/20/80 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
         Authorization: Bearer {key}\r\nContent-Length: 4\r\n\r\nbody"
    );
    let _ = channel.send(text.as_bytes());
    let how = match channel.answer() {
        Answer::Whole(answer) => {
            let seal = answer.header("server-seal").unwrap_or("no seal");
            format!("{} {seal}", answer.status())
        }
        Answer::Cut(_, how) => how,
    };
    record.line(&format!("consumer: {id} sent to {front}: {how}"));
}
