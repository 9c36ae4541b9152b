//! The faults of a soak: how each begins and ends, and what it excuses.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::json;
use tc_platform_adapter::outside::{
    CONFIG_KIND, CONFIG_NAME, ConfiguredRoute, EVACUATIONS_KIND, ServiceRoles, UPSTREAMS_KIND,
    config, set_timeouts,
};
use tc_protocol::routing::RouteKind;
use tc_stand_ins::StoreMode;
use tokio::{task::JoinSet, time::Instant};

use super::{
    callers::{Attempt, DEADLINE, KEY, KINDS, call},
    changes::{Accepted, added_route},
    departures::LEAVES_AFTER,
    drive::Soak,
    judge::{CleanStop, Evacuated, Harm, Harmed},
    plan::{Fault, UpstreamMode},
    process::GRACE,
    silences::TIMEOUTS,
    upstreams::{ENGINES, STAGE, WEB, domain},
    versions::Impaired,
};
use crate::error::BenchError;

/// A configuration is in force this long after the store took it, if the store is well.
const IN_FORCE_AFTER: Duration = Duration::from_secs(3);
/// Time for an answer that shows a configuration while upstreams may be silent, which give none.
const CHECK_TIME_IN_SILENCE: Duration = Duration::from_millis(500);
/// Part of the answer of an instance that does not know whether it has the newest configuration.
const UNCONFIRMED: &str = "the store may have a newer configuration";
/// Upstreams that one request may be sent to, unless callers are to resume its stream.
const MAX_ATTEMPTS: u32 = 3;

/// An end of a fault.
#[derive(Clone, Copy, Debug)]
pub(super) enum End {
    Restart(usize),
    Continue(usize),
    StoreWell,
    StoreWellOf(usize),
    UpstreamWell(usize),
    TakeBack(usize),
    LiftLimit(usize),
    LiftBackoff(usize),
    EngineWell(usize),
}

impl Soak {
    /// A new version keeps all routes of the callers and replaces the one that was added before.
    pub(super) fn write_config(&mut self) {
        self.version += 1;
        let kinds = self.kinds().iter();
        let mut routes: Vec<ConfiguredRoute> = kinds
            .map(|kind| ConfiguredRoute {
                name: kind.route.to_owned(),
                service: if kind.repeat.is_stream() {
                    ENGINES
                } else {
                    WEB
                },
                kind: kind.repeat,
                stage: kind.staged.then_some(STAGE),
                max_attempts: self.max_attempts(kind.repeat),
            })
            .collect();
        routes.extend(self.added_routes());
        let services = ServiceRoles {
            batch: &[STAGE],
            engines: &[ENGINES],
        };
        let mut value = config(self.version, &routes, services, KEY);
        if self.has_silences {
            let number = self.version % TIMEOUTS.len() as u64;
            let (of_routes, idle) = TIMEOUTS[number as usize];
            set_timeouts(&mut value, of_routes, idle);
        }
        self.add_version_keys(&mut value);
        self.add_ranks(&mut value);
        self.store.put(CONFIG_KIND, CONFIG_NAME, value);
        self.accepted.add(Accepted {
            version: self.version,
            at: Instant::now(),
        });
        self.config_due = Some((Instant::now() + IN_FORCE_AFTER, self.version));
    }

    /// Versions of the configuration in turn leave it to callers and to instances to resume streams, if engines of several
    /// versions serve.
    fn max_attempts(&self, repeat: RouteKind) -> u32 {
        let by_callers = self.has_versions && self.version % 2 == 1;
        if by_callers && repeat == RouteKind::ResumableStream {
            1
        } else {
            MAX_ATTEMPTS
        }
    }

