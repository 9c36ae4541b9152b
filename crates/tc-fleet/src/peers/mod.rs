//! RPCs to other instances: one permit stream per peer, and unary calls over the same channel.

mod pool;
mod stream;

pub(crate) use pool::{PeerPool, TokenInterceptor, channel, timed};
pub(crate) use stream::{ToHome, unused_release};
