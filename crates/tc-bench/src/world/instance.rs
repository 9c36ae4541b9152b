//! One instance of the system: a process that this tool started and ends.

use std::{
    fs::File,
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tc_protocol::{
    InstanceId,
    wire::{ListedInstance, ListedState},
};

use super::{
    FLEET_KEY, OPERATOR_TOKEN,
    binary::SystemBinary,
    ports::free_address,
    relay::{DomainCuts, Relay, domain_ip},
    spec::{Place, PolicyChoice},
};
use crate::error::BenchError;

/// Threads that carry traffic in one instance.
const TRAFFIC_THREADS: &str = "2";
/// Interval at which an ending process is checked.
const EXIT_CHECK: Duration = Duration::from_millis(20);
/// Lines of a process's log shown when it does not come up.
const LOG_LINES: usize = 8;

/// An instance; dropping it kills its process.
pub(crate) struct Instance {
    /// Its identifier.
    pub(crate) id: InstanceId,
    /// Where it runs.
    pub(crate) place: Place,
    /// Where callers connect.
    pub(crate) caller: SocketAddr,
    /// Where instances are told to connect.
    pub(crate) fleet: SocketAddr,
    fleet_listen: SocketAddr,
    /// Stands at `fleet` before this instance, where domains may be cut from each other.
    _relay: Option<Relay>,
    /// Where operators connect.
    pub(crate) admin: SocketAddr,
    child: Option<Child>,
    log: PathBuf,
}

impl Instance {
    /// An instance that has its addresses but no process yet.
    ///
    /// With `cuts` it gets a relay, and listens for other instances at its failure domain's IP number.
    pub(super) fn new(
        id: &str,
        place: Place,
        logs: &std::path::Path,
        cuts: Option<&DomainCuts>,
    ) -> Result<Self, BenchError> {
        let fleet_ip = cuts.map_or(Ipv4Addr::LOCALHOST, |_| domain_ip(&place.failure_domain));
        let fleet_listen = free_address(fleet_ip)?;
        let relay = cuts
            .map(|cuts| Relay::start(fleet_listen, cuts))
            .transpose()?;
        Ok(Self {
            id: id.into(),
            place,
            caller: free_address(Ipv4Addr::LOCALHOST)?,
            fleet: relay.as_ref().map_or(fleet_listen, |r| r.address),
            fleet_listen,
            _relay: relay,
            admin: free_address(Ipv4Addr::LOCALHOST)?,
            child: None,
            log: logs.join(format!("{id}.log")),
        })
    }

    /// Starts its process.
    pub(super) fn spawn(
        &mut self,
        binary: &SystemBinary,
        platform: SocketAddr,
        seeds: &[SocketAddr],
        policy: PolicyChoice,
    ) -> Result<(), BenchError> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .map_err(|e| BenchError::file(&self.log, &e))?;
        let mut command = binary.command();
        command.arg("serve").args(self.flags(platform, seeds));
        command
            .env("TANAGERCROFT_FLEET_KEY", FLEET_KEY)
            .env("TANAGERCROFT_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        if policy == PolicyChoice::Baseline {
            command.env("TANAGERCROFT_POLICY", PolicyChoice::Baseline.as_str());
        }
        let child = command
            .spawn()
            .map_err(|e| BenchError::world("an instance cannot be started", e))?;
        self.child = Some(child);
        Ok(())
    }

    fn flags(&self, platform: SocketAddr, seeds: &[SocketAddr]) -> Vec<String> {
        let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
        let mut flags = Vec::new();
        for (flag, value) in [
            ("--instance-id", self.id.to_string()),
            ("--listen", self.caller.to_string()),
            ("--fleet-listen", self.fleet_listen.to_string()),
            ("--fleet-advertise", self.fleet.to_string()),
            ("--admin-listen", self.admin.to_string()),
            ("--failure-domain", self.place.failure_domain.to_string()),
            ("--region", self.place.region.to_string()),
            ("--platform", platform.to_string()),
            ("--traffic-threads", TRAFFIC_THREADS.to_owned()),
            ("--log", "warn".to_owned()),
            ("--seeds", seeds.join(",")),
        ] {
            if !value.is_empty() {
                flags.extend([flag.to_owned(), value]);
            }
        }
        flags
    }

    /// Its entry in the platform's instance list.
    pub(super) fn listed(&self, state: ListedState) -> ListedInstance {
        ListedInstance {
            id: self.id.clone(),
            service: None,
            address: self.fleet,
            failure_domain: self.place.failure_domain.clone(),
            region: self.place.region.clone(),
            state,
        }
    }

    /// Process identifier while it runs.
    pub(crate) fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills it at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only when the process has ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops its process without ending it.
    pub(crate) fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a paused process go on.
    pub(crate) fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop as planned.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    fn signal(&self, signal: Signal) {
        let Some(pid) = self.pid() else { return };
        if let Err(e) = kill(Pid::from_raw(pid.cast_signed()), signal) {
            log::warn!("{signal} to {}: {e}", self.id);
        }
    }

    /// Waits for its process to end; `None` when it has not by `limit`.
    pub(crate) async fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.exited() {
                return Some(status);
            }
            tokio::time::sleep(EXIT_CHECK).await;
        }
        None
    }

    /// Returns the exit status of its process, if it has ended.
    pub(crate) fn exited(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// The last lines of its log.
    pub(crate) fn last_log(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_LINES)..].join("\n")
    }
}

impl Drop for Instance {
    // Without it a failed or interrupted run would leave processes behind that hold their ports and load the machine.
    fn drop(&mut self) {
        self.kill();
    }
}
