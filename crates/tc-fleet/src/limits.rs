//! Workspace limits: the buckets that admit requests at this instance, and the limit homes that divide limits into
//! shares.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use tc_membership::{home_of, shuffle_shard};
use tc_policy::{Demand, LimitHome, Share, ShareBucket};
use tc_protocol::{
    FleetView, InstanceId, Limits, Member, MonoTime, WorkspaceLimitGuard, WorkspaceName,
};

use crate::{
    convert,
    generated::{ShareDemand, ShareGrant, ShareGrants, ShareReport},
    peers::{PeerPool, timed},
    settings::SHARE_INTERVAL,
};

/// Number of entries assumed at an entry outside the workspace's shard, which leaves it practically no equal share.
const OUTSIDE_SHARD: usize = 1_000_000;

type Bucket = Arc<Mutex<ShareBucket>>;

struct LimitedWorkspace {
    limits: Limits,
    live_entries: usize,
    bucket: Bucket,
}

/// The buckets of this instance and the limit homes assigned to it.
#[derive(Default)]
pub(crate) struct WorkspaceLimiter {
    buckets: ArcSwap<HashMap<WorkspaceName, Arc<LimitedWorkspace>>>,
    homes: Mutex<HashMap<WorkspaceName, LimitHome>>,
}

impl WorkspaceLimiter {
    /// Applies the limits of the configuration and the shards of the workspaces.
    pub(crate) fn update(&self, view: &FleetView) {
        let old = self.buckets.load_full();
        let buckets: HashMap<_, _> = view
            .config
            .workspaces
            .iter()
            .filter(|(_, workspace)| workspace.limits != Limits::default())
            .map(|(name, workspace)| {
                let previous = old.get(name);
                let entries = live_entries(view, name);
                (
                    name.clone(),
                    update_limited(previous, workspace.limits, entries),
                )
            })
            .collect();
        self.lock_homes()
            .retain(|name, home| match buckets.get(name) {
                Some(limited) => {
                    home.set_limits(limited.limits);
                    true
                }
                None => false,
            });
        self.buckets.store(Arc::new(buckets));
    }

