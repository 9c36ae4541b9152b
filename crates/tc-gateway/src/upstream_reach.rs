//! Notices when this instance reaches few upstreams of a service or none, and tells the other instances.
//!
//! Such an instance holds no role and is left out of the directory while others reach all services.
//! Requests for a service that it does not reach are served by another instance
//! ([`crate::peer_requests`]).

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use futures::future::join_all;
use rand::seq::SliceRandom;
use tc_fleet::Mesh;
use tc_policy::{Reach, Reachability};
use tc_protocol::{MonoTime, ServiceName};
use tc_upstream::UpstreamClient;
use tokio::{sync::Notify, time::sleep};

use crate::world::WorldCell;

/// Interval between rounds of probes while it is not clear whether a service is reachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between rounds while a service is unreachable.
const SLOW_PROBE_INTERVAL: Duration = Duration::from_millis(400);

type ByService = HashMap<ServiceName, Reachability>;

/// The services of which this instance reaches few upstreams or none.
pub(crate) struct UpstreamReach {
    world: Arc<WorldCell>,
    /// Services to which a connection has failed.
    by_service: Mutex<ByService>,
    unreachable: ArcSwap<BTreeSet<ServiceName>>,
    /// Notified of each failed connection.
    failures: Notify,
}

/// Upstreams to probe in one round.
#[derive(Default)]
struct Round {
    addresses: Vec<SocketAddr>,
    is_urgent: bool,
}

impl UpstreamReach {
    pub(crate) fn new(world: Arc<WorldCell>) -> Self {
        Self {
            world,
            by_service: Mutex::default(),
            unreachable: ArcSwap::default(),
            failures: Notify::new(),
        }
    }

    /// Returns true if this instance reaches few upstreams of the service or none.
    pub(crate) fn is_unreachable(&self, service: &ServiceName) -> bool {
        self.unreachable.load().contains(service)
    }

    /// Records whether a new connection to an upstream was established.
    pub(crate) fn record(&self, address: SocketAddr, is_connected: bool) {
        let now = MonoTime::now();
        let world = self.world.load();
        let services = world.upstreams.services_at(address);
        let mut by_service = self.lock();
        for service in services {
            if let Some(reachability) = by_service.get_mut(service) {
                reachability.record(now, address, is_connected);
            } else if !is_connected {
                let reachability = by_service.entry(service.clone()).or_default();
                reachability.record(now, address, false);
            }
        }
        if !is_connected {
            self.failures.notify_one();
        }
    }

    /// Publishes the state until the future is dropped. After a failed connection, probes upstreams of
    /// the service until one is reached, so that an instance without requests notices a partition and
    /// its end as well.
    pub(crate) async fn run(&self, client: UpstreamClient, mesh: Mesh) {
        loop {
            let round = self.next_round(&mesh);
            if round.addresses.is_empty() {
                self.failures.notified().await;
                continue;
            }
            join_all(round.addresses.iter().map(|address| client.probe(*address))).await;
            sleep(if round.is_urgent {
                PROBE_INTERVAL
            } else {
                SLOW_PROBE_INTERVAL
            })
            .await;
        }
    }

    /// Publishes the current state and returns the upstreams to probe next.
    fn next_round(&self, mesh: &Mesh) -> Round {
        let now = MonoTime::now();
        let world = self.world.load();
        let mut round = Round::default();
        let mut unreachable = BTreeSet::new();
        self.lock().retain(|service, reachability| {
            let upstreams = world.upstreams.of_service(service.as_str());
            if upstreams.is_empty() {
                return false;
            }
            let mut registered: Vec<SocketAddr> = upstreams
                .iter()
                .filter(|upstream| upstream.takes_work())
                .map(|upstream| upstream.address)
                .collect();
            // Otherwise all instances would probe the same upstreams first.
            registered.shuffle(&mut rand::rng());
            let reach = reachability.reach(now, &registered);
            match reach {
                Reach::Reachable => return true,
                Reach::Doubtful => round.is_urgent = true,
                Reach::Unreachable => {
                    unreachable.insert(service.clone());
                }
            }
            let probes = reachability.to_probe(now, &registered);
            round.addresses.extend(probes);
            true
        });
        self.publish(unreachable, mesh);
        round
    }

    fn publish(&self, unreachable: BTreeSet<ServiceName>, mesh: &Mesh) {
        if **self.unreachable.load() == unreachable {
            return;
        }
        let names: Vec<&str> = unreachable.iter().map(ServiceName::as_str).collect();
        log::warn!(services = names.join(",").as_str(); "services without a reachable upstream changed");
        metrics::gauge!("tc_unreachable_services").set(unreachable.len() as f64);
        mesh.set_isolated(!unreachable.is_empty());
        self.unreachable.store(Arc::new(unreachable));
    }

    fn lock(&self) -> MutexGuard<'_, ByService> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
