//! Calls to the homes of model services.

use std::time::Duration;

use tc_protocol::{
    Member, ServiceName,
    routing::{EngineChoice, EngineRequest, RunReport},
};
use tonic::Request;

use super::{
    Mesh, MeshError,
    handle::no_answer,
    messages::{choice_from_wire, engine_ask_to_wire, news_to_wire},
};
use crate::{generated::RunNewsMessage, peers::timed};

/// Longest wait for a home's choice of an engine. An instance that waits longer chooses by itself, which costs
/// its request less than the wait.
const CHOICE_LIMIT: Duration = Duration::from_millis(60);

impl Mesh {
    /// Asks the home of a model service for an engine; `None` when it knows none.
    pub async fn choose_engine(
        &self,
        home: &Member,
        ask: &EngineRequest,
    ) -> Result<Option<EngineChoice>, MeshError> {
        let mut req = Request::new(engine_ask_to_wire(ask, self.inner.limits.to_ask()));
        req.set_timeout(CHOICE_LIMIT);
        let mut client = self.inner.peers.client(home);
        let choice = client
            .choose_engine(req)
            .await
            .map_err(|status| no_answer(home, &status))?;
        let choice = choice.into_inner();
        self.inner.limits.receive(&choice.limit);
        Ok(choice_from_wire(&choice))
    }

    /// Tells the home that chose engines for runs what became of them.
    pub async fn tell_runs(
        &self,
        home: &Member,
        service: &ServiceName,
        news: &[RunReport],
    ) -> Result<(), MeshError> {
        let req = timed(RunNewsMessage {
            service: service.to_string(),
            news: news.iter().map(news_to_wire).collect(),
            limits: self.inner.limits.to_report(),
        });
        let mut client = self.inner.peers.client(home);
        let answer = client.tell_runs(req).await;
        answer
            .map(|_| ())
            .map_err(|status| no_answer(home, &status))
    }
}
