//! This instance's part of the fleet-wide retry budget.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tc_fleet::{Mesh, SharedFleetShare};
use tc_policy::{RetryBudget, RetryLimits, RetryPermit};
use tc_protocol::{Member, MonoTime, ServiceName};
use tokio::time::timeout;

use crate::settings::RetryBudgetSettings;

/// Longest time between two updates of the share. It changes with time alone when an instance has settled.
const MAX_UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Retry budgets by service.
///
/// Each instance may retry a fraction of its own requests, plus an equal part of the fixed allowance. The sum over all
/// instances stays within the fleet-wide budget without coordination.
pub(crate) struct RetryBudgets {
    settings: RetryBudgetSettings,
    started: MonoTime,
    share: Arc<SharedFleetShare>,
    inner: Mutex<Inner>,
}

struct Inner {
    limits: RetryLimits,
    /// When the fixed allowance of this instance last changed.
    limits_since: MonoTime,
    by_service: HashMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Creates the budgets of an instance that has no part of the fixed allowance yet.
    pub(crate) fn new(settings: RetryBudgetSettings, share: Arc<SharedFleetShare>) -> Self {
        let now = MonoTime::now();
        let inner = Inner {
            limits: limits(&settings, 0.0),
            limits_since: now,
            by_service: HashMap::new(),
        };
        Self {
            settings,
            started: now,
            share,
            inner: Mutex::new(inner),
        }
    }

    /// Creates the budget of a home that calls the upstreams of a service for all instances.
    ///
    /// Each instance may become a home, so a home has no larger part than any other instance.
    pub(crate) fn new_home_budget(&self) -> RetryBudget {
        let inner = self.lock();
        RetryBudget::new(inner.limits, inner.limits_since)
    }

    /// Returns the number of instances among which the fixed allowance is divided.
    pub(crate) fn assumed_instances(&self) -> usize {
        self.share.instances()
    }

    /// Returns the current limits of this instance.
    pub(crate) fn limits(&self) -> RetryLimits {
        self.lock().limits
    }

    pub(crate) fn record_request(&self, service: &ServiceName) {
        self.lock().budget(service).record_request(MonoTime::now());
    }

    /// Returns true if the budget allows a retry now, without spending it.
    pub(crate) fn can_spend(&self, service: &ServiceName) -> bool {
        self.lock().budget(service).can_spend(MonoTime::now())
    }

    /// Spends one retry of the request if the budget allows it. Logs and counts the decision.
    pub(crate) fn try_spend(&self, request: &str, service: &ServiceName) -> Option<RetryPermit> {
        let now = MonoTime::now();
        let (permit, usage) = {
            let mut inner = self.lock();
            let budget = inner.budget(service);
            (budget.try_spend(now), budget.usage(now))
        };
        let name = service.as_str();
        let result = match permit {
            Some(_) => "allowed",
            None => "refused",
        };
        metrics::counter!("tc_retry_decisions_total", "service" => name.to_owned(), "result" => result)
            .increment(1);
        log::info!(
            request = request,
            service = name,
            result = result,
            requests = usage.requests,
            earned = usage.earned,
            saved = usage.saved,
            instances = self.assumed_instances(),
            process_age_ms = now.since(self.started).as_millis() as u64;
            "retry decided"
        );
        permit
    }

    /// Updates the limits of all budgets for the current members.
    fn update(&self, now: MonoTime, members: &[Member]) {
        let part = self.share.observe(now, members);
        let limits = limits(&self.settings, part);
        let mut inner = self.lock();
        if limits == inner.limits {
            return;
        }
        inner.limits = limits;
        inner.limits_since = now;
        for budget in inner.by_service.values_mut() {
            budget.set_limits(now, limits);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let (limits, since) = (self.limits, self.limits_since);
        self.by_service
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limits, since))
    }
}

fn limits(settings: &RetryBudgetSettings, part: f64) -> RetryLimits {
    RetryLimits {
        ratio: settings.ratio,
        extra: settings.extra * part,
        window: settings.window,
    }
}

/// Keeps the limits up to date with the members. Runs until the mesh ends.
pub(crate) async fn follow_members(mesh: Mesh, budgets: Arc<RetryBudgets>) {
    let mut changes = mesh.changes();
    loop {
        budgets.update(MonoTime::now(), &mesh.members());
        if let Ok(Err(_)) = timeout(MAX_UPDATE_INTERVAL, changes.changed()).await {
            return;
        }
    }
}
