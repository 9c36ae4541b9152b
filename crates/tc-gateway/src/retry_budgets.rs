//! This instance's share of the fleet-wide retry budget.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use tc_policy::{RetryBudget, RetryLimits};
use tc_protocol::{MonoTime, ServiceName};

use crate::settings::RetryBudgetSettings;

/// Fraction of the budget that is used. The rest covers instances whose member lists differ for a moment, and
/// requests counted by the instance that received them while their retries are not.
const USED_FRACTION: f64 = 0.8;

/// Retry budgets by service.
///
/// Each instance may retry a fraction of its own requests, plus an equal part of the fixed extra allowance. The sum
/// over all instances stays within the fleet-wide budget without coordination.
pub(crate) struct RetryBudgets {
    settings: RetryBudgetSettings,
    started: MonoTime,
    by_service: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    pub(crate) fn new(settings: RetryBudgetSettings) -> Self {
        Self {
            settings,
            started: MonoTime::now(),
            by_service: Mutex::default(),
        }
    }

    /// Returns the limits of one out of `instances` instances.
    pub(crate) fn share(&self, instances: usize) -> RetryLimits {
        RetryLimits {
            ratio: self.settings.ratio * USED_FRACTION,
            extra: self.settings.extra * USED_FRACTION / instances.max(1) as f64,
            window: self.settings.window,
        }
    }

    /// Returns the limits of the one instance that calls the upstreams of a service for all.
    ///
    /// While the home moves there may be two such instances, so each takes half.
    pub(crate) fn home_share(&self) -> RetryLimits {
        self.share(2)
    }

    pub(crate) fn record_request(&self, service: &ServiceName, instances: usize) {
        self.with(service, instances, |budget| {
            budget.record_request(MonoTime::now());
        });
    }

    /// Spends one retry of the request if the budget allows it. Logs and counts the decision.
    pub(crate) fn try_spend(&self, request: &str, service: &ServiceName, instances: usize) -> bool {
        let now = MonoTime::now();
        let (is_allowed, usage) = self.with(service, instances, |budget| {
            (budget.try_spend(now), budget.usage(now))
        });
        let name = service.as_str();
        let result = if is_allowed { "allowed" } else { "refused" };
        metrics::counter!("tc_retry_decisions_total", "service" => name.to_owned(), "result" => result)
            .increment(1);
        log::info!(
            request = request,
            service = name,
            result = result,
            retries = usage.retries,
            allowed = usage.allowed,
            requests = usage.requests,
            instances = instances,
            process_age_ms = now.since(self.started).as_millis() as u64;
            "retry decided"
        );
        is_allowed
    }

    fn with<T>(
        &self,
        service: &ServiceName,
        instances: usize,
        action: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let limits = self.share(instances);
        let mut budgets = self
            .by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(limits));
        budget.set_limits(limits);
        action(budget)
    }
}
