//! HTTP client for calls to engines, pools and plain services.

mod call;
mod call_context;
mod check;
mod client;
mod connection;
mod control;
mod error;
mod exchange;
mod headers;
mod hop_by_hop;
mod identity;
mod meter;
mod plain;
mod raw;
mod stage;
mod stream;

pub use call::{PlainCall, PlainResponse, StageCall, StageResponse};
pub use client::{ClientSettings, DialFilter, DialObserver, UpstreamClient};
pub use error::{CallError, CallErrorKind, OrderError};
pub use hop_by_hop::remove_hop_by_hop;
pub use plain::PlainBody;
pub use raw::{RawBody, RawCall, RawResponse};
pub use stream::{EngineStream, StreamItem};