    pub(super) async fn begin(&mut self, fault: Fault, until: Instant) -> Option<End> {
        let now = Instant::now();
        if let Some(whom) = harmed(fault) {
            let (from, until) = (now, until);
            self.harms.push(Harm { whom, from, until });
        }
        self.record_absence(fault, now, until);
        match fault {
            Fault::Kill(instance) => {
                self.harm(instance, until);
                self.instances[instance].signal(Signal::SIGKILL);
                Some(End::Restart(instance))
            }
            Fault::Stop(instance) => {
                self.record_stop(instance, now);
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
                self.set_store_mode(mode);
                Some(End::StoreWell)
            }
            Fault::StoreOf(instance, mode) => {
                self.harm(instance, until);
                self.endpoints[instance].set_mode(mode);
                Some(End::StoreWellOf(instance))
            }
            Fault::Depart(number, departure) => {
                self.depart(number, departure, until).await;
                None
            }
            Fault::Upstream(upstream, mode) => {
                self.impair(upstream, mode, now, until);
                Some(End::UpstreamWell(upstream))
            }
            Fault::Leave(upstream) => {
                self.leave(upstream).await;
                None
            }
            Fault::ReplaceEngine(engine) => {
                self.replace_engine(engine).await;
                None
            }
            Fault::BreakEngine(engine) => {
                let name = format!("{ENGINES}-{engine}");
                self.seen.set_mode(&name, UpstreamMode::Breaks);
                Some(End::EngineWell(engine))
            }
            Fault::Silence(service, silenced) => {
                self.silence(service, silenced, until);
                None
            }
            Fault::Burst
            | Fault::RestartUpstream(_)
            | Fault::SlowDown(..)
            | Fault::AnnounceImpossible(..) => {
                self.begin_hard_load(fault, until);
                None
            }
            Fault::Evacuate(number) => {
                self.evacuate(number, now);
                Some(End::TakeBack(number))
            }
            Fault::Limit(upstream, tenths) => {
                self.limit(upstream, f64::from(tenths) / 10.0);
                Some(End::LiftLimit(upstream))
            }
            Fault::AnnounceLeaving(upstream) => {
                self.announce_leaving(upstream, until).await;
                None
            }
            Fault::Backoff(upstream) => {
                self.set_backoff(upstream, true);
                Some(End::LiftBackoff(upstream))
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

    /// Changes how an upstream of each service treats requests.
    fn impair(&mut self, upstream: usize, mode: UpstreamMode, from: Instant, until: Instant) {
        for service in [WEB, ENGINES] {
            self.seen.set_mode(&format!("{service}-{upstream}"), mode);
        }
        self.impaired.push(Impaired {
            upstream: format!("{ENGINES}-{upstream}"),
            from,
            until,
        });
    }

    /// Records a planned stop of an instance that nothing else happened to. The grace counts from the first signal.
    fn record_stop(&mut self, instance: usize, now: Instant) {
        let is_first = !std::mem::replace(&mut self.stopping[instance], true);
        let is_calm = self.harmed_until[instance] < now;
        if is_first && is_calm && self.instances[instance].is_running() {
            self.stops.push(CleanStop {
                instance,
                from: now,
                until: now + GRACE,
            });
        }
    }

    /// Something other than a planned stop happens to an instance: what it does then proves nothing of its stops.
    fn harm(&mut self, instance: usize, until: Instant) {
        let now = Instant::now();
        self.harmed_until[instance] = self.harmed_until[instance].max(until + GRACE);
        self.stops
            .retain(|stop| stop.instance != instance || stop.until < now);
        // An instance that is away learns of leaving upstreams when it is back.
        self.left
            .retain(|left| now.duration_since(left.at) > LEAVES_AFTER);
    }

    fn evacuate(&mut self, number: usize, now: Instant) {
        let domain = domain(number);
        self.store.put(EVACUATIONS_KIND, &domain, json!({}));
        self.evacuated.push(Evacuated {
            domain,
            from: now,
            until: None,
        });
    }

    pub(super) fn end(&mut self, end: End) {
        match end {
            End::Restart(instance) => self.to_start[instance] = true,
            End::Continue(instance) => self.instances[instance].signal(Signal::SIGCONT),
            End::TakeBack(number) => {
                let domain = domain(number);
                let now = Instant::now();
                let back = self.evacuated.iter_mut().filter(|e| e.domain == domain);
                for evacuated in back {
                    evacuated.until.get_or_insert(now);
                }
                self.store.remove(EVACUATIONS_KIND, &domain);
            }
            End::EngineWell(engine) => {
                let name = format!("{ENGINES}-{engine}");
                self.seen.set_mode(&name, UpstreamMode::Well);
            }
            End::LiftLimit(upstream) => self.lift_limit(upstream),
            End::LiftBackoff(upstream) => self.set_backoff(upstream, false),
            End::StoreWell => self.set_store_mode(StoreMode::Well),
            End::StoreWellOf(instance) => self.endpoints[instance].set_mode(StoreMode::Well),
            End::UpstreamWell(upstream) => {
                for service in [WEB, ENGINES] {
                    let name = format!("{service}-{upstream}");
                    self.seen.set_mode(&name, UpstreamMode::Well);
                }
            }
        }
    }

    /// Starts processes whose time away is over; one in its grace ends by itself first.
    pub(super) fn start_ended(&mut self) -> Result<(), BenchError> {
        for number in 0..self.instances.len() {
            if self.to_start[number] && !self.instances[number].is_running() {
                self.to_start[number] = false;
                self.restart(number)?;
            }
        }
        Ok(())
    }

    /// Upstreams whose time is over end.
    pub(super) fn let_go(&mut self, now: Instant) {
        let over: Vec<String> = self
            .leaving
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, name)| name.clone())
            .collect();
        for name in over {
            self.record_end(&name, now);
            self.store.remove(UPSTREAMS_KIND, &name);
            let ended = self
                .upstreams
                .extract_if(.., |upstream| upstream.name == name);
            ended.for_each(|upstream| upstream.lose_results(&self.seen));
            self.leaving.retain(|(_, leaving)| *leaving != name);
        }
    }

    /// A configuration that the store gave out all the while is in force on every instance that nothing was in the way of.
    pub(super) async fn check_config(&mut self, now: Instant) {
        let Some((due, version)) = self.config_due.filter(|(due, _)| *due <= now) else {
            return;
        };
        self.config_due = None;
        let written = due - IN_FORCE_AFTER;
        let calm = |number: &usize| self.harmed_until[*number] < written;
        let calm: Vec<usize> = (0..self.instances.len()).filter(calm).collect();
        self.expect_config(version, &calm).await;
    }

    /// The last configuration is in force on every instance.
    pub(super) async fn expect_last_config(&mut self) {
        let all: Vec<usize> = (0..self.instances.len()).collect();
        self.expect_config(self.version, &all).await;
    }

    async fn expect_config(&mut self, version: u64, on: &[usize]) {
        let deadline = if self.has_silences {
            CHECK_TIME_IN_SILENCE
        } else {
            DEADLINE
        };
        let mut asking = JoinSet::new();
        for &number in on {
            let address = self.instances[number].callers;
            asking.spawn(async move {
                let route = added_route(version);
                let id = format!("c{version}-{number}");
                let attempt = Attempt {
                    kind: KINDS[1],
                    id: &id,
                    key: KEY,
                    deadline,
                    resumed: None,
                    culprit: None,
                };
                let asked = call(&route, attempt, number, address, None).await;
                let is_missing = asked
                    .is_some_and(|(told, _)| told.status == 404 || told.body.contains(UNCONFIRMED));
                is_missing.then(|| {
                    format!("config: version {version} is not in force on instance {number}")
                })
            });
        }
        self.broken
            .extend(asking.join_all().await.into_iter().flatten());
    }
}

/// Process that is down during a fault and returns with less state.
fn harmed(fault: Fault) -> Option<Harmed> {
    match fault {
        Fault::Kill(instance)
        | Fault::Stop(instance)
        | Fault::Pause(instance)
        | Fault::StoreOf(instance, _) => Some(Harmed::Instance(instance)),
        Fault::Store(_) => Some(Harmed::Store),
        Fault::Reload(_)
        | Fault::Upstream(..)
        | Fault::Leave(_)
        | Fault::ReplaceEngine(_)
        | Fault::BreakEngine(_)
        | Fault::Depart(..)
        | Fault::Silence(..)
        | Fault::Burst
        | Fault::RestartUpstream(_)
        | Fault::SlowDown(..)
        | Fault::AnnounceImpossible(..)
        | Fault::Config
        | Fault::Evacuate(_)
        | Fault::Limit(..)
        | Fault::AnnounceLeaving(_)
        | Fault::Backoff(_) => None,
    }
}
