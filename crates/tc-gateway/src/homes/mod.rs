//! Batch services homed here: asks come in, calls go out as the planner decides, results go back.

mod calls;
mod chains;
mod free;
mod home;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use tc_fleet::{PiecesAnswer, UpstreamLimits};
use tc_policy::HomeOutlook;
use tc_protocol::{
    ServiceName,
    routing::{ResultHandle, StageRefusal, StageRequest},
};
use tc_upstream::UpstreamClient;

use crate::{
    backoffs::UpstreamBackoffs, budgets::RepeatBudgets, codec::PlatformCodec,
    unknown_headers::UnknownHeaders, world::WorldCell,
};

use chains::Chains;
pub(crate) use chains::ask_other_homes;
pub(crate) use free::{Freer, GivenUp};
use home::BatchHome;

/// Answer to an ask for pieces.
pub(crate) type PiecesReply = Result<Vec<ResultHandle>, StageRefusal>;

/// What every home needs.
pub(crate) struct HomeContext {
    pub(crate) codec: PlatformCodec,
    pub(crate) client: UpstreamClient,
    pub(crate) world: Arc<WorldCell>,
    pub(crate) budgets: Arc<RepeatBudgets>,
    pub(crate) freer: Freer,
    pub(crate) limits: Arc<UpstreamLimits>,
    pub(crate) backoffs: Arc<UpstreamBackoffs>,
    pub(crate) unknown_headers: Arc<UnknownHeaders>,
}

/// The homes that were asked for here, by service.
pub(crate) struct BatchHomes {
    cx: Arc<HomeContext>,
    by_service: Mutex<HashMap<ServiceName, Arc<BatchHome>>>,
    chains: Chains,
}

impl BatchHomes {
    pub(crate) fn new(cx: HomeContext) -> Self {
        Self {
            cx: Arc::new(cx),
            by_service: Mutex::default(),
            chains: Chains::default(),
        }
    }

    /// Makes the pieces of a stage. Dropping the future takes back what was not started.
    pub(crate) async fn make_pieces(&self, mut ask: StageRequest) -> PiecesAnswer {
        match self.home(&ask.service) {
            Some(home) => {
                let judged = self.chains.judge(&self.cx.world.load(), &home, &mut ask);
                let is_late_return = judged == Ok(true);
                let reply = match judged {
                    Ok(_) => Arc::clone(&home).make(ask).await,
                    Err(refusal) => Err(refusal),
                };
                PiecesAnswer {
                    reply,
                    home: Some(home.outlook()),
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

    /// How the home of a service stands, if it is here.
    pub(crate) fn outlook(&self, service: &ServiceName) -> Option<HomeOutlook> {
        let home = self.lock().get(service).cloned();
        home.map(|home| home.outlook())
    }

    /// Frees results at their makers, and the room that they took.
    pub(crate) fn free_results(&self, handles: &[ResultHandle]) {
        let homes: Vec<Arc<BatchHome>> = {
            let homes = self.lock();
            homes.values().cloned().collect()
        };
        for home in homes {
            home.freed(handles);
        }
        calls::free_at_makers(&self.cx, handles);
    }

    /// Hands over every service that is homed elsewhere by now.
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

    /// The home of a service, started when it is first asked for; `None` for a service that makes no pieces.
    fn home(&self, service: &ServiceName) -> Option<Arc<BatchHome>> {
        if let Some(home) = self.lock().get(service) {
            return Some(Arc::clone(home));
        }
        let world = self.cx.world.load();
        let spec = world.config.as_ref()?.service(service.as_str())?.batch?;
        let mut homes = self.lock();
        let home = homes.entry(service.clone()).or_insert_with(|| {
            log::info!(service = service.as_str(); "this instance is asked to be the home of a batch service");
            BatchHome::start(Arc::clone(&self.cx), service.clone(), spec)
        });
        Some(Arc::clone(home))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<ServiceName, Arc<BatchHome>>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
