//! The gateway processes, their settings, and the record of a case.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::net::{Answer, Channel};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

/// Has the kernel kill a program that this one starts when this one ends, so that a case that is broken off leaves
/// nothing behind.
pub fn ends_with_this(command: &mut Command) -> &mut Command {
    // SAFETY: the call between fork and exec is a bare system call.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        })
    }
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// What was sent, answered and run, with the time since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
    /// The server, the request and the time of each run that a server began.
    runs: Mutex<Vec<(String, String, Instant)>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            started: Instant::now(),
            file: Mutex::new(File::create(path).expect("the record can be written")),
            runs: Mutex::default(),
        }
    }

    pub fn begin_run(&self, server: &str, request: &str) {
        let run = (server.to_owned(), request.to_owned(), Instant::now());
        self.runs.lock().unwrap().push(run);
    }

    /// How often servers began a request.
    pub fn runs(&self, request: &str) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(_, of, _)| of == request).count()
    }

    /// How many runs of requests whose ids begin so were begun since a time.
    pub fn runs_of(&self, requests: &str, since: Instant) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(_, of, begun)| of.starts_with(requests) && *begun > since).count()
    }

    /// How many runs a server began since a time.
    pub fn runs_at(&self, server: &str, since: Instant) -> usize {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(at, _, begun)| at == server && *begun > since).count()
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Ports that are free on all of these addresses, below those that the kernel gives to outgoing connections.
fn free_ports<const N: usize>(addresses: &[String]) -> [u16; N] {
    let mut next = 20_000 + (std::process::id() % 1_000) as u16 * 10;
    std::array::from_fn(|_| {
        loop {
            next += 1;
            let free = |at: &String| TcpListener::bind(format!("{at}:{next}")).is_ok();
            if addresses.iter().all(free) {
                return next;
            }
        }
    })
}

/// One instance. Dropping it kills its process.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    metrics: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Bounds and limits of a sheet, as settings.
pub const LINTAS_KL: &str = "limits.cpu_quota=0.25\nlimits.cpu_cores=1\nlimits.mem_limit_mb=260\nlimits.max_fds=4100\n\
    limits.link_mbps=1000.0\nlimits.disk_limit_mb=0\nheartbeat_ms=1200\nfault_tolerance.machines=2\n\
    fault_tolerance.zones=0\nfault_tolerance.regions=0\nrule_bounds.seed_lag_s=3\nrule_bounds.reuse_after_s=2\n\
    rule_bounds.contact_ms=3000\nrule_bounds.ack_ms=4000\nrule_bounds.catch_up_s=4\nrule_bounds.drain_ms=2000\n\
    rule_bounds.grace_s=8\nrule_bounds.loss_slack_ms=200\nrule_bounds.config_apply_ms=2000\n\
    rule_bounds.rollback_slack_ms=250\nrule_bounds.skew_max_ms=5000\nrule_bounds.revoke_strict=false\n\
    rule_bounds.revoke_ms=5000\nrule_bounds.budget_ratio=0.2\nrule_bounds.budget_window_s=10\n\
    rule_bounds.budget_extra=56\nrule_bounds.recovery_s=12\nrule_bounds.pass_ms=120\n\
    rule_bounds.reuse_window_s=7.2\nrule_bounds.ttl_max_s=5\nplatform.writes_per_s=400\n\
    platform.reads_per_s=2000\nplatform.history_s=20\n";

/// The same of another sheet.
pub const KVARNHOLM_MM_GROWN: &str = "limits.cpu_quota=0.5\nlimits.cpu_cores=1\nlimits.mem_limit_mb=512\nlimits.max_fds=8192\n\
    limits.link_mbps=200.0\nlimits.disk_limit_mb=0\nheartbeat_ms=1200\nfault_tolerance.machines=2\n\
    fault_tolerance.zones=1\nfault_tolerance.regions=0\nrule_bounds.seed_lag_s=3\nrule_bounds.reuse_after_s=2\n\
    rule_bounds.contact_ms=4000\nrule_bounds.ack_ms=6000\nrule_bounds.catch_up_s=6\nrule_bounds.drain_ms=3000\n\
    rule_bounds.grace_s=8\nrule_bounds.loss_slack_ms=200\nrule_bounds.config_apply_ms=3000\n\
    rule_bounds.rollback_slack_ms=250\nrule_bounds.skew_max_ms=6000\nrule_bounds.revoke_strict=false\n\
    rule_bounds.revoke_ms=5000\nrule_bounds.budget_ratio=0.2\nrule_bounds.budget_window_s=10\n\
    rule_bounds.budget_extra=194\nrule_bounds.cold_excess=1.5\nrule_bounds.cold_slack=5\n\
    rule_bounds.evacuate_ms=5000\nrule_bounds.recovery_s=15\nrule_bounds.pass_ms=200\n\
    rule_bounds.reuse_window_s=7.7\nrule_bounds.ttl_max_s=5\nplatform.writes_per_s=1200\n\
    platform.reads_per_s=6000\nplatform.history_s=20\n";

