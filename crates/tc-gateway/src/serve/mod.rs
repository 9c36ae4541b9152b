//! Listening: callers' connections, and the small questions that other listeners answer.

mod accept;
mod callers;
mod info;

pub(crate) use accept::{ConnectionLimits, Connections, accept};
pub(crate) use callers::CallerService;
pub(crate) use info::InfoService;
pub use info::MetricsRenderer;
