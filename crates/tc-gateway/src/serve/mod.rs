//! Serving of callers' requests and of the readiness, directory and metrics endpoints.

mod accept;
mod callers;
mod destination;
mod info;
mod request_body;

pub(crate) use accept::{ConnectionLimits, Connections, accept};
pub(crate) use callers::CallerService;
pub(crate) use info::InfoService;
pub use info::MetricsRenderer;
