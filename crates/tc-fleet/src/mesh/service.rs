//! What other instances may call here.

use std::sync::Arc;

use futures::future::BoxFuture;
use ractor::ActorRef;
use tc_protocol::{
    MonoTime, ServiceName,
    routing::{EngineAsk, EngineChoice, PiecesAsk, ResultHandle, RunReport},
};
use tokio::sync::oneshot;
use tonic::{Request, Response, Status};

use super::{
    actor::MeshMsg,
    messages::{
        PiecesAnswer, WorldCopy, WorldHave, answer_to_wire, ask_from_wire, choice_to_wire,
        copy_to_wire, engine_ask_from_wire, handles, news_from_wire,
    },
};
use crate::{
    convert,
    generated::{
        EngineAskMessage, EngineChoiceMessage, FreeResultsAnswer, FreeResultsMessage, Introduction,
        MemberList, PiecesAnswer as WireAnswer, PiecesAskMessage, RunNewsAnswer, RunNewsMessage,
        SuspectAnswer, SuspectReport, WorldCopy as WireCopy, WorldPull,
        mesh_server::Mesh as MeshService,
    },
    suspects::SuspectTable,
};

/// Chooses an engine for a prompt; `None` when none is known.
pub type ChooseEngine = dyn Fn(&EngineAsk) -> Option<EngineChoice> + Send + Sync;
/// Takes up what became of runs of a service.
pub type TellRuns = dyn Fn(&ServiceName, &[RunReport]) + Send + Sync;

/// What this instance does for others. Futures that are dropped cancel what they stand for.
pub struct MeshHandlers {
    /// Makes the pieces of a stage as the home of its service.
    pub make_pieces: Box<dyn Fn(PiecesAsk) -> BoxFuture<'static, PiecesAnswer> + Send + Sync>,
    /// Gives up results.
    pub free_results: Box<dyn Fn(Vec<ResultHandle>) + Send + Sync>,
    /// Chooses an engine as the home of its service.
    pub choose_engine: Box<ChooseEngine>,
    /// Takes up what became of runs whose engines were chosen here.
    pub tell_runs: Box<TellRuns>,
    /// What is known here of the store beyond what the asker has.
    pub world: Box<dyn Fn(WorldHave) -> WorldCopy + Send + Sync>,
}

/// The service; cheap to clone.
#[derive(Clone)]
pub(super) struct Service {
    pub(super) node: ActorRef<MeshMsg>,
    pub(super) handlers: Arc<MeshHandlers>,
    pub(super) suspects: Arc<SuspectTable>,
}

#[tonic::async_trait]
impl MeshService for Service {
    async fn introduce(&self, req: Request<Introduction>) -> Result<Response<MemberList>, Status> {
        let newcomer = req
            .into_inner()
            .me
            .as_ref()
            .and_then(convert::record_from_wire)
            .ok_or_else(|| Status::invalid_argument("the introduction has no member"))?;
        let (reply, answer) = oneshot::channel();
        let _ = self
            .node
            .cast(MeshMsg::Introduced(Box::new(newcomer), reply));
        let records = answer
            .await
            .map_err(|_| Status::unavailable("this instance is stopping"))?;
        let members = records.iter().map(convert::record_to_wire).collect();
        Ok(Response::new(MemberList { members }))
    }

    async fn make_pieces(
        &self,
        req: Request<PiecesAskMessage>,
    ) -> Result<Response<WireAnswer>, Status> {
        let ask = ask_from_wire(&req.into_inner());
        let answer = (self.handlers.make_pieces)(ask).await;
        Ok(Response::new(answer_to_wire(answer)))
    }

    async fn free_results(
        &self,
        req: Request<FreeResultsMessage>,
    ) -> Result<Response<FreeResultsAnswer>, Status> {
        (self.handlers.free_results)(handles(&req.into_inner().results));
        Ok(Response::new(FreeResultsAnswer {}))
    }

    async fn choose_engine(
        &self,
        req: Request<EngineAskMessage>,
    ) -> Result<Response<EngineChoiceMessage>, Status> {
        let ask = engine_ask_from_wire(&req.into_inner());
        let choice = (self.handlers.choose_engine)(&ask);
        Ok(Response::new(choice_to_wire(choice)))
    }

    async fn tell_runs(
        &self,
        req: Request<RunNewsMessage>,
    ) -> Result<Response<RunNewsAnswer>, Status> {
        let message = req.into_inner();
        let news: Vec<RunReport> = message.news.iter().map(news_from_wire).collect();
        (self.handlers.tell_runs)(&message.service.as_str().into(), &news);
        Ok(Response::new(RunNewsAnswer {}))
    }

    async fn suspects(
        &self,
        req: Request<SuspectReport>,
    ) -> Result<Response<SuspectAnswer>, Status> {
        let answer = self.suspects.answer(MonoTime::now(), &req.into_inner());
        Ok(Response::new(answer))
    }

    async fn pull_world(&self, req: Request<WorldPull>) -> Result<Response<WireCopy>, Status> {
        let pull = req.into_inner();
        let copy = (self.handlers.world)(WorldHave {
            config_version: pull.config_version,
            upstreams_revision: pull.upstreams_revision,
        });
        Ok(Response::new(copy_to_wire(&copy)))
    }
}
