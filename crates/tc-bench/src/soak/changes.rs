//! Configurations in series, and requests for routes and with keys that come and go with them.

use std::{net::SocketAddr, ops::Range, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tc_platform_adapter::outside::{ConfiguredRoute, add_keys};
use tc_protocol::routing::RouteKind;
use tc_stand_ins::StoreMode;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use super::{
    ConfigurationChanges,
    callers::{Attempt, DEADLINE, KEY, KINDS, Shared, Told, call},
    drive::Soak,
    judge::Evidence,
    plan::{CALM_START, Fault, Plan, Planned},
    upstreams::WEB,
    versions::is_in_touch,
};

/// Mixed into the seed, so that adding changes leaves the other faults unchanged.
const CHANGES: u64 = 0xc4a;
const CHANGE_PAUSE_MS: Range<u64> = 150..650;
/// Time for which the store treats a group of instances badly, and the pause after it.
const STORE_FAULT_MS: Range<u64> = 500..5_000;
const STORE_PAUSE_MS: Range<u64> = 200..3_000;
/// Number of versions that have a route or key, beginning with the one that adds it.
const VERSIONS_WITH: u64 = 12;
/// Number of routes that nobody uses in each further version, and the most of them.
const UNUSED_ROUTES_PER_VERSION: u64 = 12;
const MAX_UNUSED_ROUTES: u64 = 240;
/// Time from the store's acceptance of a version until every instance applies it.
const APPLY_TIME: Duration = Duration::from_secs(2);
const PROBE_PAUSE_MS: u64 = 30;
/// Number of the most recent versions whose routes and keys are requested.
const PROBED_VERSIONS: u64 = 2 * VERSIONS_WITH;

/// Part of a version that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Needed {
    Route,
    Key,
}

/// A request that only some versions allow, and its answer.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    /// The version that added the route or the key.
    added_by: u64,
    needed: Needed,
    told: Told,
}

/// A version, and when the store accepted it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Accepted {
    pub(super) version: u64,
    pub(super) at: Instant,
}

impl Plan {
    /// Writes configurations in series, and has the store fail groups of instances; the same seed adds the same ones.
    ///
    /// Faults of the store concern some instances at a time, so that the bound holds for the others.
    pub(super) fn add_changes(&mut self) {
        self.changes = ConfigurationChanges::InSeries;
        let mut rng = SmallRng::seed_from_u64(self.seed ^ CHANGES);
        for planned in &mut self.faults {
            if let Fault::Store(mode) = planned.fault {
                planned.fault = Fault::StoreOf(rng.random_range(0..self.instances), mode);
            }
        }
        let mut at = CALM_START;
        while at < self.length {
            let lasts = Duration::ZERO;
            let fault = Fault::Config;
            self.faults.push(Planned { at, lasts, fault });
            at += Duration::from_millis(rng.random_range(CHANGE_PAUSE_MS));
        }
        let mut at = CALM_START;
        while at < self.length {
            let lasts = Duration::from_millis(rng.random_range(STORE_FAULT_MS));
            let hits_all = rng.random_range(0..3) == 0;
            let spared = rng.random_range(0..self.instances);
            let mode = if rng.random() {
                StoreMode::Silent
            } else {
                StoreMode::DeafWatches
            };
            for instance in 0..self.instances {
                let is_hit = instance != spared && rng.random();
                if hits_all || is_hit {
                    let fault = Fault::StoreOf(instance, mode);
                    self.faults.push(Planned { at, lasts, fault });
                }
            }
            at += lasts + Duration::from_millis(rng.random_range(STORE_PAUSE_MS));
        }
        self.faults.sort_by_key(|planned| planned.at);
    }
}

impl Soak {
    /// Returns the routes that a version has besides those of the callers.
    pub(super) fn added_routes(&self) -> Vec<ConfiguredRoute> {
        let plain = |name: String| ConfiguredRoute {
            name,
            service: WEB,
            kind: RouteKind::Idempotent,
            stage: None,
            max_attempts: 1,
        };
        let first = if self.has_changes {
            self.version.saturating_sub(VERSIONS_WITH - 1).max(1)
        } else {
            self.version
        };
        let mut routes: Vec<ConfiguredRoute> = (first..=self.version)
            .map(|version| plain(added_route(version)))
            .collect();
        if self.has_changes {
            let unused = (self.version * UNUSED_ROUTES_PER_VERSION).min(MAX_UNUSED_ROUTES);
            routes.extend((0..unused).map(|number| plain(format!("unused-{number}"))));
        }
        routes
    }

