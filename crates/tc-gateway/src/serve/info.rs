//! Small questions: is this instance ready, which addresses are callers to use, what do its metrics say.

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

/// How long callers are asked to keep addresses. An instance that dies is left out of answers within a second; a
/// caller that has its address finds out at its next request, so a short time costs little and mends much.
const MAX_AGE: Duration = Duration::from_secs(2);
/// Most addresses in one answer.
const MOST_ADDRESSES: usize = 64;

/// Renders the metrics of this process.
pub type MetricsText = Arc<dyn Fn() -> String + Send + Sync>;

/// Answers small questions.
#[derive(Clone)]
pub(crate) struct InfoService {
    pub(crate) cx: Arc<RunContext>,
    pub(crate) stop: Arc<StopState>,
    pub(crate) address_max_age: Duration,
    pub(crate) metrics: MetricsText,
}

impl InfoService {
    /// Answers whether this instance is ready.
    pub(crate) fn ready(&self, req: &Request<Incoming>) -> Response<AnswerBody> {
        if !(self.cx.codec.is_readiness_check)(req.uri()) {
            return text(StatusCode::NOT_FOUND, Bytes::new());
        }
        if self.cx.world.load().is_known() && !self.stop.is_stopping() {
            text(StatusCode::OK, Bytes::from_static(b"ready\n"))
        } else {
            text(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::from_static(b"not ready\n"),
            )
        }
    }

    /// Answers which addresses callers are to use.
    pub(crate) fn directory(&self, req: &Request<Incoming>) -> Response<AnswerBody> {
        directory(
            &self.cx.codec,
            req.uri(),
            &self.cx.mesh.members(),
            self.address_max_age,
        )
    }

    /// Answers with the metrics.
    pub(crate) fn metrics(&self) -> Response<AnswerBody> {
        text(StatusCode::OK, Bytes::from((self.metrics)()))
    }
}

fn directory(
    codec: &PlatformCodec,
    uri: &Uri,
    members: &[Member],
    longest: Duration,
) -> Response<AnswerBody> {
    let Some(question) = (codec.parse_directory_query)(uri) else {
        return text(StatusCode::NOT_FOUND, Bytes::new());
    };
    let addresses = addresses_for(members, &question);
    if addresses.is_empty() {
        return text(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let seconds = MAX_AGE.min(longest).as_secs().max(1) as u32;
    let mut answer = text(
        StatusCode::OK,
        (codec.encode_directory)(&addresses, seconds),
    );
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
}

/// Addresses of instances that take new connections: those of the caller's region first.
fn addresses_for(members: &[Member], question: &DirectoryQuery) -> Vec<SocketAddr> {
    let mut usable: Vec<&Member> = members
        .iter()
        .filter(|member| member.state == MemberState::Alive)
        .collect();
    usable.sort_by_key(|member| {
        let same_region = question.region.as_ref().is_none_or(|r| *r == member.region);
        (!same_region, member.id.clone())
    });
    usable
        .iter()
        .take(MOST_ADDRESSES)
        .map(|member| member.caller_address)
        .collect()
}

fn text(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = status;
    answer
}
