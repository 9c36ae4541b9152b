//! This instance's share of the fleet's budget for sending requests again.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use tc_policy::{RetryBudget, RetryLimits};
use tc_protocol::{MonoTime, ServiceName};

use crate::settings::RepeatSettings;

/// Part of the budget that is used. The rest covers instances whose lists of members differ for a moment, and
/// requests that are counted by the instance that got them while their repeats are not.
const USED_FRACTION: f64 = 0.8;

/// Budgets by service.
///
/// Each instance takes its own requests' share and an equal part of what is allowed besides, so that the sum over
/// all of them keeps the fleet's budget with nothing to be agreed.
pub(crate) struct RetryBudgets {
    settings: RepeatSettings,
    by_service: Mutex<HashMap<ServiceName, RetryBudget>>,
}

impl RetryBudgets {
    pub(crate) fn new(settings: RepeatSettings) -> Self {
        Self {
            settings,
            by_service: Mutex::default(),
        }
    }

    /// The share of one of `instances` instances.
    pub(crate) fn share(&self, instances: usize) -> RetryLimits {
        RetryLimits {
            ratio: self.settings.ratio * USED_FRACTION,
            extra: self.settings.extra * USED_FRACTION / instances.max(1) as f64,
            window: self.settings.window,
        }
    }

    /// The budget of the one instance that calls a service's upstreams for all.
    ///
    /// For a moment there may be two such instances, so it takes half.
    pub(crate) fn home_share(&self) -> RetryLimits {
        self.share(2)
    }

    pub(crate) fn record_request(&self, service: &ServiceName, instances: usize) {
        self.with(service, instances, |budget| {
            budget.record_request(MonoTime::now());
        });
    }

    /// Takes one repeat if the budget allows it.
    pub(crate) fn try_spend(&self, service: &ServiceName, instances: usize) -> bool {
        self.with(service, instances, |budget| {
            budget.try_spend(MonoTime::now())
        })
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
