//! Routes requests by path and method.

use http::{Method, Uri};
use tc_protocol::{PipelineName, ProblemKind, ServiceName};

use crate::http::Failure;

/// The target of a request.
#[derive(Debug)]
pub(crate) enum Route {
    /// `GET /v1/instances`
    Addresses,
    /// `POST /v1/pipelines/{pipeline}`
    Pipeline(PipelineName),
    /// `/v1/services/{service}/{path}`, any method
    Service {
        service: ServiceName,
        /// Path and query for the upstream, with a leading slash.
        path: String,
    },
}

pub(crate) fn route(method: &Method, uri: &Uri) -> Result<Route, Failure> {
    let unknown = || Failure::not_run(ProblemKind::NotFound, format!("no path {}", uri.path()));
    let path = uri.path().strip_prefix("/v1/").ok_or_else(unknown)?;
    if path == "instances" {
        return require_method(method, &Method::GET, "GET").map(|()| Route::Addresses);
    }
    if let Some(pipeline) = path.strip_prefix("pipelines/") {
        if pipeline.is_empty() || pipeline.contains('/') {
            return Err(unknown());
        }
        return require_method(method, &Method::POST, "POST")
            .map(|()| Route::Pipeline(pipeline.into()));
    }
    let rest = path.strip_prefix("services/").ok_or_else(unknown)?;
    let (service, inner) = rest.split_once('/').unwrap_or((rest, ""));
    if service.is_empty() {
        return Err(unknown());
    }
    let path = match uri.query() {
        Some(query) => format!("/{inner}?{query}"),
        None => format!("/{inner}"),
    };
    Ok(Route::Service {
        service: service.into(),
        path,
    })
}

fn require_method(method: &Method, required: &Method, allow: &'static str) -> Result<(), Failure> {
    if method == required {
        return Ok(());
    }
    let detail = format!("method {method} does not fit this path");
    Err(Failure::not_run(ProblemKind::MethodNotAllowed, detail).with_allow(allow))
}
