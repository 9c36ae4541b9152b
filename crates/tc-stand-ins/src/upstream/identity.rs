//! Identity of a call's request, read from its headers.

use std::{sync::Arc, time::Instant};

use http::{HeaderMap, HeaderName, HeaderValue};
use tc_protocol::{
    Attempt, RequestId, ServiceName, StageName, UpstreamId,
    wire::{ATTEMPT, IDEMPOTENCY_KEY, PRIORITY, REQUEST_ID, STAGE, Usage},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::recorder::CallRecord;

/// Urgency of a call that names none, as in RFC 9218.
const DEFAULT_PRIORITY: u8 = 3;
/// Headers that upstreams echo.
const ECHOED: [&str; 3] = [REQUEST_ID, STAGE, ATTEMPT];

/// Identity of one call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Identity {
    pub(crate) request: Option<RequestId>,
    pub(crate) stage: Option<StageName>,
    pub(crate) attempt: Attempt,
}

impl Identity {
    pub(crate) fn from_headers(headers: &HeaderMap) -> Self {
        Self {
            request: header_text(headers, REQUEST_ID).map(RequestId::from),
            stage: header_text(headers, STAGE).map(StageName::from),
            attempt: Attempt(
                header_text(headers, ATTEMPT)
                    .and_then(|attempt| attempt.parse().ok())
                    .unwrap_or_default(),
            ),
        }
    }

    /// The record of this call, arriving now.
    pub(crate) fn record(
        &self,
        upstream: &UpstreamId,
        service: &ServiceName,
        idempotency_key: Option<Arc<str>>,
        input: &[u8],
    ) -> CallRecord {
        CallRecord {
            upstream: upstream.clone(),
            service: service.clone(),
            request: self.request.clone(),
            stage: self.stage.clone(),
            attempt: self.attempt,
            idempotency_key,
            input_hash: xxh3_64(input),
            received_at: Instant::now(),
            started_at: None,
            ended_at: None,
            ending: None,
            busy: std::time::Duration::ZERO,
            usage: Usage::default(),
            resumes: 0,
        }
    }
}

/// The caller's idempotency key, if any.
pub(crate) fn idempotency_key(headers: &HeaderMap) -> Option<Arc<str>> {
    header_text(headers, IDEMPOTENCY_KEY).map(Arc::from)
}

/// Urgency from the `priority` header, 0 (most urgent) to 7.
pub(crate) fn priority(headers: &HeaderMap) -> u8 {
    header_text(headers, PRIORITY)
        .and_then(|fields| {
            fields
                .split(',')
                .find_map(|field| field.trim().strip_prefix("u="))
        })
        .and_then(|urgency| urgency.parse().ok())
        .unwrap_or(DEFAULT_PRIORITY)
}

/// The headers of a call that its answer repeats.
pub(crate) fn echoed(headers: &HeaderMap) -> Vec<(HeaderName, HeaderValue)> {
    ECHOED
        .into_iter()
        .filter_map(|name| {
            let value = headers.get(name)?.clone();
            Some((HeaderName::from_static(name), value))
        })
        .collect()
}

/// A header as text; `None` when absent or not text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
