//! Request headers for upstreams, and the header filters for requests to and responses from plain services.

use http::{HeaderMap, HeaderValue, header};
use tc_protocol::wire::{
    FORWARDED, IDEMPOTENCY_KEY, INSTANCE, INSTANCE_BINDING, PRIORITY, RUN_STATE, TIMEOUT_MS,
    TRACEPARENT,
};

use crate::{
    call_context::CallContext, error::CallError, hop_by_hop::remove_hop_by_hop, identity::Identity,
};

/// Headers of this system's own interfaces, which neither a caller nor a plain service may set.
const OWN_HEADERS: [&str; 8] = [
    FORWARDED,
    IDEMPOTENCY_KEY,
    INSTANCE,
    INSTANCE_BINDING,
    PRIORITY,
    RUN_STATE,
    TIMEOUT_MS,
    TRACEPARENT,
];

/// The identity and the other headers that every call carries.
#[derive(Debug)]
pub(crate) struct CallHeaders<'a> {
    pub(crate) identity: &'a Identity,
    pub(crate) priority: u8,
    pub(crate) idempotency_key: Option<&'a str>,
    pub(crate) traceparent: Option<&'a str>,
}

impl CallHeaders<'_> {
    /// Adds the headers. Fails if the idempotency key is not a valid header value, as the call must not be sent
    /// without it.
    pub(crate) fn add_to(
        &self,
        headers: &mut HeaderMap,
        context: &CallContext,
    ) -> Result<(), CallError> {
        self.identity.add_to(headers);
        let remaining_ms = context.remaining().as_millis().max(1) as u64;
        headers.insert(TIMEOUT_MS, HeaderValue::from(remaining_ms));
        headers.insert(PRIORITY, urgency(self.priority));
        if let Some(key) = self.idempotency_key {
            let value = HeaderValue::from_str(key)
                .map_err(|_| context.unsendable("the idempotency key cannot be put in a header"))?;
            headers.insert(IDEMPOTENCY_KEY, value);
        }
        if let Some(Ok(value)) = self.traceparent.map(HeaderValue::from_str) {
            headers.insert(TRACEPARENT, value);
        }
        Ok(())
    }
}

/// Returns the urgency parameter of the `priority` header, `u=0` to `u=7` (RFC 9218).
fn urgency(priority: u8) -> HeaderValue {
    const URGENCIES: [&str; 8] = ["u=0", "u=1", "u=2", "u=3", "u=4", "u=5", "u=6", "u=7"];
    HeaderValue::from_static(URGENCIES[usize::from(priority.min(7))])
}

/// Removes the headers that must not be forwarded from a caller to a plain service, such as the caller's token.
pub(crate) fn strip_request(headers: &mut HeaderMap) {
    strip_common(headers);
    for name in [
        header::AUTHORIZATION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::HOST,
    ] {
        headers.remove(name);
    }
}

/// Removes the headers that must not be forwarded from a plain service to a caller.
pub(crate) fn strip_response(headers: &mut HeaderMap) {
    strip_common(headers);
}

fn strip_common(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    for name in OWN_HEADERS {
        headers.remove(name);
    }
    Identity::remove_from(headers);
}
