//! A planned stop of one machine while consumers still have its address.

use std::{
    path::PathBuf,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    engine,
    net::{Answer, Channel},
    store::Store,
    world::{self, Record, SIGTERM},
};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host_name":"h.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":6000,"aim_ms":4000,"priority":0,"service":"ledger","max_attempts":1,"stages":[],"public":false}],"services":[{"name":"ledger","health_path":"/health","max_conns":110,"protocol":"h1","tls_mode":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k-0123456789"],"priority":1}]}"#;

/// Work of a request at its server.
const WORK_MS: u64 = 3_500;
/// When the requests are sent, after the SIGTERM: while consumers may still use the address that the directory named
/// before it (`dns_ttl_s` 2, which some of them keep three times as long).
const SENT_AT_MS: [u64; 6] = [500, 3_300, 4_500, 5_000, 5_300, 5_700];
/// From the SIGTERM until the platform would send SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

pub fn run(trouble: bool, record: &Arc<Record>, scratch: &PathBuf) -> i32 {
    let store = Store::start();
    store.put("config", "main", Some(CONFIG.to_owned()));
    for n in 0..4 {
        engine::start(&format!("i-{n}"), "ledger", 6, &store, record);
    }
    let mut instances = world::instances(scratch, world::LINTAS_KL, store.address, 3);
    instances.iter_mut().for_each(world::Instance::start);
    if !world::wait_until_ready(&instances) {
        return 2;
    }
    let stopped = &instances[2];
    // Channels are kept open, and the directory is asked right before the stop.
    let mut channels = Vec::new();
    for n in 0..SENT_AT_MS.len() {
        let Ok(mut channel) = Channel::open(stopped.front) else {
            return 2;
        };
        let id = format!("before-{n}");
        let _ = channel.send(request(&id, 20).as_bytes());
        match channel.answer() {
            Answer::Whole(answer) if answer.status() == 200 => {}
            other => {
                record.line(&format!("consumer: {id} before the stop: {other:?}"));
                return 2;
            }
        }
        channels.push(channel);
    }
    let named = world::resolve(instances[0].directory);
    record.line(&format!("consumer: the directory names {named:?}"));
    if !named.contains(&stopped.front) {
        return 2;
    }
    let stop = Instant::now();
    if trouble {
        stopped.signal(SIGTERM);
        record.line(&format!("SIGTERM to {} at {}", stopped.name, stopped.front));
    }
    let consumers: Vec<_> = channels
        .into_iter()
        .zip(SENT_AT_MS)
        .map(|(channel, at)| {
            let record = Arc::clone(record);
            thread::spawn(move || consume(channel, at, stop, &record))
        })
        .collect();
    let broken = consumers.into_iter().filter_map(|c| c.join().ok()).filter(|b| *b).count();
    if trouble {
        sleep((GRACE + Duration::from_secs(1)).saturating_sub(stop.elapsed()));
        record.line(&format!("the stopped process has ended: {}", instances[2].has_ended()));
    }
    sleep(Duration::from_millis(1_500));
    record.line(&format!("requests that were read and passed on and got no complete answer: {broken}"));
    i32::from(broken > 0)
}

fn request(id: &str, work_ms: u64) -> String {
    format!(
        "POST /book/{work_ms}/800 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\
         Authorization: Bearer k-0123456789\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// Sends one request on a kept channel. Returns true if LOST is broken: the channel ends without a complete answer
/// although the deadline and the timeout are not reached, and the excuse for requests sent no later than 3 s after the
/// SIGTERM does not hold.
fn consume(mut channel: Channel, at_ms: u64, stop: Instant, record: &Record) -> bool {
    sleep(Duration::from_millis(at_ms).saturating_sub(stop.elapsed()));
    let id = format!("after-{at_ms}ms");
    let sent = Instant::now();
    if let Err(error) = channel.send(request(&id, WORK_MS).as_bytes()) {
        record.line(&format!("consumer: {id} could not be sent: {error}"));
        return false;
    }
    record.line(&format!("consumer: sends {id} on a kept channel"));
    let answer = channel.answer();
    let took = sent.elapsed();
    match answer {
        Answer::Whole(answer) => {
            let is_whole = answer.body == engine::body_of(&id, 800).as_bytes();
            record.line(&format!(
                "consumer: {id} answered {} after {} ms, whole body {is_whole}",
                answer.status(),
                took.as_millis()
            ));
            false
        }
        Answer::Cut(_, how) => {
            record.line(&format!(
                "consumer: {id}: the channel ends without an answer after {} ms ({how}), {} ms after the SIGTERM",
                took.as_millis(),
                stop.elapsed().as_millis()
            ));
            record.runs(&id) > 0
                && took < Duration::from_millis(6_000)
                && at_ms > 3_000
                && stop.elapsed() < GRACE + Duration::from_secs(1)
        }
    }
}
