//! Endpoints for readiness, the directory of instance addresses, and metrics.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use tc_protocol::{Member, MemberState};

use crate::{
    codec::{DirectoryQuery, PlatformCodec},
    run::{AnswerBody, RunContext, full_body},
    stop::StopState,
};

/// Maximum time for which callers are asked to cache addresses. A dead instance is left out of
/// answers within a second, but a caller that has cached its address notices only at its next
/// request. A short time costs little and limits such failures.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Maximum number of addresses in one answer.
const MAX_ADDRESSES: usize = 64;

/// Renders the metrics of this process as text.
pub type MetricsRenderer = Arc<dyn Fn() -> String + Send + Sync>;

/// Serves readiness, the directory and metrics.
#[derive(Clone)]
pub(crate) struct InfoService {
    pub(crate) cx: Arc<RunContext>,
    pub(crate) stop: Arc<StopState>,
    pub(crate) address_max_age: Duration,
    pub(crate) metrics: MetricsRenderer,
}

impl InfoService {
    /// Reports whether this instance is ready.
    pub(crate) fn ready(&self, req: &Request<Incoming>) -> Response<AnswerBody> {
        if !(self.cx.codec.is_readiness_check)(req.uri()) {
            return text_response(StatusCode::NOT_FOUND, Bytes::new());
        }
        if self.cx.world.load().is_known() && !self.stop.is_stopping() {
            text_response(StatusCode::OK, Bytes::from_static(b"ready\n"))
        } else {
            text_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::from_static(b"not ready\n"),
            )
        }
    }

    /// Reports the addresses that callers should use.
    pub(crate) fn directory(&self, req: &Request<Incoming>) -> Response<AnswerBody> {
        directory(
            &self.cx.codec,
            req.uri(),
            &self.cx.mesh.members(),
            self.address_max_age,
        )
    }

    /// Returns the metrics.
    pub(crate) fn metrics(&self) -> Response<AnswerBody> {
        text_response(StatusCode::OK, Bytes::from((self.metrics)()))
    }
}

fn directory(
    codec: &PlatformCodec,
    uri: &Uri,
    members: &[Member],
    max_age: Duration,
) -> Response<AnswerBody> {
    let Some(query) = (codec.parse_directory_query)(uri) else {
        return text_response(StatusCode::NOT_FOUND, Bytes::new());
    };
    let addresses = addresses_for(members, &query);
    if addresses.is_empty() {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let seconds = MAX_AGE.min(max_age).as_secs().max(1) as u32;
    let mut answer = text_response(
        StatusCode::OK,
        (codec.encode_directory)(&addresses, seconds),
    );
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// Returns the caller addresses of instances that accept new connections, with those in the
/// caller's region first. Instances that reach no upstream are left out while there are others.
fn addresses_for(members: &[Member], query: &DirectoryQuery) -> Vec<SocketAddr> {
    let in_state = |state| members.iter().filter(move |member| member.state == state);
    let mut usable: Vec<&Member> = in_state(MemberState::Alive).collect();
    if usable.is_empty() {
        usable = in_state(MemberState::Isolated).collect();
    }
    usable.sort_by_key(|member| {
        let same_region = query.region.as_ref().is_none_or(|r| *r == member.region);
        (!same_region, member.id.clone())
    });
    usable
        .iter()
        .take(MAX_ADDRESSES)
        .map(|member| member.caller_address)
        .collect()
}

fn text_response(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = status;
    answer
}
