//! Bounds that are the same in every installation.

use std::time::Duration;

/// How often an idle HTTP/2 connection is probed, and how long an answer may take.
pub(crate) const HTTP2_KEEP_ALIVE: Duration = Duration::from_secs(20);
/// How often a connection looks whether its caller still takes what is sent.
pub(crate) const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Streams one HTTP/2 connection may have open.
pub(crate) const HTTP2_MAX_STREAMS: u32 = 1_000;
/// Smallest read buffer hyper takes for HTTP/1.1.
pub(crate) const HTTP1_MIN_BUF_BYTES: usize = 8_192;
/// Most headers in one HTTP/1.1 request.
pub(crate) const HTTP1_MAX_HEADERS: usize = 256;

/// Bytes of an unwanted request body that are taken in before its connection is closed.
pub(crate) const MAX_DRAIN_BYTES: usize = 1_024 * 1_024;
/// Longest time for that.
pub(crate) const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time any request may take, whatever its headers ask for.
pub(crate) const MAX_TIMEOUT: Duration = Duration::from_hours(1);
/// Deadline of a call to a plain service that names none.
pub(crate) const DEFAULT_PLAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Priority of a call to a plain service that names none, the default of RFC 9218.
pub(crate) const DEFAULT_PLAIN_PRIORITY: u8 = 3;
/// Least urgent priority of RFC 9218.
pub(crate) const LOWEST_PRIORITY: u8 = 7;
/// Longest idempotency key, in bytes.
pub(crate) const MAX_KEY_BYTES: usize = 256;
/// Hint when to ask again where nothing better is known.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Input bytes of a cached prompt prefix that decide affinity.
pub(crate) const PREFIX_BYTES: usize = 256;
/// Input bytes that make about one token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;
/// Hedges and retries a service may have before its first calls earned any.
pub(crate) const BUDGET_BURST: f64 = 3.0;
/// Times in a row a broken generation stream is resumed at its engine without a new event.
pub(crate) const MAX_RESUMES_WITHOUT_EVENT: u32 = 3;

/// How long a stream without a reader runs on, and a finished one is kept, for its caller to resume.
pub(crate) const RESUME_WINDOW: Duration = Duration::from_secs(5);
/// Bytes of one stream that may wait for its reader before the engine is held back.
pub(crate) const MAX_UNREAD_BYTES: usize = 64 * 1_024;
/// Bytes of one stream kept for resuming after they were read.
pub(crate) const MAX_RETAINED_BYTES: usize = 64 * 1_024;
/// Events of one stream kept for resuming after they were read.
pub(crate) const MAX_RETAINED_EVENTS: usize = 1_024;
/// Streams of one workspace that can be resumed.
pub(crate) const MAX_STREAMS_PER_WORKSPACE: usize = 256;
/// Bytes held by the streams of one workspace that can be resumed.
pub(crate) const MAX_STREAM_BYTES_PER_WORKSPACE: usize = 8 * 1_024 * 1_024;

/// Requests whose decisions are kept.
pub(crate) const MAX_EXPLANATIONS: usize = 4_096;
/// Decisions kept of one request.
pub(crate) const MAX_STEPS_PER_REQUEST: usize = 128;
/// Workspaces that get their own label in metrics; the others share `other`.
pub(crate) const MAX_LABELLED_WORKSPACES: usize = 1_000;

/// Largest answer of a non-idempotent call that is passed on.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;
/// Largest answer that is recorded in the platform's store.
pub(crate) const MAX_RECORDED_BYTES: usize = 16 * 1_024;
/// Longest time recording an outcome in the platform's store may take.
pub(crate) const RECORD_TIMEOUT: Duration = Duration::from_secs(10);
