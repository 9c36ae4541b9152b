//! Upstream time used by each workspace. Answers the burst of one workspace that would delay all others.
//!
//! While a service is short, a workspace is over its share if max-min fairness over the workspaces with waiting work
//! would leave some of its work unserved. Time used in a sliding window counts, so that a steady burst stays over.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tc_protocol::{MonoTime, ServiceName, WorkspaceName};

/// Time constant of the window over which used time is counted.
const WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of workspaces counted at a home; those that used least are dropped first.
const MAX_WORKSPACES: usize = 256;
/// Maximum number of workspaces in a report to other homes.
const MAX_REPORTED: usize = 16;
/// Used time below which a workspace is no longer counted, in seconds.
const NEGLIGIBLE_S: f64 = 0.001;

/// Upstream time that workspaces used at the home of a service, as reported to other instances.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsedShares {
    /// Time since the report was made.
    pub age: Duration,
    /// Seconds of upstream time in the window, for the workspaces that used most.
    pub seconds: Vec<(WorkspaceName, f64)>,
    /// Workspaces over their share, among the ones listed.
    pub over_share: Vec<WorkspaceName>,
}

/// Upstream time used by each workspace at one home, decaying over [`WINDOW`].
#[derive(Clone, Debug, Default)]
pub(super) struct WorkspaceShares {
    used_s: HashMap<WorkspaceName, f64>,
    at: MonoTime,
}

impl WorkspaceShares {
    /// Records work of a workspace that starts now, in seconds of upstream time.
    pub(super) fn record(&mut self, now: MonoTime, workspace: &WorkspaceName, work: f64) {
        self.decay(now);
        if let Some(used) = self.used_s.get_mut(workspace) {
            *used += work;
            return;
        }
        if self.used_s.len() >= MAX_WORKSPACES {
            self.remove_least();
        }
        self.used_s.insert(workspace.clone(), work);
    }

    /// Replaces the counts with those of the service's previous home.
    pub(super) fn seed(&mut self, now: MonoTime, shares: &UsedShares) {
        let remaining = remaining_fraction(shares.age);
        let valid = shares
            .seconds
            .iter()
            .filter(|(_, used)| used.is_finite() && *used > 0.0);
        self.used_s = valid
            .take(MAX_REPORTED)
            .map(|(workspace, used)| (workspace.clone(), used * remaining))
            .collect();
        self.at = now;
    }

    /// Returns the workspaces whose waiting work exceeds their share of the next `capacity` seconds of upstream time.
    pub(super) fn over_share<'a>(
        &self,
        now: MonoTime,
        waiting_s: &BTreeMap<&'a WorkspaceName, f64>,
        capacity: f64,
    ) -> Vec<&'a WorkspaceName> {
        let remaining = remaining_fraction(now.since(self.at));
        let used = |workspace: &WorkspaceName| {
            self.used_s.get(workspace).copied().unwrap_or_default() * remaining
        };
        let demands: Vec<(&WorkspaceName, f64, f64)> = waiting_s
            .iter()
            .map(|(workspace, waiting)| (*workspace, used(workspace), *waiting))
            .collect();
        let level = fair_level(&demands, capacity);
        demands
            .iter()
            .filter(|(_, used, waiting)| used + waiting > level)
            .map(|(workspace, _, _)| *workspace)
            .collect()
    }

    /// Returns the workspaces that used most, for a report.
    pub(super) fn report(&self, now: MonoTime) -> Vec<(WorkspaceName, f64)> {
        let remaining = remaining_fraction(now.since(self.at));
        let mut used: Vec<(WorkspaceName, f64)> = self
            .used_s
            .iter()
            .map(|(workspace, used)| (workspace.clone(), used * remaining))
            .collect();
        used.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        used.truncate(MAX_REPORTED);
        used
    }

    fn decay(&mut self, now: MonoTime) {
        let remaining = remaining_fraction(now.since(self.at));
        self.at = now;
        self.used_s.retain(|_, used| {
            *used *= remaining;
            *used >= NEGLIGIBLE_S
        });
    }

    fn remove_least(&mut self) {
        let least = self.used_s.iter().min_by(|a, b| a.1.total_cmp(b.1));
        if let Some(workspace) = least.map(|(workspace, _)| workspace.clone()) {
            self.used_s.remove(&workspace);
        }
    }
}

/// Returns the level up to which each demand `(name, used, waiting)` is filled when `capacity` is shared max-min fairly;
/// infinite if all of them fit.
fn fair_level(demands: &[(&WorkspaceName, f64, f64)], capacity: f64) -> f64 {
    let mut steps: Vec<(f64, f64)> = demands
        .iter()
        .flat_map(|(_, used, waiting)| [(*used, 1.0), (used + waiting, -1.0)])
        .collect();
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut level, mut rate, mut left) = (0.0, 0.0, capacity);
    for (next, change) in steps {
        let filled = rate * (next - level);
        if filled > left {
            return level + left / rate;
        }
        left -= filled;
        level = next;
        rate += change;
    }
    f64::INFINITY
}

fn remaining_fraction(elapsed: Duration) -> f64 {
    (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp()
}

/// Latest reports of used shares by service, from which a home that takes over a service starts.
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{KnownShares, UsedShares};
/// use tc_protocol::MonoTime;
/// let mut known = KnownShares::default();
/// let seconds = vec![("studio".into(), 4.0)];
/// let now = MonoTime::from_millis(1_000);
/// known.record(now, &"render".into(), UsedShares { seconds, ..UsedShares::default() });
/// let later = now.after(Duration::from_millis(300));
/// assert_eq!(known.starting_shares(later, &"render".into()).age, Duration::from_millis(300));
/// ```
#[derive(Clone, Debug, Default)]
pub struct KnownShares {
    latest: BTreeMap<ServiceName, (MonoTime, UsedShares)>,
}

impl KnownShares {
    /// Stores the report of a service's home; reports of other services that are too old are dropped.
    pub fn record(&mut self, now: MonoTime, service: &ServiceName, shares: UsedShares) {
        if shares.seconds.is_empty() {
            return;
        }
        self.latest.retain(|_, (at, _)| now.since(*at) < 2 * WINDOW);
        self.latest.insert(service.clone(), (now, shares));
    }

    /// Returns the shares with which a new home of a service starts: those that its previous home reported, or the mean
    /// over the other services. Without any report, the shares are empty, and all workspaces start alike.
    #[must_use]
    pub fn starting_shares(&self, now: MonoTime, service: &ServiceName) -> UsedShares {
        if let Some((at, shares)) = self.latest.get(service) {
            return UsedShares {
                age: shares.age + now.since(*at),
                ..shares.clone()
            };
        }
        let mut sums: BTreeMap<&WorkspaceName, f64> = BTreeMap::new();
        for (at, shares) in self.latest.values() {
            let remaining = remaining_fraction(shares.age + now.since(*at));
            for (workspace, used) in &shares.seconds {
                *sums.entry(workspace).or_default() += used * remaining;
            }
        }
        let services = self.latest.len().max(1) as f64;
        let means = sums.into_iter();
        UsedShares {
            seconds: means
                .map(|(workspace, sum)| (workspace.clone(), sum / services))
                .collect(),
            ..UsedShares::default()
        }
    }
}
