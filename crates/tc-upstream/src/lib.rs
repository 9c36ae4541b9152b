//! Calls to engines, pools and plain services.

mod call;
mod client;
mod error;
mod plain;
mod stream;

pub use call::{PlainCall, PlainReply, StageCall, StageReply};
pub use client::{ClientSettings, UpstreamClient};
pub use error::{CallError, CallErrorKind, OrderError};
pub use plain::PlainBody;
pub use stream::{EngineStream, StreamItem};