/// Addresses and settings of the instances of a case, with the bounds of a sheet.
pub fn instances(folder: &PathBuf, sheet: &str, store: SocketAddr, count: usize) -> Vec<Instance> {
    let ip = |n: usize| format!("127.0.0.{}", 11 + n);
    let ports = free_ports(&(0..count).map(ip).collect::<Vec<_>>());
    let [front, ready, directory, control, fleet, metrics] = ports;
    let seeds: Vec<String> = (0..count.min(3)).map(|n| format!("{}:{control}", ip(n))).collect();
    let seeds = seeds.join(",");
    (0..count)
        .map(|n| {
            let (name, ip) = (format!("front-kl-a-{}", n + 1), ip(n));
            let text = format!(
                "node_name={name}\nnode_role=gateway\nmachine_class=front\nserved_roles=front,control,directory\n\
                 bind_ip={ip}\nzone_name=kl-a\nregion_name=kl\nzones.kl-a=kl\nlisten.front={ip}:{front}\n\
                 listen.ready={ip}:{ready}\nlisten.control={ip}:{control}\nlisten.directory={ip}:{directory}\n\
                 port_range={fleet},{fleet}\nseed_nodes={seeds}\nbootstrap=true\ncounts_as_loss=false\n\
                 discovery_source=platform\nentry_kind=directory\n\
                 contract_set=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages\n\
                 {sheet}platform.address={store}\nplatform.form=objects\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n"
            );
            let settings = folder.join(format!("{name}.conf"));
            fs::write(&settings, text).expect("settings can be written");
            let at = |port| format!("{ip}:{port}").parse().expect("an address");
            Instance {
                front: at(front),
                ready: at(ready),
                directory: at(directory),
                metrics,
                settings,
                log: folder.join(format!("{name}.log")),
                name,
                child: None,
            }
        })
        .collect()
}

impl Instance {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("a log");
        let mut command = Command::new("target/release/tanagercroft");
        let child = ends_with_this(&mut command)
            .args(["gateway", "--metrics-port", &self.metrics.to_string()])
            .env_clear()
            .env("TANAGERCROFT_NODE_FILE", &self.settings)
            .env("TANAGERCROFT_FLEET_KEY", "change-me-to-a-secret-of-your-own")
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| {
            eprintln!("the gateway cannot be started: {error}");
            std::process::exit(2);
        }));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child of this one that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::open(self.ready) else {
            return false;
        };
        let _ = channel.stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = channel.send(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
        matches!(channel.answer(), Answer::Whole(answer) if answer.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all are ready, and then for longer than the `contact_ms` of every sheet.
pub fn wait_until_ready(instances: &[Instance]) -> bool {
    let end = Instant::now() + Duration::from_secs(15);
    while !instances.iter().all(Instance::is_ready) {
        if Instant::now() > end {
            return false;
        }
        sleep(Duration::from_millis(50));
    }
    sleep(Duration::from_millis(4_500));
    true
}

/// Asks the directory as a consumer does.
pub fn resolve(at: SocketAddr) -> Vec<SocketAddr> {
    let Ok(mut channel) = Channel::open(at) else {
        return Vec::new();
    };
    let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = channel
        .send(b"GET /resolve?name=h.example&region_name=kl&zone_name=kl-a HTTP/1.1\r\nHost: h\r\n\r\n");
    let Answer::Whole(answer) = channel.answer() else {
        return Vec::new();
    };
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let list = text.split('[').nth(1).and_then(|rest| rest.split(']').next());
    let list = list.unwrap_or("").split(',');
    list.filter_map(|at| at.trim_matches('"').parse().ok()).collect()
}
