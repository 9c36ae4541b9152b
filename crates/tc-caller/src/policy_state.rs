//! This instance's estimates and budgets for each service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use tc_policy::{Estimators, ExtraCallBudget, SizeClass, StageEstimate};
use tc_protocol::{MonoTime, Policy, ServiceName};

use crate::limits::BUDGET_BURST;

/// The quantile to look up where only the other fields of the estimate are used.
const MEDIAN: f64 = 0.5;

/// The state of services by name. Readers do not lock.
pub(crate) struct Policies {
    services: ArcSwap<HashMap<ServiceName, Arc<ServicePolicy>>>,
}

/// The estimates and budgets of one service.
pub(crate) struct ServicePolicy {
    name: ServiceName,
    estimators: Arc<Mutex<Estimators>>,
    /// Estimates of the time until a stream's first item.
    first_item_estimators: Arc<Mutex<Estimators>>,
    hedges: Mutex<ExtraCallBudget>,
    retries: Mutex<ExtraCallBudget>,
    hedge_ratio: f64,
    retry_ratio: f64,
}

impl Policies {
    pub(crate) fn new() -> Self {
        Self {
            services: ArcSwap::default(),
        }
    }

    /// Returns the state of a service. Its budgets are reset when their ratios change in the configuration.
    pub(crate) fn get(&self, service: &ServiceName, policy: &Policy) -> Arc<ServicePolicy> {
        if let Some(known) = self.services.load().get(service)
            && known.has_ratios_of(policy)
        {
            return known.clone();
        }
        self.services.rcu(|current| {
            let mut next = HashMap::clone(current);
            let known = next.get(service).cloned();
            if !known.as_ref().is_some_and(|k| k.has_ratios_of(policy)) {
                let mut fresh = ServicePolicy::new(service.clone(), policy);
                if let Some(known) = known {
                    fresh.estimators = known.estimators.clone();
                    fresh.first_item_estimators = known.first_item_estimators.clone();
                }
                next.insert(service.clone(), Arc::new(fresh));
            }
            next
        });
        self.services.load()[service].clone()
    }
}

impl ServicePolicy {
    fn new(name: ServiceName, policy: &Policy) -> Self {
        Self {
            name,
            estimators: Arc::default(),
            first_item_estimators: Arc::default(),
            hedges: Mutex::new(ExtraCallBudget::new(policy.hedge_ratio, BUDGET_BURST)),
            retries: Mutex::new(ExtraCallBudget::new(policy.retry_ratio, BUDGET_BURST)),
            hedge_ratio: policy.hedge_ratio,
            retry_ratio: policy.retry_ratio,
        }
    }

    fn has_ratios_of(&self, policy: &Policy) -> bool {
        let same = |a: f64, b: f64| a.to_bits() == b.to_bits();
        same(self.hedge_ratio, policy.hedge_ratio) && same(self.retry_ratio, policy.retry_ratio)
    }

    pub(crate) fn estimate(&self, class: SizeClass, quantile: f64) -> StageEstimate {
        self.stage_estimate(&self.estimators, class, quantile)
    }

    pub(crate) fn estimate_first_item(&self, class: SizeClass) -> StageEstimate {
        self.stage_estimate(&self.first_item_estimators, class, MEDIAN)
    }

    pub(crate) fn record(&self, class: SizeClass, took: Duration) {
        lock(&self.estimators).record(MonoTime::now(), &self.name, class, took);
    }

    pub(crate) fn record_first_item(&self, class: SizeClass, took: Duration) {
        lock(&self.first_item_estimators).record(MonoTime::now(), &self.name, class, took);
    }

    fn stage_estimate(
        &self,
        from: &Mutex<Estimators>,
        class: SizeClass,
        quantile: f64,
    ) -> StageEstimate {
        let mut estimators = lock(from);
        estimators.advance(MonoTime::now());
        estimators.stage(&self.name, class, quantile)
    }

    pub(crate) fn record_call(&self) {
        lock(&self.hedges).record_call();
        lock(&self.retries).record_call();
    }

    pub(crate) fn try_spend_hedge(&self) -> bool {
        lock(&self.hedges).try_spend()
    }

    pub(crate) fn try_spend_retry(&self) -> bool {
        lock(&self.retries).try_spend()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
