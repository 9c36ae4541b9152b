//! Pure state machines for membership, role placement, address sets and configuration spread.
//!
//! No sockets, no clock and no runtime: time comes in as [`tc_protocol::MonoTime`], randomness as a seed, and what is
//! to be sent goes out as values. The same inputs always give the same outputs.

mod config_puller;
mod membership;
mod order;
mod pause;
mod placement;
mod plan;
mod rank;
mod shuffle_shard;
mod store_source;
mod view_sync;

pub use config_puller::{ConfigPuller, Pull};
pub use membership::{Membership, MembershipConfig, Message, MessageKind, Outgoing, Record};
pub use order::{OrderGuard, StaleFence};
pub use pause::PauseDetector;
pub use placement::{config_watchers, home_of};
pub use plan::{EngineState, ModelLoad, ModelRequirements, Plan, plan};
pub use shuffle_shard::shuffle_shard;
pub use store_source::{SourceTiming, StoreSource, store_watchers};
pub use view_sync::{ComparisonOutcome, ViewSync};
