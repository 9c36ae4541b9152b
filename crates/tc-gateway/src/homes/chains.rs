//! Judging at a request's first home whether its whole chain of stages is worth beginning.

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

/// How often the homes of following stages are asked how they stand. A queue changes by a fifteenth of a call in this time, and
/// forty short calls a second from each home of a first stage carry it; half as often costs a hundredth of the work in time.
const ASK_EVERY: Duration = Duration::from_millis(25);
/// How long after the last request with such a stage its home is still asked.
const WANTED_FOR: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Known {
    judge: ChainAdmission,
    /// Services of stages of requests that were judged here, and when last.
    wanted: BTreeMap<ServiceName, MonoTime>,
}

/// What the homes on this instance know of the others.
#[derive(Default)]
pub(super) struct Chains {
    known: Mutex<Known>,
    /// Wakes who asks the other homes after a time in which nothing was wanted.
    wanted: Notify,
}

impl Chains {
    /// Judges a request that begins with this ask; when it is worth it, takes up in the ask until when its first stage must be
    /// made, and tells whether it comes again after a refusal and too late to be in time.
    pub(super) fn judge(
        &self,
        world: &World,
        home: &BatchHome,
        ask: &mut StageRequest,
    ) -> Result<bool, StageRefusal> {
        let Some(chain) = ask.chain.take() else {
            return Ok(false);
        };
        let now = MonoTime::now();
        let call_times = call_times(world, &chain);
        let judged = {
            let mut known = self.lock();
            known.judge.record(now, &ask.service, home.outlook());
            for stage in &chain.stages {
                known.wanted.insert(stage.service.clone(), now);
            }
            let first = ask.stage as usize;
            known
                .judge
                .admit(now, &chain, ask.priority, first, &call_times)
        };
        self.wanted.notify_one();
        match judged {
            Ok(begun) => {
                ask.in_time_for = begun.in_time_for;
                Ok(begun.is_late_return)
            }
            Err(retry_after) => {
                let service = ask.service.as_str().to_owned();
                metrics::counter!("tc_stage_refusals_total", "service" => service).increment(1);
                log::info!(request = &*ask.request, service = ask.service.as_str(), rank = ask.priority, until_aim_ms = chain.until_latency_target.as_millis() as u64, retry_after_ms = retry_after.as_millis() as u64; "stages are not worth beginning");
                Err(StageRefusal::Overloaded { retry_after })
            }
        }
    }

    /// Services whose homes matter to requests that were judged a moment ago.
    fn wanted_now(&self, now: MonoTime) -> Vec<ServiceName> {
        let mut known = self.lock();
        known.wanted.retain(|_, last| now.since(*last) < WANTED_FOR);
        known.wanted.keys().cloned().collect()
    }

    fn note(&self, service: &ServiceName, outlook: HomeOutlook) {
        self.lock().judge.record(MonoTime::now(), service, outlook);
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Fixed time of a call of each stage, as configured.
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

/// Keeps asking the homes of the stages that follow here how they stand; runs until it is dropped.
pub(crate) async fn ask_other_homes(mesh: Mesh, homes: Arc<BatchHomes>) {
    loop {
        let wanted = homes.chains.wanted_now(MonoTime::now());
        if wanted.is_empty() {
            homes.chains.wanted.notified().await;
            continue;
        }
        let asked = wanted
            .iter()
            .map(|service| ask_home(&mesh, &homes, service));
        join_all(asked).await;
        sleep(ASK_EVERY).await;
    }
}

async fn ask_home(mesh: &Mesh, homes: &BatchHomes, service: &ServiceName) {
    let home = mesh.home(service.as_str(), &[]);
    let other = home.filter(|home| home.id != mesh.me().id);
    let Some(other) = other else {
        if let Some(outlook) = homes.outlook(service) {
            homes.chains.note(service, outlook);
        }
        return;
    };
    // Without an answer its last word counts on for a while, then what is usual.
    match timeout(ASK_EVERY, mesh.outlook(&other, service)).await {
        Ok(Ok(Some(outlook))) => homes.chains.note(service, outlook),
        Ok(Ok(None)) => {}
        Ok(Err(error)) => {
            log::debug!(service = service.as_str(), error = error.to_string().as_str(); "the home of a following stage does not tell how it stands");
        }
        Err(_) => {
            log::debug!(service = service.as_str(), home = other.id.as_str(); "the home of a following stage is late to tell how it stands");
        }
    }
}
