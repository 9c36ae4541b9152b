//! Plays a plan: faults at their times, callers beside them, the judgement at the end.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use nix::sys::signal::Signal;
use tc_platform_adapter::outside::store_wire_format;
use tc_stand_ins::{ObjectStore, StoreEndpoint, StoreMode};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

use super::{
    ConfigurationChanges, CrashingRequests, OfferedLoad, SoakShape,
    callers::{Calling, KEY, Shared, Tellings, call_until, is_served},
    changes::{Accepted, Probe, probe_until, probes_judged},
    crashes::crash_until,
    faults::End,
    hard_load::BURST_FACTOR,
    judge::{CleanStop, Evacuated, Evidence, Harm, Left, judge},
    limits::Limited,
    notices::AnnouncedLeaving,
    plan::{CALM_END, Plan, UpstreamMode},
    process::{GRACE, SoakInstance, UpstreamPace},
    shares::{Burst, requests_in_bursts},
    silences::{Continuity, requests_in_silence},
    upstreams::{ENGINES, STAGE, Seen, SoakUpstream, WEB},
    versions::{EngineLife, Impaired},
};
use crate::{error::BenchError, world::SystemBinary};

/// Longest wait for the processes at the start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Tasks that request what comes and goes with configurations in series.
const PROBERS: u64 = 2;
/// Interval at which the run is checked.
const STEP: Duration = Duration::from_millis(10);

/// Outcome of a seed.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The plan, in words.
    pub plan: String,
    /// Requests that callers sent, without those of bursts.
    pub requests: usize,
    /// Those that were served whole.
    pub served: usize,
    /// Broken promises, in words.
    pub broken: Vec<String>,
    /// Timeline of the run, to investigate a failure.
    pub timeline: Vec<String>,
    /// Logs of the processes.
    pub folder: PathBuf,
}

