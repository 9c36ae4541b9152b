//! Rate limits that upstreams announce, enforced across all instances.
//!
//! The home of a service paces its grants at the limit ([`SendPacer`]). Instances send without a grant if they cannot
//! reach the home or the service has none; a few of them share a part of the limit ([`UncoordinatedSends`]).
//! [`KnownLimits`] merges the limits learned from answers and from other instances.

mod known;
mod pacer;
mod uncoordinated;

pub use known::{KnownLimits, LimitChange};
pub use pacer::SendPacer;
pub use uncoordinated::{UncoordinatedSends, UncoordinatedShare};
