//! Headers towards upstreams, and what of a plain service's headers passes either way.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use tc_protocol::wire::{
    FORWARDED, IDEMPOTENCY_KEY, INSTANCE, INSTANCE_BINDING, PRIORITY, RUN_STATE, TIMEOUT_MS,
    TRACEPARENT,
};

use crate::{error::CallError, identity::Identity, site::CallSite};

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers of this system's own interfaces; neither side may speak in its name.
const OURS: [&str; 8] = [
    FORWARDED,
    IDEMPOTENCY_KEY,
    INSTANCE,
    INSTANCE_BINDING,
    PRIORITY,
    RUN_STATE,
    TIMEOUT_MS,
    TRACEPARENT,
];

/// What every call carries beside its identity.
#[derive(Debug)]
pub(crate) struct CallHeaders<'a> {
    pub(crate) identity: &'a Identity,
    pub(crate) priority: u8,
    pub(crate) idempotency_key: Option<&'a str>,
    pub(crate) traceparent: Option<&'a str>,
}

impl CallHeaders<'_> {
    /// Adds the headers; fails when the idempotency key cannot be sent, as the call must not go without it.
    pub(crate) fn add_to(&self, headers: &mut HeaderMap, site: &CallSite) -> Result<(), CallError> {
        self.identity.add_to(headers);
        let left = site.time_left().as_millis().max(1) as u64;
        headers.insert(TIMEOUT_MS, HeaderValue::from(left));
        headers.insert(PRIORITY, urgency(self.priority));
        if let Some(key) = self.idempotency_key {
            let value = HeaderValue::from_str(key)
                .map_err(|_| site.unsendable("the idempotency key cannot be put in a header"))?;
            headers.insert(IDEMPOTENCY_KEY, value);
        }
        if let Some(Ok(value)) = self.traceparent.map(HeaderValue::from_str) {
            headers.insert(TRACEPARENT, value);
        }
        Ok(())
    }
}

/// `u=0` to `u=7`, as in RFC 9218.
fn urgency(priority: u8) -> HeaderValue {
    const URGENCIES: [&str; 8] = ["u=0", "u=1", "u=2", "u=3", "u=4", "u=5", "u=6", "u=7"];
    HeaderValue::from_static(URGENCIES[usize::from(priority.min(7))])
}

/// Removes what must not pass from a caller to a plain service, the caller's token among it.
pub(crate) fn strip_request(headers: &mut HeaderMap) {
    strip_both_ways(headers);
    for name in [
        header::AUTHORIZATION,
        header::CONTENT_LENGTH,
        header::EXPECT,
        header::HOST,
    ] {
        headers.remove(name);
    }
}

/// Removes what must not pass from a plain service to a caller.
pub(crate) fn strip_reply(headers: &mut HeaderMap) {
    strip_both_ways(headers);
}

fn strip_both_ways(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in OURS {
        headers.remove(name);
    }
    Identity::remove_from(headers);
}

/// Names that the `Connection` header declares to concern this connection only.
fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
