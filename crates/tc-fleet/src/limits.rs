//! Workspace limits: the buckets that requests take from here, and the limit homes that share limits out.

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

/// Divisor of the limit at an entry outside the workspace's shard: practically nothing is left.
const OUTSIDE_SHARD: usize = 1_000_000;

type Bucket = Arc<Mutex<ShareBucket>>;

struct LimitedWorkspace {
    limits: Limits,
    live_entries: usize,
    bucket: Bucket,
}

/// Buckets of this instance and the limit homes placed on it.
#[derive(Default)]
pub(crate) struct WorkspaceLimiter {
    buckets: ArcSwap<HashMap<WorkspaceName, Arc<LimitedWorkspace>>>,
    homes: Mutex<HashMap<WorkspaceName, LimitHome>>,
}

impl WorkspaceLimiter {
    /// Takes up the limits of a new configuration and the entries that callers are sent to.
    pub(crate) fn set_fleet(&self, view: &FleetView) {
        let old = self.buckets.load_full();
        let buckets: HashMap<_, _> = view
            .config
            .workspaces
            .iter()
            .filter(|(_, workspace)| workspace.limits != Limits::default())
            .map(|(name, workspace)| {
                let kept = old.get(name);
                let entries = live_entries(view, name);
                (name.clone(), limited(kept, workspace.limits, entries))
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

    /// Starts one request of a workspace, or tells when to ask again.
    pub(crate) fn start(&self, workspace: &WorkspaceName) -> Result<WorkspaceLimitGuard, Duration> {
        let Some(limited) = self.buckets.load().get(workspace).map(Arc::clone) else {
            return Ok(WorkspaceLimitGuard::new(|_| ()));
        };
        lock(&limited.bucket).try_start(MonoTime::now())?;
        let bucket = Arc::clone(&limited.bucket);
        Ok(WorkspaceLimitGuard::new(move |cost_units| {
            lock(&bucket).end(MonoTime::now(), cost_units);
        }))
    }

    /// A limit home's answer to an entry's demands.
    pub(crate) fn answer(
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

    /// Reports demand to the limit homes and takes up the shares, for ever.
    pub(crate) async fn report(
        self: Arc<Self>,
        view: Arc<ArcSwap<FleetView>>,
        peers: Arc<PeerPool>,
    ) {
        let mut every = tokio::time::interval(SHARE_INTERVAL);
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            every.tick().await;
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

    /// One report per limit home, with the demands of all its workspaces.
    fn reports(&self, view: &FleetView) -> BTreeMap<InstanceId, ShareReport> {
        let now = MonoTime::now();
        let mut reports: BTreeMap<InstanceId, ShareReport> = BTreeMap::new();
        for (name, limited) in self.buckets.load().iter() {
            let demand = lock(&limited.bucket).demand(now);
            // Inside the shard the home sets a part aside for whoever does not report.
            let outside = limited.live_entries == OUTSIDE_SHARD;
            let idle = outside && demand.requests_per_s <= 0.0 && demand.concurrency <= 0.0;
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
            self.answer(MonoTime::now(), view, &report)
        } else {
            let Some(member) = view.member(home) else {
                return;
            };
            // Without an answer the shares run out and the buckets decay to limit / entries by themselves.
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

fn limited(
    kept: Option<&Arc<LimitedWorkspace>>,
    limits: Limits,
    live_entries: usize,
) -> Arc<LimitedWorkspace> {
    match kept {
        Some(kept) if kept.limits == limits && kept.live_entries == live_entries => {
            Arc::clone(kept)
        }
        Some(kept) => {
            lock(&kept.bucket).update_limits(limits, live_entries);
            let bucket = Arc::clone(&kept.bucket);
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

/// Entries that the workspace's limit is divided over at this instance while it has no share.
///
/// Callers are told the addresses of the workspace's shard only, so the limit is divided over these; dividing it over
/// all instances would leave a workspace a part of its limit. Another entry that a caller comes to all the same gets
/// nothing before its limit home has given it a share.
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

/// A number on the wire counts only where the workspace has that limit.
fn share_from_wire(limits: &Limits, grant: &ShareGrant) -> Share {
    Share {
        requests_per_s: limits.requests_per_s.map(|_| grant.requests_per_s),
        concurrency: limits.concurrency.map(|_| grant.concurrency),
        cost_per_s: limits.cost_per_s.map(|_| grant.cost_per_s),
        expires_in: convert::from_millis(grant.expires_in_ms),
    }
}
