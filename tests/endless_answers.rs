//! Memory of a gateway process whose upstream sends bytes without end.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use tc_platform_adapter::{
    SETTINGS_VARIABLE,
    outside::{
        CONFIG_KIND, CONFIG_NAME, CallerRequest, ConfiguredRoute, ProcessSettings, ServiceRoles,
        UPSTREAMS_KIND, config, memory_limit_text, ready_text, request_text, sealed_headers,
        set_timeouts, settings_text, store_wire_format, upstream_entry,
    },
};
use tc_protocol::routing::RouteKind;
use tc_stand_ins::{ObjectStore, ScriptedServer, Step};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Memory limit of the process, in megabytes.
const MEMORY_MB: u64 = 160;
/// Requests that the upstream answers without end at the same time.
const REQUESTS: usize = 150;
const KEY: &str = "key-of-one";
const DEADLINE: Duration = Duration::from_secs(8);
/// Time for which the faulty upstream is called.
const START_TIME: Duration = Duration::from_secs(20);

/// A gateway process, killed on drop.
struct Gateway {
    process: Child,
    callers: SocketAddr,
    settings: PathBuf,
}

impl Gateway {
    async fn start(store: SocketAddr) -> Self {
        let free = || tc_stand_ins::free_address(Ipv4Addr::LOCALHOST.into()).expect("a free port");
        let (callers, ready) = (free(), free());
        let mut text = settings_text(&ProcessSettings {
            name: "i0",
            failure_domain: "d",
            callers,
            ready,
            fleet_port: free().port(),
            store,
            grace: Duration::from_secs(3),
            evacuate_time: Duration::from_secs(2),
            retry_ratio: 0.2,
            retry_extra: 10.0,
            retry_window: Duration::from_secs(10),
        });
        text += &memory_limit_text(MEMORY_MB);
        let settings = std::env::temp_dir().join(format!("tc-endless-{}", callers.port()));
        fs::write(&settings, text).expect("the settings are written");
        let process = Command::new(env!("CARGO_BIN_EXE_tanagercroft"))
            .arg("gateway")
            .env(SETTINGS_VARIABLE, &settings)
            .env("TANAGERCROFT_FLEET_KEY", "a key of this test only")
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the binary starts");
        let gateway = Self {
            process,
            callers,
            settings,
        };
        let is_ready = async {
            while !send(ready, ready_text().to_owned()).await.contains(" 200 ") {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(START_TIME, is_ready).await.expect("it is ready");
        gateway
    }

    /// Returns the peak of the memory that the process has used, in megabytes.
    fn peak_memory_mb(&self) -> u64 {
        let status = format!("/proc/{}/status", self.process.id());
        let status = fs::read_to_string(status).expect("the process runs");
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kilobytes = peak.and_then(|peak| peak.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.expect("the kernel reports the peak") / 1_024
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Sends a request and returns the status line of its answer, empty if there is none.
async fn send(address: SocketAddr, text: String) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    if stream.write_all(text.as_bytes()).await.is_err() {
        return String::new();
    }
    let mut buf = [0; 256];
    let read = timeout(2 * DEADLINE, stream.read(&mut buf)).await;
    let count = read.ok().and_then(Result::ok).unwrap_or_default();
    let text = String::from_utf8_lossy(&buf[..count]);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Returns the peak memory of a gateway, in megabytes, after many requests to an upstream whose answers begin with `head`
/// and then repeat `rest` without end.
async fn peak_memory(kind: RouteKind, head: &'static str, rest: &'static str) -> u64 {
    let rest = rest.repeat(65_536_usize.div_ceil(rest.len()));
    let upstream = ScriptedServer::start(move |req| {
        let start = head.replace("{sealed}", &sealed_headers(&req));
        let rest = rest.clone();
        async move { vec![Step::Write(start), Step::Repeat(rest)] }
    })
    .await;
    let store = ObjectStore::start(store_wire_format()).await;
    let route = ConfiguredRoute {
        name: "r".to_owned(),
        service: "web",
        kind,
        stage: None,
        max_attempts: 2,
    };
    let roles = ServiceRoles {
        batch: &[],
        engines: &[],
    };
    let mut value = config(1, &[route], roles, KEY);
    set_timeouts(&mut value, DEADLINE, Duration::from_secs(15));
    store.put(CONFIG_KIND, CONFIG_NAME, value);
    let entry = upstream_entry("web", upstream.address, "d", 1_000, false);
    store.put(UPSTREAMS_KIND, "web-0", entry);
    let gateway = Gateway::start(store.address).await;
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        let text = request_text(&CallerRequest {
            route: "r",
            id: &format!("{number:016x}"),
            key: KEY,
            deadline: DEADLINE,
            pieces: None,
            path: "x",
            shared_parts: &[],
            resumption: None,
        });
        requests.spawn(send(gateway.callers, text));
    }
    for answer in requests.join_all().await {
        assert!(answer.starts_with("HTTP/1.1 "), "no answer: {answer:?}");
    }
    assert!(!upstream.received().is_empty(), "nothing was sent to it");
    gateway.peak_memory_mb()
}

/// Guards against a process that is killed for its memory, with the requests of all callers, because one upstream sends
/// bytes without end.
#[tokio::test(flavor = "multi_thread")]
async fn answers_without_end_stay_within_the_memory_limit() {
    use RouteKind::{Idempotent, ResumableStream};
    const STREAM: &str =
        "HTTP/1.1 200 X\r\n{sealed}content-type: text/event-stream\r\nconnection: close\r\n\r\n";
    for (kind, head, rest) in [
        (Idempotent, "HTTP/1.1 200 X\r\n", "x-many: 1\r\n"),
        (Idempotent, "", "no answer "),
        (
            Idempotent,
            "HTTP/1.1 200 X\r\n{sealed}connection: close\r\n\r\n",
            "x",
        ),
        (
            Idempotent,
            "HTTP/1.1 500 X\r\n{sealed}content-length: 100000000000\r\n\r\n",
            "x",
        ),
        (
            Idempotent,
            "HTTP/1.1 200 X\r\n{sealed}content-length: 16000000\r\n\r\n",
            "x",
        ),
        (ResumableStream, STREAM, "data: no end "),
    ] {
        let peak = peak_memory(kind, head, rest).await;
        println!("{head:?}: {peak} MB");
        assert!(peak < MEMORY_MB, "{head:?}: {peak} MB of {MEMORY_MB}");
    }
}
