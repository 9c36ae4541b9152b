//! Conversion between the gateway and the external formats, as plain functions provided by the platform crate.

use std::{net::SocketAddr, time::Duration};

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

/// The location of a client that queries for gateway addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Failure domain, if given.
    pub domain: Option<FailureDomain>,
    /// Region, if given.
    pub region: Option<Region>,
}

/// Kinds and names of the objects in the store.
#[derive(Clone, Copy, Debug)]
pub struct StoreKinds {
    /// Kind of the configuration.
    pub config: &'static str,
    /// Name of the configuration's object.
    pub config_name: &'static str,
    /// Kind of the registered upstreams.
    pub upstreams: &'static str,
    /// Kind of the operators' orders to evacuate a failure domain; each object is named after the domain.
    pub evacuations: &'static str,
    /// Kind of the gateway's own instances.
    pub members: &'static str,
}

/// Functions that encode and decode external formats. They keep no state and make no decisions.
#[derive(Clone, Copy)]
pub struct PlatformCodec {
    /// Decodes the headers of a caller's request.
    pub read_request: fn(&request::Parts) -> Result<RequestHead, HeadError>,
    /// Builds the headers of a request to an upstream from the caller's headers and the gateway's own.
    pub upstream_headers: fn(&HeaderMap, &UpstreamRequestHead<'_>) -> HeaderMap,
    /// Builds the headers of a caller's request that another instance is to serve, given the remaining time. They mark
    /// the request as coming from an instance.
    pub peer_headers: fn(&HeaderMap, Duration) -> HeaderMap,
    /// Decodes the status and headers of an upstream's answer.
    pub read_answer: fn(&response::Parts) -> AnswerHead,
    /// Returns the headers of an upstream's answer that are forwarded to the caller.
    pub caller_headers: fn(&HeaderMap) -> HeaderMap,
    /// Builds the headers of an answer that the gateway gives itself.
    pub own_headers: fn(&str) -> HeaderMap,
    /// Builds a batch call that makes pieces.
    pub batch_call: fn(&[PieceRequest], &UpstreamId) -> Request<Full<Bytes>>,
    /// Decodes the answer to a batch call; `None` if it is invalid.
    pub read_batch: fn(&[u8]) -> Option<Vec<PieceResult>>,
    /// Builds a call that frees results on an upstream.
    pub free_call: fn(&[ResultHandle], &UpstreamId) -> Request<Full<Bytes>>,
    /// Decodes a configuration. Entries that cannot be used are listed as faults; the error says why nothing can be used.
    pub read_config: fn(&Value) -> Result<RoutingConfig, String>,
    /// Decodes a registered upstream from its name in the store, its value and the time it was received.
    pub read_upstream: fn(&str, &Value, MonoTime) -> Result<RegisteredUpstream, String>,
    /// Requests and responses of the store.
    pub store: KindDialect,
    /// Kinds and names in the store.
    pub kinds: StoreKinds,
    /// Parses a query for gateway addresses; `None` if the request is something else.
    pub parse_directory_query: fn(&Uri) -> Option<DirectoryQuery>,
    /// Encodes the answer to such a query: addresses, and how many seconds they may be cached.
    pub encode_directory: fn(&[SocketAddr], u32) -> Bytes,
    /// Returns whether a request is a readiness check.
    pub is_readiness_check: fn(&Uri) -> bool,
}