pub(super) struct Soak {
    pub(super) started: Instant,
    pub(super) store: ObjectStore,
    /// Address of the store for each instance.
    pub(super) endpoints: Vec<StoreEndpoint>,
    pub(super) seen: Arc<Seen>,
    pub(super) instances: Vec<SoakInstance>,
    pub(super) upstreams: Vec<SoakUpstream>,
    pub(super) tellings: Tellings,
    /// What callers of requests that crash upstreams were told.
    culprit_tellings: Tellings,
    /// Upstreams that crashed, with their services and when their successors start.
    pub(super) crashed: Vec<(Instant, &'static str, String)>,
    pub(super) version: u64,
    pub(super) next_upstream: usize,
    pub(super) store_fault_until: Instant,
    /// End of the time in which something other than a planned stop impairs an instance.
    pub(super) harmed_until: Vec<Instant>,
    /// Instances whose processes were told to stop and have not been started again.
    pub(super) stopping: Vec<bool>,
    /// Instances whose processes are to be started once they have ended.
    pub(super) to_start: Vec<bool>,
    pub(super) stops: Vec<CleanStop>,
    /// Whether engines of several versions serve.
    pub(super) has_versions: bool,
    pub(super) has_silences: bool,
    /// Whether configurations come in series.
    pub(super) has_changes: bool,
    pub(super) load: OfferedLoad,
    pub(super) seed: u64,
    /// Callers of a burst.
    pub(super) burst_callers: usize,
    pub(super) bursting: JoinSet<()>,
    pub(super) bursts: Vec<Burst>,
    pub(super) accepted: Shared<Accepted>,
    probes: Shared<Probe>,
    pub(super) continuity: Continuity,
    pub(super) engine_lives: Vec<EngineLife>,
    pub(super) impaired: Vec<Impaired>,
    pub(super) left: Vec<Left>,
    pub(super) evacuated: Vec<Evacuated>,
    pub(super) harms: Vec<Harm>,
    /// Instances whose processes were started again, and when.
    pub(super) restarts: Vec<(usize, Instant)>,
    pub(super) limited: Vec<Limited>,
    pub(super) announced_leaving: Vec<AnnouncedLeaving>,
    pub(super) leaving: Vec<(Instant, String)>,
    pub(super) config_due: Option<(Instant, u64)>,
    pub(super) timeline: Vec<String>,
    pub(super) broken: Vec<String>,
}

/// Plays a plan on fresh processes.
pub(super) async fn play(
    binary: &SystemBinary,
    folder: &Path,
    plan: Plan,
    shape: SoakShape,
) -> Result<Outcome, BenchError> {
    let mut soak = Soak::start(binary, folder, &plan, shape.callers).await?;
    let end = soak.started + plan.length;
    let addresses: Vec<_> = soak.instances.iter().map(|i| i.callers).collect();
    let mut calling = JoinSet::new();
    if shape.crashing == CrashingRequests::Sent {
        let (addresses, tellings) = (addresses.clone(), soak.culprit_tellings.clone());
        calling.spawn(crash_until(plan.seed, addresses, end, tellings));
    }
    let usual = Calling {
        seed: plan.seed,
        key: KEY,
        pause_after_refusal: Duration::ZERO,
        instances: addresses,
        kinds: soak.kinds(),
        deadline: soak.deadline(),
        end: end + CALM_END,
        tellings: soak.tellings.clone(),
    };
    if soak.has_changes {
        for number in 0..PROBERS {
            let (addresses, accepted) = (usual.instances.clone(), soak.accepted.clone());
            let probes = soak.probes.clone();
            calling.spawn(probe_until(
                number, plan.seed, addresses, usual.end, accepted, probes,
            ));
        }
    }
    for number in 0..shape.callers as u64 {
        calling.spawn(call_until(number, usual.clone()));
    }
    soak.faults(&plan, end).await?;
    soak.heal().await?;
    soak.begin_last_burst().await;
    while calling.join_next().await.is_some() {}
    while soak.bursting.join_next().await.is_some() {}
    soak.last_requests().await;
    Ok(soak.outcome(&plan, folder))
}

impl Soak {
    async fn start(
        binary: &SystemBinary,
        folder: &Path,
        plan: &Plan,
        callers: usize,
    ) -> Result<Self, BenchError> {
        let store = ObjectStore::start(store_wire_format()).await;
        let seen = Arc::new(Seen::new(plan));
        let mut endpoints = Vec::new();
        for _ in 0..plan.instances {
            endpoints.push(store.open_endpoint().await);
        }
        let mut upstreams = Vec::new();
        let counts = [plan.upstreams, plan.engines(), plan.upstreams];
        for (service, count) in [WEB, ENGINES, STAGE].into_iter().zip(counts) {
            for number in 0..count {
                let name = format!("{service}-{number}");
                upstreams.push(SoakUpstream::start(name, service, &seen, &store).await);
            }
        }
        let pace = match plan.load {
            OfferedLoad::Steady => UpstreamPace::Off,
            OfferedLoad::Hard => UpstreamPace::On,
        };
        let addresses = endpoints.iter().map(|endpoint| endpoint.address);
        let instances: Result<Vec<_>, _> = addresses
            .enumerate()
            .map(|(number, store)| SoakInstance::start(binary, folder, number, store, pace))
            .collect();
        let now = Instant::now();
        let mut soak = Self {
            started: now,
            store,
            endpoints,
            seen,
            next_upstream: plan.engines(),
            has_versions: plan.versions,
            has_silences: plan.silences,
            has_changes: plan.changes == ConfigurationChanges::InSeries,
            load: plan.load,
            seed: plan.seed,
            burst_callers: BURST_FACTOR * callers,
            bursting: JoinSet::new(),
            bursts: Vec::new(),
            accepted: Shared::default(),
            probes: Shared::default(),
            continuity: Continuity::default(),
            engine_lives: EngineLife::all(&upstreams),
            impaired: Vec::new(),
            harmed_until: vec![now; plan.instances],
            stopping: vec![false; plan.instances],
            to_start: vec![false; plan.instances],
            instances: instances?,
            upstreams,
            tellings: Tellings::default(),
            culprit_tellings: Tellings::default(),
            crashed: Vec::new(),
            version: 0,
            store_fault_until: now,
            stops: Vec::new(),
            left: Vec::new(),
            evacuated: Vec::new(),
            harms: Vec::new(),
            restarts: Vec::new(),
            limited: Vec::new(),
            announced_leaving: Vec::new(),
            leaving: Vec::new(),
            config_due: None,
            timeline: Vec::new(),
            broken: Vec::new(),
        };
        soak.write_config();
        soak.record_processes();
        soak.until_ready().await?;
        soak.started = Instant::now();
        Ok(soak)
    }

    async fn until_ready(&mut self) -> Result<(), BenchError> {
        let limit = Instant::now() + START_LIMIT;
        for instance in &mut self.instances {
            while !instance.is_ready().await {
                instance.run_again_if_address_was_in_use()?;
                if Instant::now() > limit {
                    let problem = format!("see {}", instance.log.display());
                    return Err(BenchError::world("an instance is not ready", problem));
                }
                sleep(STEP).await;
            }
        }
        Ok(())
    }

    fn record_processes(&self) {
        for (number, instance) in self.instances.iter().enumerate() {
            if let Some(process) = instance.process() {
                self.seen.departures.set_process(number, process);
            }
        }
    }

    /// Changes how the store treats all instances.
    pub(super) fn set_store_mode(&self, mode: StoreMode) {
        for endpoint in &self.endpoints {
            endpoint.set_mode(mode);
        }
    }

    pub(super) fn note(&mut self, what: &str) {
        let at = self.started.elapsed().as_secs_f64();
        self.timeline.push(format!("{at:7.3} s  {what}"));
    }

