//! Plays a plan: faults at their times, callers beside them, the judgement at the end.

use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use nix::sys::signal::Signal;
use tc_platform_adapter::outside::{
    CONFIG_KIND, CONFIG_NAME, OutsideRoute, UPSTREAMS_KIND, config, object_spelling, ready_text,
};
use tc_protocol::routing::RepeatRule;
use tc_stand_ins::{ObjectStore, StoreMode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

use super::{
    callers::{KEY, KINDS, Tellings, Told, call, call_until},
    judge::{CleanStop, Evidence, Left, judge},
    plan::{CALM_END, Fault, Plan, UpstreamMode},
    process::{GRACE, SoakInstance},
    upstreams::{ENGINES, STAGE, Seen, SoakUpstream, WEB},
};
use crate::{error::BenchError, world::SystemBinary};

/// Longest wait for the processes at the start.
const START_LIMIT: Duration = Duration::from_secs(20);
/// A configuration is in force this long after the store took it, if the store is well.
const IN_FORCE_AFTER: Duration = Duration::from_secs(3);
/// Time between an upstream's word that it leaves and its end.
const LEAVES_AFTER: Duration = Duration::from_millis(2_500);
/// How often the play is looked at.
const STEP: Duration = Duration::from_millis(10);
/// Requests of each kind that every instance must serve at the end.
const LAST_REQUESTS: usize = 3;

/// What a seed brought.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The plan, in words.
    pub plan: String,
    /// Requests that callers sent.
    pub requests: usize,
    /// Those that were served whole.
    pub served: usize,
    /// Broken promises, in words.
    pub broken: Vec<String>,
    /// What happened, for whoever looks into a failure.
    pub timeline: Vec<String>,
    /// Logs of the processes.
    pub folder: PathBuf,
}

struct Soak {
    started: Instant,
    store: ObjectStore,
    seen: Arc<Seen>,
    instances: Vec<SoakInstance>,
    upstreams: Vec<SoakUpstream>,
    tellings: Tellings,
    version: u64,
    next_upstream: usize,
    store_fault_until: Instant,
    /// Until when something other than a planned stop harms an instance.
    harmed_until: Vec<Instant>,
    stops: Vec<CleanStop>,
    left: Vec<Left>,
    leaving: Vec<(Instant, String)>,
    config_due: Option<(Instant, u64)>,
    timeline: Vec<String>,
    broken: Vec<String>,
}

/// An end of a fault.
#[derive(Clone, Copy, Debug)]
enum End {
    Restart(usize),
    Continue(usize),
    StoreWell,
    UpstreamWell(usize),
}

/// Plays a plan on fresh processes.
pub(super) async fn play(
    binary: &SystemBinary,
    folder: &Path,
    plan: Plan,
    callers: usize,
) -> Result<Outcome, BenchError> {
    let mut soak = Soak::start(binary, folder, &plan).await?;
    let end = soak.started + plan.length;
    let addresses: Vec<_> = soak.instances.iter().map(|i| i.callers).collect();
    let mut calling = JoinSet::new();
    for number in 0..callers as u64 {
        let (addresses, tellings) = (addresses.clone(), soak.tellings.clone());
        calling.spawn(call_until(
            number,
            plan.seed,
            addresses,
            end + CALM_END,
            tellings,
        ));
    }
    soak.faults(&plan, end).await?;
    soak.heal().await?;
    while calling.join_next().await.is_some() {}
    soak.last_requests().await;
    Ok(soak.outcome(&plan, folder))
}

impl Soak {
    async fn start(binary: &SystemBinary, folder: &Path, plan: &Plan) -> Result<Self, BenchError> {
        let store = ObjectStore::start(object_spelling()).await;
        let seen = Arc::new(Seen::default());
        let mut upstreams = Vec::new();
        for service in [WEB, ENGINES, STAGE] {
            for number in 0..plan.upstreams {
                let name = format!("{service}-{number}");
                upstreams.push(SoakUpstream::start(name, service, &seen, &store).await);
            }
        }
        let instances: Result<Vec<_>, _> = (0..plan.instances)
            .map(|number| SoakInstance::start(binary, folder, number, store.address))
            .collect();
        let now = Instant::now();
        let mut soak = Self {
            started: now,
            store,
            seen,
            next_upstream: plan.upstreams,
            harmed_until: vec![now; plan.instances],
            instances: instances?,
            upstreams,
            tellings: Tellings::default(),
            version: 0,
            store_fault_until: now,
            stops: Vec::new(),
            left: Vec::new(),
            leaving: Vec::new(),
            config_due: None,
            timeline: Vec::new(),
            broken: Vec::new(),
        };
        soak.write_config();
        soak.until_ready().await?;
        soak.started = Instant::now();
        Ok(soak)
    }

