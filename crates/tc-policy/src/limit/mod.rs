//! Fleet-wide limits of one workspace, enforced as expiring shares.
//!
//! The workspace's limit home ([`LimitHome`]) splits the limits by the entries' demand; each entry enforces its share
//! in a [`ShareBucket`]. An entry without an unexpired share falls back to an equal part.

mod bucket;
mod home;
mod token_bucket;

use std::time::Duration;

pub use bucket::ShareBucket;
pub use home::LimitHome;
pub(crate) use token_bucket::TokenBucket;

/// How long a share lasts after it was received.
pub(crate) const SHARE_LASTS: Duration = Duration::from_secs(2);
/// How long the home takes a share as in use, delays on the way included.
pub(crate) const SHARE_HELD: Duration = Duration::from_secs(3);
/// How long after a share came an entry may rise from it to the equal part: by then the home has taken the share as
/// expired, set the equal part aside, and every share given before has run out too.
pub(crate) const RISE_AFTER: Duration = Duration::from_secs(6);

/// What an entry wants of a workspace's limits.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests a second tried, refused ones included.
    pub requests_per_s: f64,
    /// Most requests in progress at once lately, and a half more if others were refused for that.
    pub concurrency: f64,
    /// Cost units a second wanted.
    pub cost_per_s: f64,
    /// The share that the entry goes by; `None` when it has none that is not expired.
    pub held: Option<Share>,
}

/// One entry's part of a workspace's limits; an absent one does not bind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests a second.
    pub requests_per_s: Option<f64>,
    /// Requests in progress at once.
    pub concurrency: Option<f64>,
    /// Cost units a second.
    pub cost_per_s: Option<f64>,
    /// How long it lasts. Zero: no new share, but keep what there is and use no more than these numbers of it.
    pub expires_in: Duration,
}
