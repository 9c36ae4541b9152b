//! Pure state machines for membership, role placement, address sets and configuration spread.
//!
//! No sockets, no clock and no runtime: time comes in as [`tc_protocol::MonoTime`], randomness as a seed, and what is
//! to be sent goes out as values. The same inputs always give the same outputs.

mod addresses;
mod membership;
mod order;
mod pause;
mod placement;
mod plan;
mod rank;
mod spread;
mod store_source;
mod view_sync;

pub use addresses::addresses;
pub use membership::{Kind, Membership, MembershipConfig, Message, Outgoing, Record};
pub use order::{OrderGuard, StaleFence};
pub use pause::PauseDetector;
pub use placement::{home_of, watchers};
pub use plan::{EngineState, Load, ModelNeed, Plan, plan};
pub use spread::{Pull, Spread};
pub use store_source::{SourceTiming, StoreSource, store_watchers};
pub use view_sync::{Compared, ViewSync};
