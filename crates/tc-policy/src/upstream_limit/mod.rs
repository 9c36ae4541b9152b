//! Rate limits that upstreams announce, kept over all instances together.
//!
//! The home of a service paces its grants at the limit ([`PacedSends`]). Instances that send without a grant, as they cannot reach the
//! home or the service has none, share a part of the limit among few senders ([`LoneSends`]). [`KnownLimits`] merges what
//! answers and other instances say.

mod known;
mod lone;
mod pace;

pub use known::{KnownLimits, LimitChange};
pub use lone::{LoneSends, LoneShare};
pub use pace::PacedSends;
