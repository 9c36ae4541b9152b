//! The shipped binary started as a new user might start it wrongly: it says what is missing, and never a secret.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::mpsc::{Receiver, channel},
    thread,
    time::Duration,
};

const KEY: &str = "the-key-of-this-fleet";
const OTHER_KEY: &str = "the-key-of-another-one";
const TOKEN: &str = "the-operators-token";
/// Longest silence of a log in which a line is awaited.
const LONGEST_SILENCE: Duration = Duration::from_mins(1);

/// A process that is ended with the test.
struct Instance {
    process: Child,
    log: Receiver<String>,
    said: String,
}

impl Instance {
    fn start(id: &str, key: &str, ports: &[SocketAddr; 3], more: &[&str]) -> Self {
        let [listen, fleet, admin] = ports.map(|address| address.to_string());
        let mut process = Command::new(env!("CARGO_BIN_EXE_tanagercroft"))
            .args(["serve", "--instance-id", id, "--failure-domain", "kl-a"])
            .args(["--listen", &listen, "--fleet-listen", &fleet])
            .args(["--admin-listen", &admin])
            .args(more)
            .env("TANAGERCROFT_FLEET_KEY", key)
            .env("TANAGERCROFT_OPERATOR_TOKEN", TOKEN)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let (tx, log) = channel();
        let lines = BufReader::new(process.stderr.take().expect("its log")).lines();
        thread::spawn(move || {
            lines
                .map_while(Result::ok)
                .try_for_each(|line| tx.send(line))
        });
        Self {
            process,
            log,
            said: String::new(),
        }
    }

    /// Waits until its log says `text`.
    fn says(&mut self, text: &str) {
        while let Ok(line) = self.log.recv_timeout(LONGEST_SILENCE) {
            self.said += &line;
            if line.contains(text) {
                return;
            }
        }
        panic!("it does not say {text:?}: {}", self.said);
    }

    /// Stops it as planned; returns its exit code and all that it said.
    fn stop(mut self) -> (Option<i32>, String) {
        let pid = self.process.id().to_string();
        let told = Command::new("kill").args(["-TERM", &pid]).status();
        assert!(told.expect("kill").success());
        let status = self.process.wait().expect("it ends");
        let rest: String = self.log.iter().collect();
        (status.code(), self.said.clone() + &rest)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It has ended already when it was stopped.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Three addresses that nothing listens on.
fn free_addresses() -> [SocketAddr; 3] {
    let ip = std::net::Ipv4Addr::LOCALHOST.into();
    [(); 3].map(|()| tc_stand_ins::free_address(ip).expect("a free port"))
}

// Symptom: callers are refused as not ready, and nothing tells the operator why.
// Sequence: an instance starts with a platform that cannot be reached and without seeds.
// Cause: a start without a configuration is allowed, since the platform may come back.
#[test]
fn a_start_without_a_platform_says_what_is_missing_and_stops_as_planned() {
    let nowhere = free_addresses()[0].to_string();
    let ports = free_addresses();
    let mut instance = Instance::start("kl-a-1", KEY, &ports, &["--platform", &nowhere]);
    instance.says("no configuration yet: the platform cannot be reached");
    let (code, said) = instance.stop();
    assert_eq!(code, Some(0), "{said}");
    assert!(said.contains("nothing was cut off"), "{said}");
    assert!(!said.contains(KEY) && !said.contains(TOKEN), "{said}");
}

// Symptom: upstreams get more calls than they have places, and one instance's callers see only that instance.
// Sequence: an instance starts with another fleet key and a live seed.
// Cause: the others refuse it, so that it serves as a fleet of its own.
#[test]
fn an_instance_with_another_fleet_key_says_that_it_is_alone() {
    let nowhere = free_addresses()[0].to_string();
    let of_first = free_addresses();
    let mut first = Instance::start("kl-a-1", KEY, &of_first, &["--platform", &nowhere]);
    first.says("serving callers on");
    let seed = of_first[1].to_string();
    let seeded = ["--platform", &nowhere, "--seeds", &seed];
    let mut alone = Instance::start("kl-a-2", OTHER_KEY, &free_addresses(), &seeded);
    alone.says("no other instance is known");
    // With the right key the same start finds the first one.
    let mut joined = Instance::start("kl-a-3", KEY, &free_addresses(), &seeded);
    joined.says("instance is Alive");
    let (code, said) = alone.stop();
    assert_eq!(code, Some(0), "{said}");
    assert!(
        !said.contains(OTHER_KEY) && !said.contains("instance is Alive"),
        "{said}"
    );
}

// Symptom: after a drain no caller finds an instance, and the fleet stands still.
// Sequence: an operator drains the only instance there is.
// Cause: a drained instance is told to no caller, also when there is no other.
#[test]
fn the_last_live_instance_cannot_be_drained() {
    let nowhere = free_addresses()[0].to_string();
    let ports = free_addresses();
    let mut instance = Instance::start("kl-a-1", KEY, &ports, &["--platform", &nowhere]);
    instance.says("serving callers on");
    let drained = Command::new(env!("CARGO_BIN_EXE_tanagercroft"))
        .args(["drain", "instance", "kl-a-1"])
        .args(["--admin", &ports[2].to_string()])
        .env("TANAGERCROFT_OPERATOR_TOKEN", TOKEN)
        .output()
        .expect("the binary starts");
    let said = String::from_utf8_lossy(&drained.stderr).into_owned();
    assert!(!drained.status.success(), "{said}");
    assert!(said.contains("last live instance"), "{said}");
}
