//! What other instances may call here.

use std::sync::Arc;

use futures::future::BoxFuture;
use ractor::ActorRef;
use tc_protocol::{
    MonoTime,
    routing::{PiecesAsk, ResultHandle},
};
use tokio::sync::oneshot;
use tonic::{Request, Response, Status};

use super::{
    actor::MeshMsg,
    messages::{
        PiecesAnswer, WorldCopy, WorldHave, answer_to_wire, ask_from_wire, copy_to_wire, handles,
    },
};
use crate::{
    convert,
    generated::{
        FreeResultsAnswer, FreeResultsMessage, Introduction, MemberList,
        PiecesAnswer as WireAnswer, PiecesAskMessage, SuspectAnswer, SuspectReport,
        WorldCopy as WireCopy, WorldPull, mesh_server::Mesh as MeshService,
    },
    suspects::SuspectTable,
};

/// What this instance does for others. Futures that are dropped cancel what they stand for.
pub struct MeshHandlers {
    /// Makes the pieces of a stage as the home of its service.
    pub make_pieces: Box<dyn Fn(PiecesAsk) -> BoxFuture<'static, PiecesAnswer> + Send + Sync>,
    /// Gives up results.
    pub free_results: Box<dyn Fn(Vec<ResultHandle>) + Send + Sync>,
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