    async fn until_ready(&self) -> Result<(), BenchError> {
        let limit = Instant::now() + START_LIMIT;
        for instance in &self.instances {
            while !is_ready(instance).await {
                if Instant::now() > limit {
                    let problem = format!("see {}", instance.log.display());
                    return Err(BenchError::world("an instance is not ready", problem));
                }
                sleep(STEP).await;
            }
        }
        Ok(())
    }

    fn note(&mut self, what: &str) {
        let at = self.started.elapsed().as_secs_f64();
        self.timeline.push(format!("{at:7.3} s  {what}"));
    }

    /// A new version keeps all routes of the callers and replaces the one that was added before.
    fn write_config(&mut self) {
        self.version += 1;
        let mut routes: Vec<OutsideRoute> = KINDS
            .iter()
            .map(|kind| OutsideRoute {
                name: kind.route.to_owned(),
                service: if kind.repeat.is_stream() {
                    ENGINES
                } else {
                    WEB
                },
                repeat: kind.repeat,
                stage: kind.staged.then_some(STAGE),
            })
            .collect();
        routes.push(OutsideRoute {
            name: added_route(self.version),
            service: WEB,
            repeat: RepeatRule::Idempotent,
            stage: None,
        });
        let value = config(self.version, &routes, &[STAGE], KEY);
        self.store.put(CONFIG_KIND, CONFIG_NAME, value);
        self.config_due = Some((Instant::now() + IN_FORCE_AFTER, self.version));
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
                self.end(over)?;
            }
            self.let_go(now);
            self.check_config(now).await;
            sleep_until(now + STEP).await;
        }
        for (_, over) in ends {
            self.end(over)?;
        }
        Ok(())
    }

    async fn begin(&mut self, fault: Fault, until: Instant) -> Option<End> {
        let now = Instant::now();
        match fault {
            Fault::Kill(instance) => {
                self.harm(instance, until);
                self.instances[instance].signal(Signal::SIGKILL);
                Some(End::Restart(instance))
            }
            Fault::Stop(instance) => {
                let is_calm =
                    self.harmed_until[instance] < now && self.instances[instance].is_running();
                if is_calm {
                    self.stops.push(CleanStop {
                        instance,
                        from: now,
                        until: now + GRACE,
                    });
                }
                self.instances[instance].signal(Signal::SIGTERM);
                Some(End::Restart(instance))
            }
            Fault::Pause(instance) => {
                self.harm(instance, until);
                self.instances[instance].signal(Signal::SIGSTOP);
                Some(End::Continue(instance))
            }
            Fault::Reload(instance) => {
                self.instances[instance].signal(Signal::SIGHUP);
                None
            }
            Fault::Store(mode) => {
                self.store_fault_until = self.store_fault_until.max(until);
                self.left
                    .retain(|left| now.duration_since(left.at) > LEAVES_AFTER);
                self.config_due = None;
                self.store.set_mode(mode);
                Some(End::StoreWell)
            }
            Fault::Upstream(upstream, mode) => {
                for service in [WEB, ENGINES] {
                    self.seen.set_mode(&format!("{service}-{upstream}"), mode);
                }
                Some(End::UpstreamWell(upstream))
            }
            Fault::Leave(upstream) => {
                self.leave(upstream).await;
                None
            }
            Fault::Config => {
                self.write_config();
                if now < self.store_fault_until {
                    self.config_due = None;
                }
                None
            }
        }
    }

    /// Something other than a planned stop happens to an instance: what it does then proves nothing of its stops.
    fn harm(&mut self, instance: usize, until: Instant) {
        let now = Instant::now();
        self.harmed_until[instance] = self.harmed_until[instance].max(until + GRACE);
        self.stops
            .retain(|stop| stop.instance != instance || stop.until < now);
        // An instance that is away learns of leaving upstreams and configurations when it is back.
        self.left
            .retain(|left| now.duration_since(left.at) > LEAVES_AFTER);
        self.config_due = None;
    }

    fn end(&mut self, end: End) -> Result<(), BenchError> {
        match end {
            End::Restart(instance) => {
                // A process in its grace ends by itself first.
                self.instances[instance].run()?;
            }
            End::Continue(instance) => self.instances[instance].signal(Signal::SIGCONT),
            End::StoreWell => self.store.set_mode(StoreMode::Well),
            End::UpstreamWell(upstream) => {
                for service in [WEB, ENGINES] {
                    let name = format!("{service}-{upstream}");
                    self.seen.set_mode(&name, UpstreamMode::Well);
                }
            }
        }
        Ok(())
    }

    async fn leave(&mut self, upstream: usize) {
        let now = Instant::now();
        let of_web = self.upstreams.iter().filter(|u| u.service == WEB);
        let Some(leaving) = of_web.into_iter().nth(upstream) else {
            return;
        };
        let name = leaving.name.clone();
        if self.leaving.iter().any(|(_, other)| *other == name) {
            return;
        }
        leaving.register(&self.store, true);
        if now >= self.store_fault_until && self.harmed_until.iter().all(|until| *until < now) {
            self.left.push(Left {
                upstream: name.clone(),
                at: now,
            });
        }
        self.leaving.push((now + LEAVES_AFTER, name));
        self.next_upstream += 1;
        let fresh = format!("{WEB}-{}", self.next_upstream);
        let started = SoakUpstream::start(fresh, WEB, &self.seen, &self.store).await;
        self.upstreams.push(started);
    }

    /// Upstreams whose time is over end.
    fn let_go(&mut self, now: Instant) {
        let over: Vec<String> = self
            .leaving
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, name)| name.clone())
            .collect();
        for name in over {
            self.store.remove(UPSTREAMS_KIND, &name);
            self.upstreams.retain(|upstream| upstream.name != name);
            self.leaving.retain(|(_, leaving)| *leaving != name);
        }
    }

    /// A configuration that was due with nothing in its way is in force on every instance that serves.
    async fn check_config(&mut self, now: Instant) {
        let Some((_, version)) = self.config_due.filter(|(due, _)| *due <= now) else {
            return;
        };
        self.config_due = None;
        let kind = KINDS[1];
        for number in 0..self.instances.len() {
            let address = self.instances[number].callers;
            let route = added_route(version);
            let id = format!("c{version}-{number}");
            let asked = call(&route, kind, &id, number, address, None).await;
            if let Some((told, _)) = asked
                && told.status == 404
            {
                let what =
                    format!("config: version {version} is not in force on instance {number}");
                self.broken.push(what);
            }
        }
    }

    /// All is well from now on.
    async fn heal(&mut self) -> Result<(), BenchError> {
        self.note("all is well from here on");
        self.store.set_mode(StoreMode::Well);
        for upstream in &self.upstreams {
            self.seen.set_mode(&upstream.name, UpstreamMode::Well);
        }
        let limit = Instant::now() + GRACE + STEP;
        for number in 0..self.instances.len() {
            self.instances[number].signal(Signal::SIGCONT);
            // One that is stopping ends first.
            while self.instances[number].is_running() && !is_ready(&self.instances[number]).await {
                if Instant::now() > limit {
                    break;
                }
                sleep(STEP).await;
            }
            self.instances[number].run()?;
        }
        self.until_ready().await
    }

    /// Every instance serves every kind of request once all has been well for a while.
    async fn last_requests(&mut self) {
        for number in 0..self.instances.len() {
            let address = self.instances[number].callers;
            for kind in KINDS {
                let mut last = None;
                for attempt in 0..LAST_REQUESTS {
                    let id = format!("last-{number}-{}-{attempt}", kind.route);
                    last = call(kind.route, kind, &id, number, address, None).await;
                    if last.as_ref().is_some_and(|(told, _)| is_served(told)) {
                        break;
                    }
                }
                if !last.as_ref().is_some_and(|(told, _)| is_served(told)) {
                    let told = last.map(|(told, _)| told.status);
                    let route = kind.route;
                    self.broken.push(format!(
                        "recovery: instance {number} does not serve {route}: {told:?}"
                    ));
                }
            }
        }
    }

    fn outcome(self, plan: &Plan, folder: &Path) -> Outcome {
        let told = self.tellings.all();
        let (requests, served) = (told.len(), told.iter().filter(|t| is_served(t)).count());
        let mut wrong = self.seen.shelf.wrong();
        let misdirected = self.seen.misdirected();
        wrong.extend(
            misdirected
                .into_iter()
                .map(|what| format!("misdirected: {what}")),
        );
        let mut broken = judge(&Evidence {
            told,
            runs: self.seen.runs(),
            left: self.left,
            stops: self.stops,
            wrong,
        });
        broken.extend(self.broken);
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

fn added_route(version: u64) -> String {
    format!("added-{version}")
}

fn is_served(told: &Told) -> bool {
    told.status == 200 && told.whole
}

async fn is_ready(instance: &SoakInstance) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(instance.ready).await.ok()?;
        stream.write_all(ready_text().as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.ok()?;
        answer.starts_with(b"HTTP/1.1 200").then_some(())
    };
    matches!(
        timeout(Duration::from_millis(300), asked).await,
        Ok(Some(()))
    )
}