    async fn faults(&mut self, plan: &Plan, end: Instant) -> Result<(), BenchError> {
        let mut begins = plan.faults.iter().peekable();
        let mut ends: Vec<(Instant, End)> = Vec::new();
        while Instant::now() < end {
            let now = Instant::now();
            while let Some(next) = begins.next_if(|next| self.started + next.at <= now) {
                self.note(&format!(
                    "{:?} for {} ms",
                    next.fault,
                    next.lasts.as_millis()
                ));
                if let Some(end) = self.begin(next.fault, now + next.lasts).await {
                    ends.push((now + next.lasts, end));
                }
            }
            let (due, later) = ends.into_iter().partition(|(at, _)| *at <= now);
            ends = later;
            let due: Vec<(Instant, End)> = due;
            for (_, over) in due {
                self.end(over);
            }
            self.start_ended()?;
            self.let_go(now);
            self.replace_crashed(now).await;
            self.check_config(now).await;
            sleep_until(now + STEP).await;
        }
        for (_, over) in ends {
            self.end(over);
        }
        Ok(())
    }

    /// All is well from now on.
    async fn heal(&mut self) -> Result<(), BenchError> {
        self.note("all is well from here on");
        self.set_store_mode(StoreMode::Well);
        for upstream in &self.upstreams {
            self.seen.set_mode(&upstream.name, UpstreamMode::Well);
        }
        self.announce_impossible_everywhere();
        let limit = Instant::now() + GRACE + STEP;
        for number in 0..self.instances.len() {
            self.instances[number].signal(Signal::SIGCONT);
            // One that is stopping ends first.
            while self.instances[number].is_running() && !self.instances[number].is_ready().await {
                if Instant::now() > limit {
                    break;
                }
                sleep(STEP).await;
            }
            self.restart(number)?;
        }
        // The successors of upstreams that crashed last.
        while !self.crashed.is_empty() {
            self.replace_crashed(Instant::now()).await;
            sleep(STEP).await;
        }
        self.until_ready().await
    }

    /// Starts and records a new process of an instance unless one runs.
    pub(super) fn restart(&mut self, number: usize) -> Result<(), BenchError> {
        if !self.instances[number].is_running() {
            self.instances[number].run()?;
            self.stopping[number] = false;
            self.restarts.push((number, Instant::now()));
            self.record_processes();
        }
        Ok(())
    }

    fn outcome(mut self, plan: &Plan, folder: &Path) -> Outcome {
        let told = self.tellings.all();
        let usual: Vec<_> = told.iter().filter(|told| told.key == KEY).collect();
        let (requests, served) = (usual.len(), usual.iter().filter(|t| is_served(t)).count());
        let mut wrong = self.seen.shelf.wrong();
        let late_calls = self.seen.departures.late_calls();
        self.note(&format!("{} calls came late", late_calls.len()));
        let misdirected = self.seen.misdirected();
        wrong.extend(
            misdirected
                .into_iter()
                .map(|what| format!("misdirected: {what}")),
        );
        let told_culprits = self.culprit_tellings.all();
        if !told_culprits.is_empty() {
            let refused = told_culprits
                .iter()
                .filter(|told| told.status == 503)
                .count();
            let (sent, runs) = (told_culprits.len(), self.seen.runs());
            let runs = runs.iter().filter(|run| run.culprit.is_some()).count();
            self.note(&format!(
                "{sent} requests that crash upstreams: {runs} runs, {refused} refused"
            ));
        }
        let evidence = Evidence {
            told,
            told_culprits,
            instances: plan.instances,
            runs: self.seen.runs(),
            left: std::mem::take(&mut self.left),
            evacuated: std::mem::take(&mut self.evacuated),
            harms: std::mem::take(&mut self.harms),
            restarts: std::mem::take(&mut self.restarts),
            limited: std::mem::take(&mut self.limited),
            announced_leaving: std::mem::take(&mut self.announced_leaving),
            refusals: self.seen.refusals(),
            arrivals: self.seen.arrivals(),
            stops: std::mem::take(&mut self.stops),
            engine_lives: std::mem::take(&mut self.engine_lives),
            impaired: std::mem::take(&mut self.impaired),
            continuity: std::mem::take(&mut self.continuity),
            has_silences: self.has_silences,
            accepted: self.accepted.all(),
            probes: self.probes.all(),
            bursts: std::mem::take(&mut self.bursts),
            late_calls,
            wrong,
        };
        let mut broken = judge(&evidence);
        broken.append(&mut self.broken);
        if self.has_changes {
            self.note(&probes_judged(&evidence));
        }
        if self.has_silences {
            self.note(&requests_in_silence(&evidence));
        }
        if self.load == OfferedLoad::Hard {
            self.note(&requests_in_bursts(&evidence));
        }
        Outcome {
            plan: plan.to_string(),
            requests,
            served,
            broken,
            timeline: self.timeline,
            folder: folder.to_owned(),
        }
    }
}