    /// Adds the keys of a version to its configuration.
    pub(super) fn add_version_keys(&self, value: &mut serde_json::Value) {
        if self.has_changes {
            let first = self.version.saturating_sub(VERSIONS_WITH - 1).max(1);
            let keys: Vec<String> = (first..=self.version).map(added_key).collect();
            add_keys(value, &keys);
        }
    }
}

pub(super) fn added_route(version: u64) -> String {
    format!("added-{version}")
}

fn added_key(version: u64) -> String {
    format!("key-of-version-{version}")
}

/// Sends requests for recently added and removed routes, and with such keys, to instances by chance until the end.
pub(super) async fn probe_until(
    number: u64,
    seed: u64,
    instances: Vec<SocketAddr>,
    end: Instant,
    accepted: Shared<Accepted>,
    probes: Shared<Probe>,
) {
    let mut rng = SmallRng::seed_from_u64(seed ^ CHANGES ^ number.rotate_left(32));
    let mut sending = JoinSet::new();
    let mut count = 0_u64;
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(1..PROBE_PAUSE_MS))).await;
        let Some(newest) = accepted.last().map(|accepted| accepted.version) else {
            continue;
        };
        count += 1;
        let oldest = newest.saturating_sub(PROBED_VERSIONS).max(1);
        let added_by = rng.random_range(oldest..=newest);
        let needed = if rng.random() {
            Needed::Route
        } else {
            Needed::Key
        };
        let instance = rng.random_range(0..instances.len());
        let (address, probes) = (instances[instance], probes.clone());
        // A silent instance must not hold up the requests to the others.
        sending.spawn(async move {
            let id = format!("v{added_by}-{number}-{count}");
            let (route, key) = match needed {
                Needed::Route => (added_route(added_by), KEY.to_owned()),
                Needed::Key => (KINDS[1].route.to_owned(), added_key(added_by)),
            };
            let attempt = Attempt {
                kind: KINDS[1],
                id: &id,
                key: &key,
                deadline: DEADLINE,
                resumed: None,
                culprit: None,
            };
            if let Some((told, _)) = call(&route, attempt, instance, address, None).await {
                probes.add(Probe {
                    added_by,
                    needed,
                    told,
                });
            }
        });
        while sending.try_join_next().is_some() {}
    }
    while sending.join_next().await.is_some() {}
}

/// Checks that no instance refuses for good what each version of the last two seconds allows, whatever happens to it, and
/// that none in touch serves what no such version allows.
pub(super) fn change_promises(evidence: &Evidence) -> Vec<String> {
    let probes = evidence.probes.iter();
    probes
        .filter_map(|probe| broken_promise(evidence, probe))
        .collect()
}

fn broken_promise(evidence: &Evidence, probe: &Probe) -> Option<String> {
    let told = &probe.told;
    let newest_at = |time: Instant| {
        let before = evidence.accepted.partition_point(|a| a.at <= time);
        evidence.accepted[..before].last().map(|a| a.version)
    };
    let oldest = newest_at(told.sent.checked_sub(APPLY_TIME)?)?;
    let newest = newest_at(told.ended)?;
    let allows = probe.added_by..probe.added_by + VERSIONS_WITH;
    let all_allow = allows.contains(&oldest) && allows.contains(&newest);
    let none_allows = allows.end <= oldest || newest < allows.start;
    let refusal = match probe.needed {
        Needed::Route => 404,
        Needed::Key => 401,
    };
    let is_refused = told.status == refusal && all_allow;
    let is_served = told.status == 200 && none_allows && is_in_touch(evidence, told);
    (is_refused || is_served).then(|| {
        format!(
            "config: {} ({:?} of version {}) was told {} by instance {} after versions {oldest} to {newest}",
            told.request, probe.needed, probe.added_by, told.status, told.instance
        )
    })
}

/// Describes how many requests for routes and keys that come and go were judged.
pub(super) fn probes_judged(evidence: &Evidence) -> String {
    let count = |status| {
        let told = evidence.probes.iter().map(|probe| &probe.told);
        told.filter(|told| told.status == status).count()
    };
    format!(
        "{} requests by {} versions: {} served, {} told 404, {} told 401, {} told 503",
        evidence.probes.len(),
        evidence.accepted.len(),
        count(200),
        count(404),
        count(401),
        count(503)
    )
}
