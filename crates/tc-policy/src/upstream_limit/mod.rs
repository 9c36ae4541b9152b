//! Rate limits that upstreams announce, kept over all instances together.
//!
//! The home of a service paces its grants at the limit ([`SendPacer`]). Instances that send without a grant, as they cannot reach the
//! home or the service has none, share a part of the limit among few senders ([`UncoordinatedSends`]). [`KnownLimits`] merges what
//! answers and other instances say.

mod known;
mod pacer;
mod uncoordinated;

pub use known::{KnownLimits, LimitChange};
pub use pacer::SendPacer;
pub use uncoordinated::{UncoordinatedSends, UncoordinatedShare};
