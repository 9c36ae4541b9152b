//! Stand-in for a plain engine in a process of its own: `cases engine ADDRESS INSTANCE WORK_MS LOG`.

use std::{
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    gateway::{forget, note},
    http::{listen, with_length},
};

const SLOTS: usize = 6;
/// Requests that wait for a slot at most.
const QUEUE: usize = 24;
/// A request with this text in its target crashes the engine that runs it.
pub const DEADLY: &str = "deadly";

/// Returns the Unix time in milliseconds, which all processes of a case share.
pub fn now_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis()
}

/// Serves until the process is killed.
pub fn serve(arguments: &[String]) -> ! {
    let [address, instance, work_ms, log] = arguments else {
        std::process::exit(2);
    };
    let (instance, work_ms) = (instance.clone(), work_ms.parse().unwrap_or(60));
    let log = Arc::new(Mutex::new(
        File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log"),
    ));
    let listener = TcpListener::bind(address).expect("the engine listens");
    let (inside, running) = (AtomicUsize::new(0), AtomicUsize::new(0));
    listen(listener, move |request, reader| {
        let id = request.header("request-id").to_owned();
        let head = format!("Request-Id: {id}\r\nInstance-Id: {instance}\r\n");
        if request.path() == "/health" {
            return reader
                .stream
                .write_all(&with_length("200 OK", &head, b""))
                .is_ok();
        }
        if request.header("expect-instance") != instance {
            let answer = with_length(
                "421 Misdirected Request",
                &format!("{head}Not-Run: 1\r\n"),
                b"",
            );
            return reader.stream.write_all(&answer).is_ok();
        }
        let others = inside.fetch_add(1, Ordering::SeqCst);
        if others >= SLOTS + QUEUE {
            inside.fetch_sub(1, Ordering::SeqCst);
            let load = format!("{head}Not-Run: 1\r\nInstance-Load: {SLOTS},{QUEUE},{SLOTS}\r\n");
            return reader
                .stream
                .write_all(&with_length("503 Service Unavailable", &load, b""))
                .is_ok();
        }
        while running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            running.fetch_sub(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(2));
        }
        let _ = writeln!(
            log.lock().unwrap(),
            "{instance} ran {id} at {} ms: {} {}",
            now_ms(),
            request.method,
            request.target
        );
        thread::sleep(Duration::from_millis(work_ms));
        if request.target.contains(DEADLY) {
            let _ = writeln!(
                log.lock().unwrap(),
                "{instance} crashed {id} at {} ms",
                now_ms()
            );
            std::process::exit(1);
        }
        running.fetch_sub(1, Ordering::SeqCst);
        let left = inside.fetch_sub(1, Ordering::SeqCst) - 1;
        let load = format!("{},{},{SLOTS}", left.min(SLOTS), left.saturating_sub(SLOTS));
        let head = format!("{head}Server-Seal: seal-{instance}-{id}\r\nInstance-Load: {load}\r\n");
        let body = format!("answer to {id}: {}", "x".repeat(780));
        reader
            .stream
            .write_all(&with_length("200 OK", &head, body.as_bytes()))
            .is_ok()
    });
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

/// An engine's process. Dropping it kills the process.
pub struct Engine {
    pub address: SocketAddr,
    pub instance: String,
    child: Option<Child>,
}

impl Engine {
    /// Starts a process at an address; port 0 takes a free one.
    pub fn start(address: &str, instance: &str, work_ms: u32, log: &Path) -> Self {
        let address: SocketAddr = address.parse().expect("an address");
        let address = match address.port() {
            0 => TcpListener::bind(address)
                .and_then(|l| l.local_addr())
                .expect("a free port"),
            _ => address,
        };
        let program: PathBuf = std::env::current_exe().expect("this program");
        let child = Command::new(program)
            .args([
                "engine",
                &address.to_string(),
                instance,
                &work_ms.to_string(),
            ])
            .arg(log)
            .stdin(Stdio::null())
            .spawn()
            .expect("the engine starts");
        note(child.id());
        Self {
            address,
            instance: instance.to_owned(),
            child: Some(child),
        }
    }

    /// Returns true if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else {
            return true;
        };
        if matches!(child.try_wait(), Ok(None)) {
            return false;
        }
        forget(child.id());
        self.child = None;
        true
    }

    /// Kills the process without waiting for its end.
    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
    }

    /// Kills the process and waits for its end, as a crash does.
    pub fn crash(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crash();
    }
}
