//! Streams of server-sent events towards callers, and their resuming.

mod event;
mod log;
mod registry;
mod resume;
mod start;

pub(crate) use event::{done_event, text_event};
pub(crate) use log::{End, Opening, StreamLog};
pub(crate) use registry::StreamRegistry;
pub(crate) use resume::{gone, resume};
pub(crate) use start::{run_into, start, stream_response};
