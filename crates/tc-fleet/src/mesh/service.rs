//! gRPC service of the mesh, called by other instances.

use std::{sync::Arc, time::Duration};

use futures::{
    StreamExt,
    future::BoxFuture,
    stream::{self, BoxStream},
};
use ractor::ActorRef;
use tc_policy::{HomeOutlook, ReleasedResults};
use tc_protocol::{
    MonoTime, ServiceName, StoreRevision,
    routing::{EngineChoice, EngineRequest, OriginRecord, RunReport, StageRequest, StreamKey},
};
use tokio::sync::oneshot;
use tonic::{Request, Response, Status};

use super::{
    actor::{Introduced, MeshMsg},
    fleet_share::SharedFleetShare,
    limits::UpstreamLimits,
    messages::{
        PiecesAnswer, choice_to_wire, engine_request_from_wire, pieces_answer_to_wire,
        results_from_wire, run_report_from_wire, stage_request_from_wire,
    },
    origins::{answer_to_wire, key_from_wire, record_from_wire},
    outlook_message::outlook_to_wire,
    store_update::{StoreUpdate, WorldHave, store_update_to_wire},
};
use crate::{
    convert,
    generated::{
        EngineAskMessage, EngineChoiceMessage, FreeResultsAnswer, FreeResultsMessage, Introduction,
        MemberList, OriginAnswer, OriginAsk, OriginList, OriginsRecorded, OutlookAnswer,
        OutlookAsk, PiecesAnswer as WireAnswer, PiecesAskMessage, RunNewsAnswer, RunNewsMessage,
        SuspectAnswer, SuspectReport, WorldHave as WireHave, WorldNews as WireUpdate,
        mesh_server::Mesh as MeshService,
    },
    suspects::SuspectTable,
};

/// Chooses an engine for a prompt. Returns `None` if no engine is known.
pub type ChooseEngine = dyn Fn(&EngineRequest) -> Option<EngineChoice> + Send + Sync;
/// Handles progress reports of runs of a service.
pub type RecordRuns = dyn Fn(&ServiceName, &[RunReport]) + Send + Sync;

/// Returns the load of a service's home, or `None` if the home is not here.
pub type ReportOutlook = dyn Fn(&ServiceName) -> Option<HomeOutlook> + Send + Sync;

/// Streams the state of the store to a follower.
pub type FollowWorld = dyn Fn(WorldHave) -> Option<BoxStream<'static, StoreUpdate>> + Send + Sync;

/// Handlers of calls from other instances. Dropping a returned future cancels its operation.
pub struct MeshHandlers {
    /// Processes the pieces of a stage as the home of its service.
    pub make_pieces: Box<dyn Fn(StageRequest) -> BoxFuture<'static, PiecesAnswer> + Send + Sync>,
    /// Returns the load of a service's home, if it is here.
    pub outlook: Box<ReportOutlook>,
    /// Frees results, at once or when their hold time ends.
    pub free_results: Box<dyn Fn(ReleasedResults) + Send + Sync>,
    /// Chooses an engine as the home of its service.
    pub choose_engine: Box<ChooseEngine>,
    /// Handles progress reports of runs whose engines were chosen here.
    pub record_runs: Box<RecordRuns>,
    /// Keeps the origins of streams for other instances.
    pub record_origins: Box<dyn Fn(Vec<OriginRecord>) + Send + Sync>,
    /// Returns the origin of a stream, if this instance keeps it.
    pub find_origin: Box<dyn Fn(StreamKey) -> tc_protocol::routing::OriginAnswer + Send + Sync>,
    /// Streams the state of the store: first what is newer than the given revisions, then each change. Returns `None`
    /// if this instance has too many followers.
    pub follow_world: Box<FollowWorld>,
}

/// Implementation of the gRPC service, cheap to clone.
#[derive(Clone)]
pub(super) struct Service {
    pub(super) actor: ActorRef<MeshMsg>,
    pub(super) handlers: Arc<MeshHandlers>,
    pub(super) suspects: Arc<SuspectTable>,
    pub(super) limits: Arc<UpstreamLimits>,
    pub(super) share: Arc<SharedFleetShare>,
}

