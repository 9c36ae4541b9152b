//! Limits on the number of pieces of a stage, a number that callers choose.

use std::time::Duration;

use tc_protocol::routing::BatchSpec;

/// Maximum number of pieces of a stage of one request.
///
/// The home of a service keeps state for each piece, and each call with a piece that reads the results of a stage lists
/// all of them.
pub const MAX_STAGE_PIECES: u32 = 4_096;

/// Returns the number of pieces that idle upstreams can make within `remaining`, if a call takes no longer than its fixed
/// time; at most [`MAX_STAGE_PIECES`].
///
/// ```
/// use std::time::Duration;
/// use tc_policy::{MAX_STAGE_PIECES, max_stage_pieces};
/// use tc_protocol::routing::BatchSpec;
/// let spec = BatchSpec {
///     slots: 1,
///     queue_capacity: 2,
///     max_pieces: 14,
///     call_overhead: Duration::from_millis(200),
///     piece_time: Duration::from_millis(12),
///     result_capacity_bytes: 32_000_000,
///     result_ttl: Duration::from_secs(4),
///     link_bytes_per_s: 1.25e9,
/// };
/// assert_eq!(max_stage_pieces(&spec, 5, Duration::from_secs(2)), 5 * 14 * 10);
/// assert_eq!(max_stage_pieces(&spec, 5, Duration::from_secs(3_600)), MAX_STAGE_PIECES);
/// ```
#[must_use]
pub fn max_stage_pieces(spec: &BatchSpec, upstreams: usize, remaining: Duration) -> u32 {
    if spec.call_overhead.is_zero() {
        return MAX_STAGE_PIECES;
    }
    let calls = remaining
        .as_nanos()
        .div_ceil(spec.call_overhead.as_nanos())
        .max(1)
        .saturating_mul(u128::from(spec.slots))
        .saturating_mul(upstreams as u128);
    let pieces = calls.saturating_mul(spec.max_pieces as u128);
    u32::try_from(pieces)
        .unwrap_or(MAX_STAGE_PIECES)
        .min(MAX_STAGE_PIECES)
}
