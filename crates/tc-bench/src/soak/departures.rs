//! Upstreams that depart through the store alone, and the calls of any kind that reach them too late.

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    path::Path,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_platform_adapter::outside::UPSTREAMS_KIND;
use tc_stand_ins::Received;
use tokio::time::Instant;

use super::{
    drive::Soak,
    judge::{Evidence, Harmed, Left},
    plan::Departure,
    upstreams::{SoakUpstream, WEB},
};

/// Time after the store has accepted a departure from which on no call may arrive.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time after a fault of an instance during which it is not bound.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time between the announcement of an upstream that drains and its end, unless a departure says otherwise.
pub(super) const LEAVES_AFTER: Duration = Duration::from_millis(2_500);

/// A call that reached an upstream after the drain time of its departure.
#[derive(Clone, Debug)]
pub(super) struct LateCall {
    upstream: String,
    /// Path and, if it has one, identifier of the request.
    what: String,
    at: Instant,
    after: Duration,
    /// Instance that sent it; `None` if its process is gone.
    sender: Option<usize>,
}

/// Departures, and the calls that came late.
#[derive(Default)]
pub(super) struct Departures {
    departed: Mutex<HashMap<String, Instant>>,
    late: Mutex<Vec<LateCall>>,
    /// Process of each instance.
    processes: Mutex<HashMap<usize, u32>>,
}

impl Departures {
    fn record(&self, upstream: &str, at: Instant) {
        lock(&self.departed).insert(upstream.to_owned(), at);
    }

    /// Sets the process of an instance.
    pub(super) fn set_process(&self, instance: usize, process: u32) {
        lock(&self.processes).insert(instance, process);
    }

    /// Records a call if it is late.
    pub(super) fn observe(&self, upstream: &str, req: &Received) {
        let Some(departed) = lock(&self.departed).get(upstream).copied() else {
            return;
        };
        let after = req.at.duration_since(departed);
        if after <= DRAIN_TIME {
            return;
        }
        let what = format!("{} {}", req.target, req.header("request-id"));
        lock(&self.late).push(LateCall {
            upstream: upstream.to_owned(),
            what,
            at: req.at,
            after,
            sender: self.sender(req.peer),
        });
    }

    pub(super) fn late_calls(&self) -> Vec<LateCall> {
        lock(&self.late).clone()
    }

    /// Returns the instance whose process has a socket with this local address.
    fn sender(&self, address: SocketAddr) -> Option<usize> {
        let sockets = fs::read_to_string("/proc/net/tcp").ok()?;
        let port = format!(":{:04X}", address.port());
        let inode = sockets.lines().find_map(|line| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let is_local = fields.get(1)?.ends_with(&port);
            is_local.then(|| fields.get(9).map(|inode| format!("socket:[{inode}]")))?
        })?;
        let processes = lock(&self.processes).clone();
        let has_socket = |process: u32| {
            let files = fs::read_dir(format!("/proc/{process}/fd"));
            let mut files = files.into_iter().flatten().flatten();
            files.any(|file| {
                fs::read_link(file.path()).is_ok_and(|target| target == Path::new(&inode))
            })
        };
        let mut owners = processes.into_iter();
        owners.find_map(|(instance, process)| has_socket(process).then_some(instance))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Soak {
    /// Makes a plain upstream drain and starts one in its place.
    pub(super) async fn leave(&mut self, upstream: usize) {
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

    /// Makes one of the upstreams that have not left depart, and starts another of its service.
    pub(super) async fn depart(&mut self, number: usize, departure: Departure, until: Instant) {
        let is_leaving =
            |upstream: &&SoakUpstream| self.leaving.iter().any(|(_, name)| *name == upstream.name);
        let present: Vec<&SoakUpstream> =
            self.upstreams.iter().filter(|u| !is_leaving(u)).collect();
        let leaver = present[number % present.len()];
        let (name, service) = (leaver.name.clone(), leaver.service);
        match departure {
            Departure::Draining => leaver.register(&self.store, true),
            Departure::Removed => self.store.remove(UPSTREAMS_KIND, &name),
        }
        self.seen.departures.record(&name, Instant::now());
        self.note(&format!("{name} departs: {departure:?}"));
        self.leaving.push((until, name));
        self.next_upstream += 1;
        let replacement = format!("{service}-{}", self.next_upstream);
        let started = SoakUpstream::start(replacement, service, &self.seen, &self.store).await;
        self.upstreams.push(started);
    }
}

/// No call reaches a departed upstream after its drain time from an instance that no fault kept from knowing.
pub(super) fn departure_promises(evidence: &Evidence) -> Vec<String> {
    let late = evidence.late_calls.iter();
    let bound = late.filter_map(|call| Some((call, call.sender?)));
    let broken = bound.filter(|(call, sender)| !is_excused(evidence, *sender, call.at));
    broken
        .map(|(call, sender)| {
            format!(
                "departed: {} reached {} from instance {sender} {} ms after it had left",
                call.what,
                call.upstream,
                call.after.as_millis()
            )
        })
        .collect()
}

fn is_excused(evidence: &Evidence, instance: usize, at: Instant) -> bool {
    let mut harms = evidence.harms.iter();
    let is_harmed = harms.any(|harm| {
        let is_own = harm.whom == Harmed::Store || harm.whom == Harmed::Instance(instance);
        is_own && harm.from <= at && at < harm.until + CONTACT_TIME
    });
    let mut restarts = evidence.restarts.iter();
    is_harmed
        || restarts.any(|(restarted, from)| {
            *restarted == instance && *from <= at && at < *from + CONTACT_TIME
        })
}