#[tonic::async_trait]
impl MeshService for Service {
    async fn introduce(&self, req: Request<Introduction>) -> Result<Response<MemberList>, Status> {
        let introduction = req.into_inner();
        let other = introduction
            .me
            .as_ref()
            .and_then(convert::record_from_wire)
            .ok_or_else(|| Status::invalid_argument("the introduction has no member"))?;
        self.share.record_report(introduction.size);
        let introduced = Introduced {
            other,
            view_digest: introduction.view,
            known: introduction.known.into_iter().collect(),
            only_announces: introduction.only_announces,
        };
        let (reply, answer) = oneshot::channel();
        let _ = self
            .actor
            .cast(MeshMsg::Introduced(Box::new(introduced), reply));
        let missing = answer
            .await
            .map_err(|_| Status::unavailable("this instance is stopping"))?;
        let same_view = missing.is_none();
        let missing = missing.unwrap_or_default();
        let members = missing.iter().map(convert::record_to_wire).collect();
        Ok(Response::new(MemberList {
            members,
            same_view,
            size: Some(self.share.report()),
        }))
    }

    async fn make_pieces(
        &self,
        req: Request<PiecesAskMessage>,
    ) -> Result<Response<WireAnswer>, Status> {
        let request = stage_request_from_wire(&req.into_inner());
        let answer = (self.handlers.make_pieces)(request).await;
        Ok(Response::new(pieces_answer_to_wire(answer)))
    }

    async fn tell_outlook(
        &self,
        req: Request<OutlookAsk>,
    ) -> Result<Response<OutlookAnswer>, Status> {
        let service: ServiceName = req.into_inner().service.as_str().into();
        let home = (self.handlers.outlook)(&service);
        Ok(Response::new(OutlookAnswer {
            home: home.as_ref().map(outlook_to_wire),
        }))
    }

    async fn free_results(
        &self,
        req: Request<FreeResultsMessage>,
    ) -> Result<Response<FreeResultsAnswer>, Status> {
        let message = req.into_inner();
        (self.handlers.free_results)(ReleasedResults {
            results: results_from_wire(&message.results),
            hold_for: Duration::from_millis(message.hold_ms.into()),
        });
        Ok(Response::new(FreeResultsAnswer {}))
    }

    async fn choose_engine(
        &self,
        req: Request<EngineAskMessage>,
    ) -> Result<Response<EngineChoiceMessage>, Status> {
        let message = req.into_inner();
        self.limits.receive(&message.limits);
        let request = engine_request_from_wire(&message);
        let choice = (self.handlers.choose_engine)(&request);
        let limit = choice
            .as_ref()
            .and_then(|choice| self.limits.for_engine(&choice.upstream));
        Ok(Response::new(choice_to_wire(choice, limit)))
    }

    async fn tell_runs(
        &self,
        req: Request<RunNewsMessage>,
    ) -> Result<Response<RunNewsAnswer>, Status> {
        let message = req.into_inner();
        self.limits.receive(&message.limits);
        let reports: Vec<RunReport> = message.news.iter().map(run_report_from_wire).collect();
        (self.handlers.record_runs)(&message.service.as_str().into(), &reports);
        Ok(Response::new(RunNewsAnswer {}))
    }

    async fn suspects(
        &self,
        req: Request<SuspectReport>,
    ) -> Result<Response<SuspectAnswer>, Status> {
        let answer = self
            .suspects
            .handle_report(MonoTime::now(), &req.into_inner());
        Ok(Response::new(answer))
    }

    async fn record_origins(
        &self,
        req: Request<OriginList>,
    ) -> Result<Response<OriginsRecorded>, Status> {
        let now = MonoTime::now();
        let origins = req.into_inner().origins;
        let records = origins.iter().map(|origin| record_from_wire(now, origin));
        (self.handlers.record_origins)(records.collect());
        Ok(Response::new(OriginsRecorded {}))
    }

    async fn find_origin(&self, req: Request<OriginAsk>) -> Result<Response<OriginAnswer>, Status> {
        let ask = req.into_inner();
        let answer = (self.handlers.find_origin)(key_from_wire(ask.key_high, ask.key_low));
        Ok(Response::new(answer_to_wire(MonoTime::now(), &answer)))
    }

    type FollowStoreStream = BoxStream<'static, Result<WireUpdate, Status>>;

    async fn follow_store(
        &self,
        req: Request<WireHave>,
    ) -> Result<Response<Self::FollowStoreStream>, Status> {
        let have = req.into_inner();
        let updates = (self.handlers.follow_world)(WorldHave {
            config_version: have.config_version,
            upstreams_revision: StoreRevision::from_bits(have.upstreams_revision),
            upstreams_digest: have.upstreams_digest,
            evacuated_revision: StoreRevision::from_bits(have.evacuated_revision),
        });
        let full = || Status::resource_exhausted("this instance has too many followers");
        let updates = updates.ok_or_else(full)?;
        let messages = updates.flat_map(move |update| {
            stream::iter(store_update_to_wire(&update, have.accepts_compressed))
        });
        Ok(Response::new(messages.map(Ok).boxed()))
    }
}
