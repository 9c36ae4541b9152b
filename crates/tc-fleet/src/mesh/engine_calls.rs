//! RPCs to the homes of model services.

use std::time::Duration;

use tc_protocol::{
    Member, ServiceName,
    routing::{EngineChoice, EngineRequest, RunReport},
};
use tonic::Request;

use super::{
    Mesh, MeshError,
    handle::call_error,
    messages::{choice_from_wire, engine_request_to_wire, run_report_to_wire},
};
use crate::{generated::RunNewsMessage, peers::timed};

/// Timeout for a home's choice of an engine. After it, the instance chooses an engine itself, which delays the request
/// less than waiting longer would.
const CHOICE_TIMEOUT: Duration = Duration::from_millis(60);

impl Mesh {
    /// Asks the home of a model service to choose an engine. Returns `None` if the home knows no engine.
    pub async fn choose_engine(
        &self,
        home: &Member,
        request: &EngineRequest,
    ) -> Result<Option<EngineChoice>, MeshError> {
        let mut req = Request::new(engine_request_to_wire(
            request,
            self.inner.limits.to_engine_request(),
        ));
        req.set_timeout(CHOICE_TIMEOUT);
        let mut client = self.inner.peers.client(home);
        let choice = client
            .choose_engine(req)
            .await
            .map_err(|status| call_error(home, &status))?;
        let choice = choice.into_inner();
        self.inner.limits.receive(&choice.limit);
        Ok(choice_from_wire(&choice))
    }

    /// Reports the progress of runs to the home that chose their engines.
    pub async fn report_runs(
        &self,
        home: &Member,
        service: &ServiceName,
        reports: &[RunReport],
    ) -> Result<(), MeshError> {
        let req = timed(RunNewsMessage {
            service: service.to_string(),
            news: reports.iter().map(run_report_to_wire).collect(),
            limits: self.inner.limits.to_report(),
        });
        let mut client = self.inner.peers.client(home);
        let answer = client.tell_runs(req).await;
        answer
            .map(|_| ())
            .map_err(|status| call_error(home, &status))
    }
}