    /// Counts one request against its workspace's limits, or returns when to try again.
    pub(crate) fn try_start(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<WorkspaceLimitGuard, Duration> {
        let Some(limited) = self.buckets.load().get(workspace).map(Arc::clone) else {
            return Ok(WorkspaceLimitGuard::new(|_| ()));
        };
        lock(&limited.bucket).try_start(MonoTime::now())?;
        let bucket = Arc::clone(&limited.bucket);
        Ok(WorkspaceLimitGuard::new(move |cost_units| {
            lock(&bucket).end(MonoTime::now(), cost_units);
        }))
    }

    /// Processes an entry's demands as the limit home and returns its shares.
    pub(crate) fn handle_report(
        &self,
        now: MonoTime,
        view: &FleetView,
        report: &ShareReport,
    ) -> ShareGrants {
        let entry = InstanceId::from(report.from.as_str());
        let mut homes = self.lock_homes();
        let grants = report
            .demands
            .iter()
            .filter_map(|demand| {
                let name = WorkspaceName::from(demand.workspace.as_str());
                let limits = view.config.workspaces.get(&name)?.limits;
                let home = homes.entry(name).or_insert_with(|| LimitHome::new(limits));
                let entries = shard(view, &demand.workspace.as_str().into()).len();
                let share = home.report(now, &entry, demand_from_wire(&limits, demand), entries);
                Some(share_to_wire(&demand.workspace, &share))
            })
            .collect();
        ShareGrants { grants }
    }

    /// Reports demands to the limit homes and applies the shares at regular intervals. Never returns.
    pub(crate) async fn run_reports(
        self: Arc<Self>,
        view: Arc<ArcSwap<FleetView>>,
        peers: Arc<PeerPool>,
    ) {
        let mut interval = tokio::time::interval(SHARE_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let view = view.load_full();
            let reports = self.reports(&view);
            let calls = reports.into_iter().map(|(home, report)| {
                let limiter = Arc::clone(&self);
                let view = Arc::clone(&view);
                let peers = Arc::clone(&peers);
                async move { limiter.exchange(&view, &peers, &home, report).await }
            });
            futures::future::join_all(calls).await;
        }
    }

    /// Returns one report per limit home, with the demands on all its workspaces.
    fn reports(&self, view: &FleetView) -> BTreeMap<InstanceId, ShareReport> {
        let now = MonoTime::now();
        let mut reports: BTreeMap<InstanceId, ShareReport> = BTreeMap::new();
        for (name, limited) in self.buckets.load().iter() {
            let demand = lock(&limited.bucket).demand(now);
            // Entries in the shard always report, because the home reserves a share for those that do not.
            let outside_shard = limited.live_entries == OUTSIDE_SHARD;
            let idle = outside_shard && demand.requests_per_s <= 0.0 && demand.concurrency <= 0.0;
            if idle {
                continue;
            }
            let Some(home) = home_of(&format!("limit/{name}"), &view.members, None, None) else {
                continue;
            };
            let report = reports
                .entry(home.id.clone())
                .or_insert_with(|| ShareReport {
                    from: view.me.id.to_string(),
                    incarnation: view.me.incarnation.0,
                    demands: Vec::new(),
                });
            report.demands.push(demand_to_wire(name, &demand));
        }
        reports
    }

    async fn exchange(
        &self,
        view: &FleetView,
        peers: &PeerPool,
        home: &InstanceId,
        report: ShareReport,
    ) {
        let grants = if *home == view.me.id {
            self.handle_report(MonoTime::now(), view, &report)
        } else {
            let Some(member) = view.member(home) else {
                return;
            };
            // Without an answer, the shares expire and the buckets fall back to limit / entries.
            match peers.get(member).client().shares(timed(report)).await {
                Ok(grants) => grants.into_inner(),
                Err(_) => return,
            }
        };
        let now = MonoTime::now();
        let buckets = self.buckets.load();
        for grant in grants.grants {
            if let Some(limited) = buckets.get(grant.workspace.as_str()) {
                lock(&limited.bucket).set_share(now, share_from_wire(&limited.limits, &grant));
            }
        }
    }

    fn lock_homes(&self) -> MutexGuard<'_, HashMap<WorkspaceName, LimitHome>> {
        self.homes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn update_limited(
    previous: Option<&Arc<LimitedWorkspace>>,
    limits: Limits,
    live_entries: usize,
) -> Arc<LimitedWorkspace> {
    match previous {
        Some(previous) if previous.limits == limits && previous.live_entries == live_entries => {
            Arc::clone(previous)
        }
        Some(previous) => {
            lock(&previous.bucket).update_limits(limits, live_entries);
            let bucket = Arc::clone(&previous.bucket);
            Arc::new(LimitedWorkspace {
                limits,
                live_entries,
                bucket,
            })
        }
        None => {
            let bucket = Arc::new(Mutex::new(ShareBucket::new(limits, live_entries)));
            Arc::new(LimitedWorkspace {
                limits,
                live_entries,
                bucket,
            })
        }
    }
}

/// Returns the number of entries that divide the workspace's limit while this instance has no share.
///
/// Callers get only the addresses of the workspace's shard, so the limit is divided among these entries; dividing it
/// among all instances would leave the workspace only part of its limit. An entry outside the shard that a caller
/// reaches anyway can use nothing until its limit home grants it a share.
fn live_entries(view: &FleetView, workspace: &WorkspaceName) -> usize {
    let shard = shard(view, workspace);
    if shard.iter().any(|member| member.id == view.me.id) {
        shard.len()
    } else {
        OUTSIDE_SHARD
    }
}

fn shard<'a>(view: &'a FleetView, workspace: &WorkspaceName) -> Vec<&'a Member> {
    let weight = view
        .config
        .workspaces
        .get(workspace)
        .map_or(1, |w| w.weight);
    let shard_size = view.config.policy.shard_size;
    shuffle_shard(
        workspace,
        weight,
        shard_size,
        &view.members,
        &view.me.failure_domain,
    )
}

fn lock(bucket: &Mutex<ShareBucket>) -> MutexGuard<'_, ShareBucket> {
    bucket.lock().unwrap_or_else(PoisonError::into_inner)
}

fn demand_to_wire(workspace: &WorkspaceName, demand: &Demand) -> ShareDemand {
    ShareDemand {
        workspace: workspace.to_string(),
        requests_per_s: demand.requests_per_s,
        concurrency: demand.concurrency,
        cost_per_s: demand.cost_per_s,
        held: demand
            .held
            .as_ref()
            .map(|share| share_to_wire(workspace.as_str(), share)),
    }
}

fn demand_from_wire(limits: &Limits, demand: &ShareDemand) -> Demand {
    Demand {
        requests_per_s: demand.requests_per_s,
        concurrency: demand.concurrency,
        cost_per_s: demand.cost_per_s,
        held: demand
            .held
            .as_ref()
            .map(|share| share_from_wire(limits, share)),
    }
}

fn share_to_wire(workspace: &str, share: &Share) -> ShareGrant {
    ShareGrant {
        workspace: workspace.to_owned(),
        requests_per_s: share.requests_per_s.unwrap_or_default(),
        concurrency: share.concurrency.unwrap_or_default(),
        cost_per_s: share.cost_per_s.unwrap_or_default(),
        expires_in_ms: convert::millis(share.expires_in),
    }
}

/// Converts a share; values on the wire are ignored for limits that the workspace does not have.
fn share_from_wire(limits: &Limits, grant: &ShareGrant) -> Share {
    Share {
        requests_per_s: limits.requests_per_s.map(|_| grant.requests_per_s),
        concurrency: limits.concurrency.map(|_| grant.concurrency),
        cost_per_s: limits.cost_per_s.map(|_| grant.cost_per_s),
        expires_in: convert::from_millis(grant.expires_in_ms),
    }
}
