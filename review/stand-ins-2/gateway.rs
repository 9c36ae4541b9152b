//! Processes of the system, started as the deploy file says, on loopback addresses of their own.

use std::{
    fs::{self, File},
    io::Read,
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{guard, http};

/// Processes that run, so that the watchdog can end them.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Limits and bounds that a case sets for its machines.
#[derive(Clone, Debug)]
pub struct Plan {
    /// First three numbers of the machines' addresses.
    pub net: String,
    pub machines: usize,
    pub grace_s: u32,
    pub memory_mb: u32,
}

/// Ports, the same on all machines.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    directory: u16,
    inner: u16,
}

/// A network of 256 loopback addresses that hardly anything else uses.
pub fn loopback_net() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 64 + id % 128, id / 128 % 256)
}

fn free_port(ips: &[String], taken: &mut Vec<u16>) -> u16 {
    loop {
        let first = TcpListener::bind((ips[0].as_str(), 0)).expect("a free port");
        let port = first.local_addr().expect("an address").port();
        let others = ips[1..]
            .iter()
            .map(|ip| TcpListener::bind((ip.as_str(), port)));
        let others: Vec<_> = others.collect();
        if port > 1_024 && !taken.contains(&port) && others.iter().all(Result::is_ok) {
            taken.push(port);
            return port;
        }
    }
}

/// Returns ports that are free on all machines of a plan.
pub fn ports(plan: &Plan) -> Ports {
    let ips: Vec<String> = (0..plan.machines).map(|n| machine_ip(plan, n)).collect();
    let mut taken = Vec::new();
    let mut port = || free_port(&ips, &mut taken);
    Ports {
        front: port(),
        ready: port(),
        control: port(),
        directory: port(),
        inner: port(),
    }
}

fn machine_ip(plan: &Plan, number: usize) -> String {
    format!("{}.{}", plan.net, 11 + number)
}

/// A machine of the system. Dropping it kills its process.
pub struct Machine {
    pub name: String,
    ip: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Writes the settings of a machine; the process is started by [`Machine::start`].
    pub fn new(
        plan: &Plan,
        ports: Ports,
        number: usize,
        store: SocketAddr,
        folder: &Path,
        binary: &Path,
    ) -> Self {
        let ip = machine_ip(plan, number);
        let name = format!("front-{}", number + 1);
        let zone = ["z-a", "z-b"][number % 2];
        let Ports {
            front,
            ready,
            control,
            directory,
            inner,
        } = ports;
        let seeds: Vec<String> = (0..plan.machines.min(3))
            .map(|n| format!("{}:{control}", machine_ip(plan, n)))
            .collect();
        let seeds = seeds.join(",");
        let (grace_s, memory_mb) = (plan.grace_s, plan.memory_mb);
        let inner_last = inner;
        let text = format!(
            "node_name={name}\nnode_role=gateway\nmachine_class=front\nserved_roles=front,control,directory\nbind_ip={ip}\n\
             zone_name={zone}\nregion_name=r\nzones.z-a=r\nzones.z-b=r\nlisten.front={ip}:{front}\nlisten.ready={ip}:{ready}\n\
             listen.control={ip}:{control}\nlisten.directory={ip}:{directory}\nport_range={inner},{inner_last}\n\
             seed_nodes={seeds}\nbootstrap=true\ncounts_as_loss=false\nlimits.cpu_quota=0.25\nlimits.cpu_cores=1\n\
             limits.mem_limit_mb={memory_mb}\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_limit_mb=0\n\
             discovery_source=platform\nentry_kind=directory\nheartbeat_ms=1200\n\
             contract_set=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=0\nfault_tolerance.regions=0\nrule_bounds.seed_lag_s=3\n\
             rule_bounds.reuse_after_s=2\nrule_bounds.contact_ms=3000\nrule_bounds.ack_ms=4000\nrule_bounds.catch_up_s=4\n\
             rule_bounds.drain_ms=2000\nrule_bounds.grace_s={grace_s}\nrule_bounds.loss_slack_ms=200\n\
             rule_bounds.config_apply_ms=2000\nrule_bounds.rollback_slack_ms=250\nrule_bounds.skew_max_ms=5000\n\
             rule_bounds.revoke_strict=false\nrule_bounds.revoke_ms=5000\nrule_bounds.budget_ratio=0.2\n\
             rule_bounds.budget_window_s=10\nrule_bounds.budget_extra=56\nrule_bounds.recovery_s=12\nrule_bounds.pass_ms=120\n\
             rule_bounds.reuse_window_s=7.2\nrule_bounds.ttl_max_s=5\nplatform.address={store}\nplatform.form=objects\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\n\
             platform.ttl_min_ms=1000\n"
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the settings are written");
        Self {
            log: folder.join(format!("{name}.log")),
            name,
            ip,
            ports,
            settings,
            binary: binary.to_owned(),
            child: None,
        }
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{}", self.ip, self.ports.front)
            .parse()
            .expect("an address")
    }

    /// Starts the process with the command and the variables of `deploy/system.toml`.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log");
        let errors = log.try_clone().expect("the same log");
        let child = Command::new(&self.binary)
            .args(["gateway", "--metrics-port", "9464"])
            .env(
                "TANAGERCROFT_FLEET_KEY",
                "change-me-to-a-secret-of-your-own",
            )
            .env("TANAGERCROFT_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the process starts");
        note(child.id());
        self.child = Some(child);
    }

    pub fn is_ready(&self) -> bool {
        let address = format!("{}:{}", self.ip, self.ports.ready)
            .parse()
            .expect("an address");
        let text = b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        http::send(address, text, Duration::from_secs(1)).status == 200
    }

    /// Waits until the machine is ready; false if it is not in time.
    pub fn wait_until_ready(&mut self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if self.has_ended() {
                return false;
            }
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

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

    /// Sends a signal to the machine's own process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([&format!("-{name}"), &child.id().to_string()])
                .status();
        }
    }

    /// Returns the process's memory in use, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS:"))
            .unwrap_or_default();
        line.split_whitespace()
            .nth(1)
            .and_then(|kb| kb.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut log = String::new();
        if let Ok(mut file) = File::open(&self.log) {
            let _ = file.read_to_string(&mut log);
        }
        log.lines()
            .filter(|line| line.contains(text))
            .map(str::to_owned)
            .collect()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            forget(child.id());
        }
    }
}

/// Adds a process to those that may run.
pub fn note(id: u32) {
    RUNNING.lock().unwrap().push(id);
    guard::tell(&format!("+{id}"));
}

/// Takes a process that has ended and was waited for from those that may run. Its number may be given to another one.
pub fn forget(id: u32) {
    RUNNING.lock().unwrap().retain(|known| *known != id);
    guard::tell(&format!("-{id}"));
}

/// Kills every process that was started here and was not waited for.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
        guard::tell(&format!("-{id}"));
    }
}
