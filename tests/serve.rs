//! Starts the `tanagercroft` binary with common configuration mistakes. The log must name the mistake and must not
//! contain secrets.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

const FLEET_KEY: &str = "the-key-of-this-fleet";
const OTHER_FLEET_KEY: &str = "the-key-of-another-one";
const OPERATOR_TOKEN: &str = "the-operators-token";
/// Longest gap between two log lines while waiting for a particular one.
const LOG_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// A running instance, killed on drop.
struct Instance {
    process: Child,
    log_lines: Receiver<String>,
    log: String,
}

impl Instance {
    fn start(id: &str, key: &str, addresses: &[SocketAddr; 3], extra_args: &[&str]) -> Self {
        let [listen, fleet, admin] = addresses.map(|address| address.to_string());
        let mut process = Command::new(env!("CARGO_BIN_EXE_tanagercroft"))
            .args(["serve", "--instance-id", id, "--failure-domain", "kl-a"])
            .args(["--listen", &listen, "--fleet-listen", &fleet])
            .args(["--admin-listen", &admin])
            .args(extra_args)
            .env("TANAGERCROFT_FLEET_KEY", key)
            .env("TANAGERCROFT_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let (tx, log_lines) = channel();
        let lines = BufReader::new(process.stderr.take().expect("stderr is piped")).lines();
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| tx.send(line))
        });
        Self {
            process,
            log_lines,
            log: String::new(),
        }
    }

    /// Waits for a log line that contains `text`.
    fn wait_for_log(&mut self, text: &str) {
        while let Ok(line) = self.log_lines.recv_timeout(LOG_IDLE_TIMEOUT) {
            self.log += &line;
            if line.contains(text) {
                return;
            }
        }
        panic!("the log does not contain {text:?}: {}", self.log);
    }

    /// Sends SIGTERM for a planned stop and returns the exit code and the whole log.
    fn stop(mut self) -> (Option<i32>, String) {
        let pid = self.process.id().to_string();
        let kill = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(kill.expect("`kill` runs").success());
        let status = self.process.wait().expect("the process exits");
        let rest: String = self.log_lines.iter().collect();
        (status.code(), self.log.clone() + &rest)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // Fails if the process has already exited, as it has after `stop`.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns three loopback addresses on which nothing listens.
fn free_addresses() -> [SocketAddr; 3] {
    let ip = std::net::Ipv4Addr::LOCALHOST.into();
    [(); 3].map(|()| tc_stand_ins::free_address(ip).expect("a free port"))
}

// Guards against an instance that refuses callers as not ready without telling the operator why. It starts with an
// unreachable platform and no seeds, which is allowed because the platform may come back.
#[test]
fn a_start_without_a_platform_logs_what_is_missing_and_stops_cleanly() {
    let unreachable = free_addresses()[0].to_string();
    let addresses = free_addresses();
    let mut instance = Instance::start(
        "kl-a-1",
        FLEET_KEY,
        &addresses,
        &["--platform", &unreachable],
    );
    instance.wait_for_log("no configuration yet: the platform cannot be reached");
    let (code, log) = instance.stop();
    assert_eq!(code, Some(0), "{log}");
    assert!(log.contains("nothing was cut off"), "{log}");
    assert!(
        !log.contains(FLEET_KEY) && !log.contains(OPERATOR_TOKEN),
        "{log}"
    );
}

// Guards against a silent split of the fleet, in which upstreams get more calls than they have capacity for and the callers
// of one instance see only that instance. An instance with a different fleet key and a live seed is refused by the others
// and serves as a fleet of its own.
#[test]
fn an_instance_with_another_fleet_key_logs_that_it_is_alone() {
    let unreachable = free_addresses()[0].to_string();
    let first_addresses = free_addresses();
    let mut first = Instance::start(
        "kl-a-1",
        FLEET_KEY,
        &first_addresses,
        &["--platform", &unreachable],
    );
    first.wait_for_log("serving callers on");
    let seed = first_addresses[1].to_string();
    let join_args = ["--platform", &unreachable, "--seeds", &seed];
    let mut alone = Instance::start("kl-a-2", OTHER_FLEET_KEY, &free_addresses(), &join_args);
    alone.wait_for_log("no other instance is known");
    // With the correct key, the same arguments join the first instance.
    let mut joined = Instance::start("kl-a-3", FLEET_KEY, &free_addresses(), &join_args);
    joined.wait_for_log("instance is Alive");
    let (code, log) = alone.stop();
    assert_eq!(code, Some(0), "{log}");
    assert!(
        !log.contains(OTHER_FLEET_KEY) && !log.contains("instance is Alive"),
        "{log}"
    );
}

// Guards against a drain that leaves callers without any instance and stops the fleet. A drained instance is not announced
// to callers even when it is the only one, so draining the last instance must be refused.
#[test]
fn the_last_live_instance_cannot_be_drained() {
    let unreachable = free_addresses()[0].to_string();
    let addresses = free_addresses();
    let mut instance = Instance::start(
        "kl-a-1",
        FLEET_KEY,
        &addresses,
        &["--platform", &unreachable],
    );
    instance.wait_for_log("serving callers on");
    let drain = Command::new(env!("CARGO_BIN_EXE_tanagercroft"))
        .args(["drain", "instance", "kl-a-1"])
        .args(["--admin", &addresses[2].to_string()])
        .env("TANAGERCROFT_OPERATOR_TOKEN", OPERATOR_TOKEN)
        .output()
        .expect("the binary starts");
    let stderr = String::from_utf8_lossy(&drain.stderr).into_owned();
    assert!(!drain.status.success(), "{stderr}");
    assert!(stderr.contains("last live instance"), "{stderr}");
}
