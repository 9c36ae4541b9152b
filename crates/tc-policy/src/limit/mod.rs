//! Fleet-wide limits of one workspace, enforced as expiring shares.
//!
//! The workspace's limit home ([`LimitHome`]) splits the limits by the entries' demand, and each entry enforces its
//! share in a [`ShareBucket`]. An entry without an unexpired share falls back to an equal share.

mod bucket;
mod home;
mod token_bucket;

use std::time::Duration;

pub use bucket::ShareBucket;
pub use home::LimitHome;
pub(crate) use token_bucket::TokenBucket;

/// Time for which a share is valid after the entry receives it.
pub(crate) const SHARE_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which the home counts a share as in use, which includes network delays.
pub(crate) const SHARE_RESERVED_FOR: Duration = Duration::from_secs(3);
/// Time from receiving a share until the entry may raise its rate to the equal share.
///
/// By then the home counts the share as expired and has reserved the equal share, and every share granted before that
/// has expired too.
pub(crate) const EQUAL_SHARE_DELAY: Duration = Duration::from_secs(6);

/// One entry's demand on a workspace's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests attempted per second, including refused ones.
    pub requests_per_s: f64,
    /// Recent peak of concurrent requests, plus 0.5 if the concurrency limit refused any.
    pub concurrency: f64,
    /// Cost units requested per second.
    pub cost_per_s: f64,
    /// The unexpired share that the entry enforces, if any.
    pub held: Option<Share>,
}

/// One entry's share of a workspace's limits. `None` means that there is no such limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub requests_per_s: Option<f64>,
    /// Concurrent requests.
    pub concurrency: Option<f64>,
    /// Cost units per second.
    pub cost_per_s: Option<f64>,
    /// Time until the share expires. Zero means that no new share was granted: the entry keeps the share it holds.
    pub expires_in: Duration,
}
