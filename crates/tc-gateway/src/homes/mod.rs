//! Homes of batch services on this instance: they receive stage requests, call upstreams as the planner decides and
//! return the results.

mod calls;
mod chains;
mod home;
mod piece_check;
mod release;
mod room;
mod state;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use tc_fleet::{PiecesAnswer, UpstreamLimits};
use tc_policy::{HomeOutlook, JobOutcome, KnownShares};
use tc_protocol::{
    MonoTime, ServiceName,
    routing::{ResultHandle, StageRefusal, StageRequest},
};
use tc_upstream::UpstreamClient;

use crate::{
    backoffs::UpstreamBackoffs, codec::PlatformCodec, process_load::ProcessLoad,
    retry_budgets::RetryBudgets, unknown_headers::UnknownHeaders, upstream_stats::UpstreamStats,
    world::WorldCell,
};

use chains::ChainAdmissions;
pub(crate) use chains::poll_outlooks;
use home::BatchHome;
pub(crate) use release::{ReleaseQueue, ResultReleaser};

/// Result of a request for the pieces of a stage.
pub(crate) type PiecesReply = Result<Vec<ResultHandle>, StageRefusal>;

/// Dependencies shared by all homes.
pub(crate) struct HomeContext {
    pub(crate) codec: PlatformCodec,
    pub(crate) client: UpstreamClient,
    pub(crate) world: Arc<WorldCell>,
    pub(crate) retry_budgets: Arc<RetryBudgets>,
    pub(crate) releaser: ResultReleaser,
    pub(crate) limits: Arc<UpstreamLimits>,
    pub(crate) backoffs: Arc<UpstreamBackoffs>,
    pub(crate) unknown_headers: Arc<UnknownHeaders>,
    pub(crate) upstream_stats: Arc<UpstreamStats>,
    pub(crate) load: Arc<ProcessLoad>,
}

/// The homes on this instance, by service; each is started on the first request for it.
pub(crate) struct BatchHomes {
    cx: Arc<HomeContext>,
    by_service: Mutex<HashMap<ServiceName, Arc<BatchHome>>>,
    chains: ChainAdmissions,
    shares: Mutex<KnownShares>,
}

impl BatchHomes {
    pub(crate) fn new(cx: HomeContext) -> Self {
        Self {
            cx: Arc::new(cx),
            by_service: Mutex::default(),
            chains: ChainAdmissions::default(),
            shares: Mutex::default(),
        }
    }

    /// Makes the pieces of a stage. Dropping the future cancels what has not started.
    pub(crate) async fn make_pieces(&self, mut stage_request: StageRequest) -> PiecesAnswer {
        match self.home(&stage_request.service) {
            Some(home) => {
                let admitted = home.check_pieces(&stage_request).and_then(|()| {
                    self.chains
                        .admit(&self.cx.world.load(), &home, &mut stage_request)
                });
                let is_late_return = admitted == Ok(true);
                let reply = match admitted {
                    Ok(_) => Arc::clone(&home).make_pieces(stage_request).await,
                    Err(refusal) => {
                        home.record_outcome(JobOutcome::Refused);
                        Err(refusal)
                    }
                };
                PiecesAnswer {
                    reply,
                    home: Some(home.recent_outlook()),
                    is_late_return,
                }
            }
            None => PiecesAnswer {
                reply: Err(StageRefusal::NoUpstream),
                home: None,
                is_late_return: false,
            },
        }
    }

    /// Stores the shares that the home of a service reported, in case this instance takes the service over.
    pub(crate) fn record_shares(&self, service: &ServiceName, outlook: &HomeOutlook) {
        self.lock_shares()
            .record(MonoTime::now(), service, outlook.shares.clone());
    }

    fn lock_shares(&self) -> std::sync::MutexGuard<'_, KnownShares> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the outlook of the home of a service, if that home runs on this instance.
    pub(crate) fn outlook(&self, service: &ServiceName) -> Option<HomeOutlook> {
        let home = self.lock().get(service).cloned();
        home.map(|home| home.recent_outlook())
    }

    /// Hands over every service whose home is now another instance.
    pub(crate) fn hand_over(&self, is_here: impl Fn(&ServiceName) -> bool) {
        let moved: Vec<Arc<BatchHome>> = {
            let homes = self.lock();
            let moved = homes.iter().filter(|(service, _)| !is_here(service));
            moved.map(|(_, home)| Arc::clone(home)).collect()
        };
        for home in moved {
            home.hand_over();
        }
    }

    /// Returns the home of a service, starting it if needed; `None` if the service is not a batch service.
    fn home(&self, service: &ServiceName) -> Option<Arc<BatchHome>> {
        if let Some(home) = self.lock().get(service) {
            return Some(Arc::clone(home));
        }
        let world = self.cx.world.load();
        let spec = world.config.as_ref()?.service(service.as_str())?.batch?;
        let shares = self.lock_shares().starting_shares(MonoTime::now(), service);
        let mut homes = self.lock();
        let home = homes.entry(service.clone()).or_insert_with(|| {
            log::info!(service = service.as_str(); "started the home of a batch service");
            BatchHome::start(Arc::clone(&self.cx), service.clone(), spec, &shares)
        });
        Some(Arc::clone(home))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ServiceName, Arc<BatchHome>>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
