//! Admission control at the home of the first stage: decides whether the whole chain of stages can be completed in
//! time.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures::future::join_all;
use tc_fleet::Mesh;
use tc_policy::{ChainAdmission, HomeOutlook};
use tc_protocol::{
    MonoTime, ServiceName,
    routing::{StageChain, StageRefusal, StageRequest},
};
use tokio::{
    sync::Notify,
    time::{sleep, timeout},
};

use super::{BatchHomes, home::BatchHome};
use crate::world::World;

/// Interval at which the homes of following stages are polled for their outlook. A queue changes by a fifteenth of a
/// call in this time. Polling costs each home of a first stage forty short calls a second; polling half as often
/// costs a hundredth of the work completed in time.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which a home is still polled after the last request with such a stage.
const POLL_AFTER_LAST_REQUEST: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Known {
    admission: ChainAdmission,
    /// Services of the stages of requests that were checked here, with the time of the last one.
    recent_services: BTreeMap<ServiceName, MonoTime>,
}

/// State of other homes, as known to the homes on this instance.
#[derive(Default)]
pub(super) struct ChainAdmissions {
    known: Mutex<Known>,
    /// Wakes the polling task when there is something to poll again.
    poll_wakeup: Notify,
}

impl ChainAdmissions {
    /// Decides whether to admit a request that starts with this stage. If it is admitted, sets the time by which its
    /// first stage must be made, and returns whether the request was refused before and has returned too late to meet
    /// its latency target.
    pub(super) fn admit(
        &self,
        world: &World,
        home: &BatchHome,
        stage_request: &mut StageRequest,
    ) -> Result<bool, StageRefusal> {
        let Some(chain) = stage_request.chain.take() else {
            return Ok(false);
        };
        let now = MonoTime::now();
        let call_times = call_times(world, &chain);
        let (admitted, promised) = {
            let mut known = self.lock();
            known
                .admission
                .record(now, &stage_request.service, home.outlook());
            for stage in &chain.stages {
                known.recent_services.insert(stage.service.clone(), now);
            }
            let first = stage_request.stage as usize;
            let priority = stage_request.priority;
            let admitted = known
                .admission
                .admit(now, &chain, priority, first, &call_times);
            (admitted, known.admission.promised_returns())
        };
        metrics::gauge!("tc_promised_returns").set(promised as f64);
        self.poll_wakeup.notify_one();
        match admitted {
            Ok(chain) => {
                if chain.has_kept_place {
                    metrics::counter!("tc_promised_returns_total", "result" => "admitted")
                        .increment(1);
                    log::info!(request = &*stage_request.request, service = stage_request.service.as_str(), late = chain.is_late_return; "request admitted at its return time");
                }
                stage_request.in_time_for = chain.in_time_for;
                Ok(chain.is_late_return)
            }
            Err(retry_after) => {
                let service = stage_request.service.as_str().to_owned();
                metrics::counter!("tc_stage_refusals_total", "service" => service.clone())
                    .increment(1);
                metrics::histogram!("tc_return_time_ms", "service" => service)
                    .record(retry_after.as_secs_f64() * 1_000.0);
                log::info!(request = &*stage_request.request, service = stage_request.service.as_str(), rank = stage_request.priority, until_aim_ms = chain.until_latency_target.as_millis() as u64, retry_after_ms = retry_after.as_millis() as u64; "request refused: its stages cannot be completed in time");
                Err(StageRefusal::Overloaded { retry_after })
            }
        }
    }

    /// Returns the services needed by recent requests.
    fn recent_services(&self, now: MonoTime) -> Vec<ServiceName> {
        let mut known = self.lock();
        known
            .recent_services
            .retain(|_, last| now.since(*last) < POLL_AFTER_LAST_REQUEST);
        known.recent_services.keys().cloned().collect()
    }

    fn record(&self, service: &ServiceName, outlook: HomeOutlook) {
        self.lock()
            .admission
            .record(MonoTime::now(), service, outlook);
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the configured fixed time of a call for each stage.
fn call_times(world: &World, chain: &StageChain) -> Vec<Duration> {
    let call_time = |service: &ServiceName| {
        let config = world.config.as_ref()?;
        Some(config.service(service.as_str())?.batch?.call_overhead)
    };
    let stages = chain.stages.iter();
    stages
        .map(|stage| call_time(&stage.service).unwrap_or_default())
        .collect()
}

/// Polls the homes of following stages for their outlooks; runs until it is dropped.
pub(crate) async fn poll_outlooks(mesh: Mesh, homes: Arc<BatchHomes>) {
    loop {
        let services = homes.chains.recent_services(MonoTime::now());
        if services.is_empty() {
            homes.chains.poll_wakeup.notified().await;
            continue;
        }
        let polls = services
            .iter()
            .map(|service| poll_outlook(&mesh, &homes, service));
        join_all(polls).await;
        sleep(POLL_INTERVAL).await;
    }
}

async fn poll_outlook(mesh: &Mesh, homes: &BatchHomes, service: &ServiceName) {
    let home = mesh.home(service.as_str(), &[]);
    let remote_home = home.filter(|home| home.id != mesh.me().id);
    let Some(remote_home) = remote_home else {
        if let Some(outlook) = homes.outlook(service) {
            homes.chains.record(service, outlook);
        }
        return;
    };
    // Without an answer the last outlook is used for a while, then the usual times.
    match timeout(POLL_INTERVAL, mesh.outlook(&remote_home, service)).await {
        Ok(Ok(Some(outlook))) => homes.chains.record(service, outlook),
        Ok(Ok(None)) => {}
        Ok(Err(error)) => {
            log::debug!(service = service.as_str(), error = error.to_string().as_str(); "polling the home of a following stage failed");
        }
        Err(_) => {
            log::debug!(service = service.as_str(), home = remote_home.id.as_str(); "polling the home of a following stage timed out");
        }
    }
}
