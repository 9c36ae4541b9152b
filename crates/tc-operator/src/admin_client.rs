//! Client of an instance's admin interface.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use tc_protocol::TcError;

use crate::{
    Secret,
    admin::ErrorReport,
    command::{ADMIN, Context},
    error::CommandError,
    settings,
};

/// Longest time one call may take; the instance may have to ask others for its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Far above what a fleet of hundreds of instances answers.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Help text for an answer that is not from an admin interface.
const NOT_ADMIN_HELP: &str = "--admin takes the address an instance was given as --admin-listen";
/// Help text for a connection that breaks.
const LOST_HELP: &str =
    "try again, ask another instance, or check that this is an address given as --admin-listen";

/// Progress of a call that got no answer.
enum Lost {
    /// No byte of it was sent.
    Request(String),
    /// It may have been carried out.
    Answer(String),
}

/// Calls one instance.
pub(crate) struct AdminClient {
    address: SocketAddr,
    token: Secret,
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl AdminClient {
    /// The client that the command's arguments and environment describe.
    pub(crate) fn from_context(cx: &Context<'_>) -> Result<Self, CommandError> {
        let address = cx.address(&ADMIN)?;
        let token = settings::operator_token(&cx.arguments)?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        Ok(Self {
            address,
            token,
            client,
        })
    }

    /// Reads what is at `path`.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let body = self.call(Method::GET, path).await?;
        serde_json::from_slice(&body).map_err(|e| {
            let problem = format!("its answer cannot be understood: {e}");
            self.unavailable(
                problem,
                "check that this is an admin interface of the same version",
            )
        })
    }

    /// Calls `path` and returns the body of a 200 answer.
    pub(crate) async fn call(&self, method: Method, path: &str) -> Result<Bytes, CommandError> {
        let changes = method != Method::GET;
        let answer = tokio::time::timeout(CALL_TIMEOUT, self.exchange(method, path)).await;
        match answer.unwrap_or_else(|_| Err(Lost::Answer(format!("none in {CALL_TIMEOUT:?}")))) {
            Ok((StatusCode::OK, body)) => Ok(body),
            Ok((status, body)) => Err(self.refused(status, &body)),
            // Calling this unreachable would say that nothing was done.
            Err(Lost::Answer(problem)) if changes => Err(CommandError::OutcomeUnknown {
                problem: format!("{}: the answer was lost: {problem}", self.address),
                help: "give the command again; to do it twice is harmless".to_owned(),
            }),
            Err(Lost::Answer(problem)) => {
                let problem = format!("the answer was lost: {problem}");
                Err(self.unavailable(problem, LOST_HELP))
            }
            Err(Lost::Request(problem)) => {
                let help = "check the address and that the instance runs; any instance will do";
                Err(self.unavailable(problem, help))
            }
        }
    }

    async fn exchange(&self, method: Method, path: &str) -> Result<(StatusCode, Bytes), Lost> {
        let authorization = format!("Bearer {}", self.token.expose());
        let req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, authorization)
            .body(Empty::new())
            .map_err(|e| Lost::Request(e.to_string()))?;
        let answer = self.client.request(req).await.map_err(|e| {
            if e.is_connect() {
                Lost::Request("cannot connect".to_owned())
            } else {
                Lost::Answer(e.to_string())
            }
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await;
        let body = body.map_err(|e| Lost::Answer(e.to_string()))?;
        Ok((status, body.to_bytes()))
    }

    fn refused(&self, status: StatusCode, body: &[u8]) -> CommandError {
        if status == StatusCode::UNAUTHORIZED {
            return TcError::Setting {
                name: settings::OPERATOR_TOKEN.to_owned(),
                problem: format!("{} does not accept this token", self.address),
                help: "use the token that the instances were started with".to_owned(),
            }
            .into();
        }
        let Ok(ErrorReport { error: problem }) = serde_json::from_slice(body) else {
            let address = self.address;
            let problem =
                format!("{address} answers with status {status}, not as an admin interface does");
            let help = NOT_ADMIN_HELP.to_owned();
            return CommandError::Failed { problem, help };
        };
        let help = match status {
            StatusCode::NOT_FOUND => {
                "`status` and `upstreams` list the names; a request's id is the x-request-id of its answer"
            }
            StatusCode::SERVICE_UNAVAILABLE => "nothing was changed; try again later",
            _ => "see the instance's log",
        };
        CommandError::Failed {
            problem,
            help: help.to_owned(),
        }
    }

    fn unavailable(&self, problem: impl Into<String>, help: &str) -> CommandError {
        TcError::Peer {
            peer: format!("instance at {}", self.address),
            problem: problem.into(),
            help: help.to_owned(),
        }
        .into()
    }
}
