//! A request whose caller has been authenticated.

use std::{sync::Arc, time::Duration};

use http::request::Parts;
use tc_protocol::{
    Deadline, FleetView, MonoTime, PipelineName, ProblemKind, RequestId, Workspace, WorkspaceName,
};

use crate::{
    http::{CallHeaders, Failure, headers::check_size},
    limits::MAX_TIMEOUT,
    run::{AcceptedRequest, RequestContext},
    shared::Shared,
    trace,
};

/// The identifier and arrival time of a request.
pub(crate) struct Arrival {
    pub(crate) id: RequestId,
    pub(crate) counter: u64,
    pub(crate) at: MonoTime,
}

/// An authenticated request: its workspace and the headers that control its execution.
pub(crate) struct Caller {
    pub(crate) arrival: Arrival,
    pub(crate) parts: Parts,
    pub(crate) view: Arc<FleetView>,
    pub(crate) workspace: WorkspaceName,
    pub(crate) headers: CallHeaders,
}

impl Caller {
    pub(crate) fn authenticate(
        shared: &Shared,
        arrival: Arrival,
        parts: Parts,
    ) -> Result<Self, Failure> {
        check_size(&parts.headers, shared.settings.max_header_bytes)?;
        let view = (shared.ports.view)();
        if view.config.revision == 0 {
            return Err(Failure::not_run(
                ProblemKind::NotReady,
                "this instance has no configuration yet; use another address",
            )
            .with_retry_after(crate::limits::RETRY_AFTER));
        }
        let workspace = shared.tokens.workspace_of(&view.config, &parts.headers)?;
        let headers = CallHeaders::read(&parts.headers)?;
        Ok(Self {
            arrival,
            parts,
            view,
            workspace,
            headers,
        })
    }

    /// Returns the deadline that the caller requested, limited to `max` from its arrival.
    pub(crate) fn deadline(&self, max: Duration) -> Deadline {
        let requested = self.headers.timeout.unwrap_or(MAX_TIMEOUT);
        Deadline::from_budget(self.arrival.at, requested.min(max))
    }

    /// Returns the priority that the caller requested, or `default`, limited to the highest priority of its workspace.
    pub(crate) fn priority(&self, default: u8) -> u8 {
        let workspace: Option<&Workspace> = self.view.config.workspaces.get(&self.workspace);
        let highest = workspace.map_or(0, |w| w.highest_priority);
        self.headers.priority.unwrap_or(default).max(highest)
    }

    pub(crate) fn context(
        &self,
        shared: &Arc<Shared>,
        pipeline: Option<PipelineName>,
        deadline: Deadline,
        priority: u8,
    ) -> Arc<RequestContext> {
        let request = AcceptedRequest {
            id: self.arrival.id.clone(),
            counter: self.arrival.counter,
            arrived: self.arrival.at,
            workspace: self.workspace.clone(),
            pipeline,
            deadline,
            priority: self.priority(priority),
            key: self.headers.key.clone(),
            caller_trace: trace::from_caller(self.headers.traceparent.as_deref()),
            view: self.view.clone(),
        };
        RequestContext::new(shared.clone(), request)
    }
}
