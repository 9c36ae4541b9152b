//! `GET /v1/instances`: the addresses that a workspace's callers should use.

use http::{HeaderValue, header::CACHE_CONTROL};
use tc_protocol::ProblemKind;

use crate::{
    http::{CallerResponse, Failure, caller::Caller, json_response},
    shared::Shared,
};

pub(crate) fn addresses(shared: &Shared, caller: &Caller) -> Result<CallerResponse, Failure> {
    let query = caller.parts.uri.query().unwrap_or_default();
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let wanted = pairs.find(|(name, _)| name == "workspace").ok_or_else(|| {
        Failure::bad_request("the query must name the workspace: ?workspace=NAME")
    })?;
    if wanted.1 != caller.workspace.as_str() {
        return Err(Failure::not_run(
            ProblemKind::Forbidden,
            "the token belongs to another workspace",
        ));
    }
    let addresses = (shared.ports.addresses)(&caller.workspace);
    let mut response = json_response(&addresses);
    // The response depends on the token, so shared caches must not store it.
    let cache = format!("private, max-age={}", addresses.max_age_s);
    if let Ok(value) = HeaderValue::from_str(&cache) {
        response.headers_mut().insert(CACHE_CONTROL, value);
    }
    Ok(response)
}
