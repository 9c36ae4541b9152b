//! What the gateway needs to know of the outside's spelling, as plain functions.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Request, Uri, request, response};
use http_body_util::Full;
use serde_json::Value;
use tc_platform::KindDialect;
use tc_protocol::{
    FailureDomain, MonoTime, Region, UpstreamId,
    routing::{PieceRequest, PieceResult, RegisteredUpstream, ResultHandle, RoutingConfig},
};

use crate::call::{AnswerHead, HeadError, RequestHead, UpstreamRequestHead};

/// Where a caller that asks for addresses is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Its failure domain, if told.
    pub domain: Option<FailureDomain>,
    /// Its region, if told.
    pub region: Option<Region>,
}

/// Names under which objects lie in the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreKinds {
    /// Kind of the configuration.
    pub config: &'static str,
    /// Name of the configuration's object.
    pub config_name: &'static str,
    /// Kind of the registered upstreams.
    pub upstreams: &'static str,
    /// Kind of the operators' orders to evacuate a failure domain, each named like the domain.
    pub evacuations: &'static str,
    /// Kind of this system's own instances.
    pub members: &'static str,
}

/// The outside's spelling. Functions only translate: they keep no state and decide nothing.
#[derive(Clone, Copy)]
pub struct PlatformCodec {
    /// Decodes a caller's headers.
    pub read_request: fn(&request::Parts) -> Result<RequestHead, HeadError>,
    /// Headers of a request to an upstream, from the caller's headers and the system's own.
    pub upstream_headers: fn(&HeaderMap, &UpstreamRequestHead<'_>) -> HeaderMap,
    /// Decodes an upstream's answer.
    pub read_answer: fn(&response::Parts) -> AnswerHead,
    /// Headers of an upstream's answer that go on to the caller.
    pub caller_headers: fn(&HeaderMap) -> HeaderMap,
    /// Headers of an answer of the system's own.
    pub own_headers: fn(&str) -> HeaderMap,
    /// A call that makes pieces.
    pub batch_call: fn(&[PieceRequest], &UpstreamId) -> Request<Full<Bytes>>,
    /// Decodes the answer of such a call; `None` when it does not fit.
    pub read_batch: fn(&[u8]) -> Option<Vec<PieceResult>>,
    /// A call that gives up results.
    pub free_call: fn(&[ResultHandle]) -> Request<Full<Bytes>>,
    /// Decodes and validates a configuration; the error says what is wrong and where.
    pub read_config: fn(&Value) -> Result<RoutingConfig, String>,
    /// Decodes a registered upstream by its name in the store, as heard at that moment.
    pub read_upstream: fn(&str, &Value, MonoTime) -> Result<RegisteredUpstream, String>,
    /// How the store is spoken to.
    pub store: KindDialect,
    /// Names in the store.
    pub kinds: StoreKinds,
    /// Reads a caller's question for addresses; `None` when it is another request.
    pub parse_directory_query: fn(&Uri) -> Option<DirectoryQuery>,
    /// Answers it with addresses and how many seconds they may be kept.
    pub encode_directory: fn(&[SocketAddr], u32) -> Bytes,
    /// Whether a request asks if this instance is ready.
    pub is_readiness_check: fn(&Uri) -> bool,
}
