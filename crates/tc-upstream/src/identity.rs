//! The identity of a call. It is sent with the request, echoed in the response, and compared before any part of the
//! response is delivered.

use http::{HeaderMap, HeaderName, HeaderValue};
use tc_protocol::{
    Attempt, RequestId, StageName,
    wire::{ATTEMPT, REQUEST_ID, STAGE},
};

const X_REQUEST_ID: HeaderName = HeaderName::from_static(REQUEST_ID);
const X_STAGE: HeaderName = HeaderName::from_static(STAGE);
const X_ATTEMPT: HeaderName = HeaderName::from_static(ATTEMPT);

/// Request identifier, stage and attempt as header values.
#[derive(Clone, Debug)]
pub(crate) struct Identity([(HeaderName, HeaderValue); 3]);

/// Result of comparing a response's identity headers with those of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Echo {
    /// The response names this call.
    Match,
    /// The response names another call.
    Other,
    /// At least one identity header is missing, and the others match.
    Absent,
}

impl Identity {
    /// Returns `None` if a name contains characters that are invalid in a header value.
    pub(crate) fn new(request: &RequestId, stage: &StageName, attempt: Attempt) -> Option<Self> {
        Some(Self([
            (X_REQUEST_ID, HeaderValue::from_str(request.as_str()).ok()?),
            (
                X_STAGE,
                HeaderValue::from_bytes(stage.as_str().as_bytes()).ok()?,
            ),
            (X_ATTEMPT, HeaderValue::from(attempt.0)),
        ]))
    }

    pub(crate) fn add_to(&self, headers: &mut HeaderMap) {
        for (name, value) in &self.0 {
            headers.insert(name.clone(), value.clone());
        }
    }

    pub(crate) fn remove_from(headers: &mut HeaderMap) {
        for name in [X_REQUEST_ID, X_STAGE, X_ATTEMPT] {
            headers.remove(name);
        }
    }

    /// Returns whether a response has all three identity headers, whichever call they name.
    pub(crate) fn is_complete(headers: &HeaderMap) -> bool {
        [X_REQUEST_ID, X_STAGE, X_ATTEMPT]
            .iter()
            .all(|name| headers.contains_key(name))
    }

    /// Compares a response's identity headers with this identity.
    pub(crate) fn compare(&self, headers: &HeaderMap) -> Echo {
        let mut echo = Echo::Match;
        for (name, sent) in &self.0 {
            match headers.get(name) {
                Some(value) if value == sent => {}
                Some(_) => return Echo::Other,
                None => echo = Echo::Absent,
            }
        }
        echo
    }
}
