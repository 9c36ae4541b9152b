//! Limits that are the same in every installation.

use std::time::Duration;

/// Interval of keep-alive pings on idle HTTP/2 connections, and the timeout for their acknowledgement.
pub(crate) const HTTP2_KEEP_ALIVE: Duration = Duration::from_secs(20);
/// Interval at which a connection checks whether its caller has stopped reading.
pub(crate) const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of concurrent streams of an HTTP/2 connection.
pub(crate) const HTTP2_MAX_STREAMS: u32 = 1_000;
/// Minimum size of the read buffer that hyper accepts for HTTP/1.1.
pub(crate) const HTTP1_MIN_BUF_BYTES: usize = 8_192;
/// Maximum number of headers in an HTTP/1.1 request.
pub(crate) const HTTP1_MAX_HEADERS: usize = 256;

/// Maximum number of bytes of an unused request body that are read before its connection is closed.
pub(crate) const MAX_DRAIN_BYTES: usize = 1_024 * 1_024;
/// Maximum time for reading an unused request body.
pub(crate) const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum duration of any request, whatever its headers request.
pub(crate) const MAX_TIMEOUT: Duration = Duration::from_hours(1);
/// Timeout of calls to plain services that do not specify one.
pub(crate) const DEFAULT_PLAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Priority of calls to plain services that do not specify one; the default of RFC 9218.
pub(crate) const DEFAULT_PLAIN_PRIORITY: u8 = 3;
/// The least urgent priority of RFC 9218.
pub(crate) const LOWEST_PRIORITY: u8 = 7;
/// Maximum length of an idempotency key, in bytes.
pub(crate) const MAX_KEY_BYTES: usize = 256;
/// Default for `Retry-After` if no better estimate is available.
pub(crate) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Number of input bytes that form the prompt prefix for cache affinity.
pub(crate) const PREFIX_BYTES: usize = 256;
/// Approximate number of input bytes per token.
pub(crate) const BYTES_PER_TOKEN: usize = 4;
/// Number of hedges, and of retries, that a service may use before its first calls have added to the budgets.
pub(crate) const BUDGET_BURST: f64 = 3.0;
/// Maximum number of consecutive resumes of a broken generation stream that return no new event.
pub(crate) const MAX_RESUMES_WITHOUT_EVENT: u32 = 3;

/// Time for which a stream without a reader continues, and a finished stream is retained, so that its caller can resume
/// it.
pub(crate) const RESUME_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of unread bytes of a stream before backpressure is applied to the engine.
pub(crate) const MAX_UNREAD_BYTES: usize = 64 * 1_024;
/// Maximum number of bytes of a stream that are retained after they were read, for resuming.
pub(crate) const MAX_RETAINED_BYTES: usize = 64 * 1_024;
/// Maximum number of events of a stream that are retained after they were read, for resuming.
pub(crate) const MAX_RETAINED_EVENTS: usize = 1_024;
/// Maximum number of resumable streams per workspace.
pub(crate) const MAX_STREAMS_PER_WORKSPACE: usize = 256;
/// Maximum number of bytes held by a workspace's resumable streams.
pub(crate) const MAX_STREAM_BYTES_PER_WORKSPACE: usize = 8 * 1_024 * 1_024;

/// Maximum number of requests whose decisions are retained.
pub(crate) const MAX_EXPLANATIONS: usize = 4_096;
/// Maximum number of decisions retained per request.
pub(crate) const MAX_STEPS_PER_REQUEST: usize = 128;
/// Maximum number of workspaces with their own label in metrics. The others share `other`.
pub(crate) const MAX_LABELLED_WORKSPACES: usize = 1_000;

/// Maximum size of a response to a non-idempotent call, in bytes. Such responses are buffered.
pub(crate) const MAX_BUFFERED_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;
/// Maximum size of a response that is recorded in the platform's store, in bytes.
pub(crate) const MAX_RECORDED_BYTES: usize = 16 * 1_024;
/// Timeout for recording an outcome in the platform's store.
pub(crate) const RECORD_TIMEOUT: Duration = Duration::from_secs(10);
