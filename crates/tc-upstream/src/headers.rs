//! Headers towards upstreams, and what of a plain service's headers passes either way.

use http::{HeaderMap, HeaderValue, header};
use tc_protocol::wire::{
    FORWARDED, IDEMPOTENCY_KEY, INSTANCE, INSTANCE_BINDING, PRIORITY, RUN_STATE, TIMEOUT_MS,
    TRACEPARENT,
};

use crate::{error::CallError, hop_by_hop::remove_hop_by_hop, identity::Identity, site::CallSite};

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
    remove_hop_by_hop(headers);
    for name in OURS {
        headers.remove(name);
    }
    Identity::remove_from(headers);
}
