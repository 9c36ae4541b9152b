//! Streams of server-sent events to callers, and how callers resume them.

mod event;
mod log;
mod registry;
mod resume;
mod start;

pub(crate) use event::{done_event, text_event};
pub(crate) use log::{StreamEnd, StreamLog, StreamStart};
pub(crate) use registry::StreamRegistry;
pub(crate) use resume::{not_resumable, resume};
pub(crate) use start::{run_into_stream, start_stream, stream_response};
