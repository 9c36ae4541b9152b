//! A request that crashes each server that runs it, and the loss of all machines at the same moment.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    engine,
    net::{Answer, Channel},
    store::Store,
    world::{self, Record},
};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-book","host_name":"h.example","path_prefix":"/book/","route_kind":"non_idempotent","timeout_ms":800,"aim_ms":300,"priority":0,"service":"ledger","max_attempts":1,"stages":[],"public":false}],"services":[{"name":"ledger","health_path":"/health","max_conns":110,"protocol":"h1","tls_mode":false}],"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["k-0123456789"],"priority":1}]}"#;

const SERVERS: usize = 6;
const MACHINES: usize = 5;
const SLOTS: u32 = 6;
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long a server is away after a crash.
const BACK_AFTER: Duration = Duration::from_secs(2);
/// Three heartbeats of silence, after which the store drops an entry.
const ENTRY_KEPT: Duration = Duration::from_millis(3_600);

/// A server's process: it says on its standard output which requests it begins, and ends when it runs the deadly one.
pub fn serve(id: &str, address: &str) -> i32 {
    let Ok(listener) = TcpListener::bind(address) else {
        return 2;
    };
    println!("listens");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let mut channel = Channel::new(stream);
            while let Ok(Some(request)) = channel.request() {
                let expected = request.header("expect-instance").unwrap_or(&id);
                let request_id = request.header("request-id").unwrap_or("-").to_owned();
                let text = if request.target() == "/health" {
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                } else if expected != id {
                    format!("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n")
                } else {
                    let mut out = std::io::stdout().lock();
                    let _ = writeln!(out, "begins {request_id}");
                    let _ = out.flush();
                    drop(out);
                    sleep(Duration::from_millis(60));
                    if request.target().ends_with("/deadly") {
                        std::process::exit(101);
                    }
                    let body = engine::body_of(&request_id, 80);
                    format!("HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: {id}.{request_id}\r\nContent-Length: 80\r\n\r\n{body}")
                };
                if channel.send(text.as_bytes()).is_err() {
                    return;
                }
            }
        });
    }
    0
}

/// Keeps a server running: after a crash it is back as a new boot, with a new id at the same address.
fn keep(n: usize, store: &Store, record: &Arc<Record>, children: &Arc<Mutex<Vec<Child>>>, end: &Arc<AtomicBool>) {
    let address = world::free_address();
    let (store, record, children, end) = (store.clone(), Arc::clone(record), Arc::clone(children), Arc::clone(end));
    thread::spawn(move || {
        let mut boot = 0;
        while !end.load(Ordering::SeqCst) {
            boot += 1;
            let id = format!("i-{n}{boot:02}");
            if !run_server(&id, address, &store, &record, &children) {
                return;
            }
            if end.load(Ordering::SeqCst) {
                return;
            }
            record.line(&format!("server {id} has crashed"));
            let (store, name) = (store.clone(), id.clone());
            thread::spawn(move || {
                sleep(ENTRY_KEPT);
                store.put("servers", &name, None);
            });
            sleep(BACK_AFTER);
        }
    });
}

fn run_server(id: &str, address: SocketAddr, store: &Store, record: &Record, children: &Mutex<Vec<Child>>) -> bool {
    let Ok(program) = std::env::current_exe() else {
        return false;
    };
    let mut command = Command::new(program);
    let started = world::ends_with_this(&mut command)
        .args(["server", id, &address.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn();
    let Ok(mut child) = started else { return false };
    let Some(out) = child.stdout.take() else { return false };
    let pid = child.id();
    children.lock().unwrap().push(child);
    for line in BufReader::new(out).lines().map_while(Result::ok) {
        if line == "listens" {
            store.put("servers", id, Some(engine::entry("ledger", address, SLOTS, "ready")));
        }
        if let Some(request) = line.strip_prefix("begins ") {
            record.begin_run(id, request);
            record.line(&format!("server {id} begins {request}"));
        }
    }
    let mut children = children.lock().unwrap();
    if let Some(at) = children.iter().position(|child| child.id() == pid) {
        let _ = children.remove(at).wait();
    }
    true
}

pub fn run(trouble: bool, record: &Arc<Record>, scratch: &PathBuf) -> i32 {
    let store = Store::start();
    store.put("config", "main", Some(CONFIG.to_owned()));
    let children = Arc::<Mutex<Vec<Child>>>::default();
    let end = Arc::<AtomicBool>::default();
    for n in 0..SERVERS {
        keep(n, &store, record, &children, &end);
    }
    let mut instances = world::instances(scratch, world::LINTAS_KL, store.address, MACHINES);
    instances.iter_mut().for_each(world::Instance::start);
    let code = if world::wait_until_ready(&instances) {
        play(trouble, record, &mut instances)
    } else {
        2
    };
    end.store(true, Ordering::SeqCst);
    for child in children.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    code
}

fn play(trouble: bool, record: &Arc<Record>, instances: &mut [world::Instance]) -> i32 {
    // The request comes until it has crashed its third server.
    let mut third = Instant::now();
    for n in 1..=3 {
        let id = format!("deadly-{n}");
        send(&id, "deadly", instances[n].front, record);
        if record.runs(&id) != 1 {
            record.line("the request did not reach a server");
            return 2;
        }
        third = Instant::now();
        sleep(Duration::from_secs(5));
    }
    record.line("the request has crashed its third server");
    send("deadly-4", "deadly", instances[0].front, record);
    if trouble {
        record.line("SIGKILL to all machines at the same moment");
        instances.iter_mut().for_each(world::Instance::kill);
        sleep(Duration::from_secs(1));
        instances.iter_mut().for_each(world::Instance::start);
    }
    // Waits for longer than `contact_ms` after the last start.
    if !world::wait_until_ready(instances) {
        return 2;
    }
    sleep(Duration::from_secs(2));
    for (n, instance) in instances.iter().enumerate() {
        send(&format!("sound-{n}"), "sound", instance.front, record);
    }
    let since = third + CONTACT;
    let copies: Vec<_> = instances
        .iter()
        .enumerate()
        .map(|(n, instance)| {
            let (record, front) = (Arc::clone(record), instance.front);
            thread::spawn(move || send(&format!("deadly-again-{n}"), "deadly", front, &record))
        })
        .collect();
    for copy in copies {
        let _ = copy.join();
    }
    sleep(Duration::from_secs(3));
    for (n, instance) in instances.iter().enumerate() {
        send(&format!("deadly-later-{n}"), "deadly", instance.front, record);
    }
    let reached = record.runs_of("deadly-", since);
    record.line(&format!(
        "retries of the request that reached servers later than contact_ms after its third crash: {reached}"
    ));
    i32::from(reached > 3)
}

fn send(id: &str, path: &str, front: SocketAddr, record: &Record) {
    let Ok(mut channel) = Channel::open(front) else {
        record.line(&format!("consumer: {id} cannot connect"));
        return;
    };
    let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(3)));
    let text = format!(
        "POST /book/{path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
         Authorization: Bearer k-0123456789\r\nContent-Length: 4\r\n\r\nbody"
    );
    let _ = channel.send(text.as_bytes());
    let how = match channel.answer() {
        Answer::Whole(answer) => format!("{} {}", answer.status(), String::from_utf8_lossy(&answer.body)),
        Answer::Cut(_, how) => how,
    };
    record.line(&format!("consumer: {id} sent to {front}: {how}"));
}
