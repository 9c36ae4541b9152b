//! Handling of non-idempotent requests, shared by pipelines and plain services.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use tc_protocol::{ClaimKey, Deadline, MonoTime, ProblemKind};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    http::{CallerResponse, Failure, caller::Caller},
    idempotency::{
        FinalResponse, ForwardedRequest, KeyOwner, KeyedRequest, ResponseSource, key_owner,
        owner_unreachable, wait_for_response,
    },
    run::RequestContext,
    shared::Shared,
};

/// One delivery of a non-idempotent request. The caller may deliver it again with the same key.
pub(crate) struct Delivery {
    /// The pipeline, or the service and path, that the key applies to.
    pub(crate) target: String,
    pub(crate) body: Bytes,
    pub(crate) deadline: Deadline,
}

/// Where a delivery is handled: on this instance, or by another one that has already responded.
pub(crate) enum Routed {
    Local(KeyedRequest),
    Forwarded(CallerResponse),
}

/// Checks the key, and forwards the delivery if its key is bound to another instance.
pub(crate) async fn route_delivery(
    shared: &Arc<Shared>,
    caller: &Caller,
    delivery: Delivery,
) -> Result<Routed, Failure> {
    let key = caller.headers.key.clone().ok_or_else(|| {
        Failure::not_run(
            ProblemKind::KeyRequired,
            "this request may not be repeated; send an Idempotency-Key with it",
        )
    })?;
    if let Some(binding) = &caller.headers.binding {
        let owner = key_owner(&caller.view, binding, caller.headers.forwarded)?;
        if let KeyOwner::Remote(address) = owner {
            let remaining = delivery.deadline.remaining(MonoTime::now());
            let request = forwarded_request(caller, delivery.body, remaining);
            let forwarded = shared
                .forwarder
                .forward(&shared.settings.me, address, request);
            // Even if the error proves that this delivery did not arrive, an earlier one may have.
            return forwarded.await.map(Routed::Forwarded).map_err(|error| {
                let instance = binding.instance.as_str();
                log::warn!(instance = instance, error = error.to_string().as_str(); "failed to forward a keyed request");
                owner_unreachable(&binding.instance)
            });
        }
    }
    Ok(Routed::Local(KeyedRequest {
        body_hash: body_hash(caller, &delivery.body),
        key: ClaimKey {
            workspace: caller.workspace.clone(),
            target: delivery.target,
            key: key.as_ref().to_owned(),
        },
        bound: caller.headers.binding.is_some(),
    }))
}

/// Creates the request to forward to another instance.
pub(crate) fn forwarded_request(
    caller: &Caller,
    body: Bytes,
    remaining: Duration,
) -> ForwardedRequest {
    ForwardedRequest {
        method: caller.parts.method.clone(),
        uri: caller.parts.uri.clone(),
        headers: caller.parts.headers.clone(),
        body,
        remaining,
    }
}

/// Returns the response of a delivery, whichever delivery started the run.
pub(crate) async fn respond(
    cx: &RequestContext,
    source: Result<ResponseSource, Failure>,
) -> Result<CallerResponse, Failure> {
    let result = match source {
        Ok(ResponseSource::Started(receiver)) => {
            // The run itself records how it ended.
            return wait_for_response(cx, receiver)
                .await
                .map(|response| response.to_response(&cx.id));
        }
        Ok(ResponseSource::Joined(receiver)) => wait_for_response(cx, receiver).await,
        Ok(ResponseSource::Completed(response)) => Ok(response),
        Err(failure) => Err(failure),
    };
    let failure = match &result {
        Ok(response) => failure_of(response),
        Err(failure) => Some(failure.clone()),
    };
    cx.finish(failure.as_ref());
    result.map(|response| response.to_response(&cx.id))
}

fn failure_of(response: &FinalResponse) -> Option<Failure> {
    let failed = response.status.is_server_error() || response.status.is_client_error();
    failed.then(|| {
        Failure::new(
            ProblemKind::UpstreamFailed,
            response.run_state,
            "the run of this key failed",
        )
    })
}

fn body_hash(caller: &Caller, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(caller.parts.method.as_str().as_bytes());
    hasher.update(b"\n");
    hasher.update(body);
    hasher.digest()
}
