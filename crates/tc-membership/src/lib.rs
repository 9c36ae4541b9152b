//! Pure state machines for membership, role placement, shuffle sharding, configuration propagation
//! and model placement.
//!
//! They use no sockets, clock or async runtime. Time is passed in as [`tc_protocol::MonoTime`],
//! randomness is seeded, and messages to send are returned as values, so the same inputs always
//! produce the same outputs.

mod config_puller;
mod drain_budget;
mod fleet_share;
mod list_schedule;
mod membership;
mod order;
mod origin_coverage;
mod origin_holders;
mod pause;
mod placement;
mod plan;
mod rendezvous;
mod shuffle_shard;
mod store_probes;
mod store_source;
mod store_sources;
mod stream_origins;
mod view_sync;

pub use config_puller::{ConfigPuller, Pull};
pub use drain_budget::DrainBudget;
pub use fleet_share::{FleetShare, FleetSize};
pub use list_schedule::ListSchedule;
pub use membership::{Membership, MembershipConfig, Message, MessageKind, Outgoing, Record};
pub use order::{OrderGuard, StaleFence};
pub use origin_coverage::{CoverageLog, covers};
pub use origin_holders::{HolderFinding, HolderLog};
pub use pause::PauseDetector;
pub use placement::{config_watchers, home_and_copies, home_of, spread_homes};
pub use plan::{EngineState, ModelLoad, ModelRequirements, Plan, plan};
pub use shuffle_shard::shuffle_shard;
pub use store_probes::{ProbeRole, StoreProbes};
pub use store_source::{SourceTiming, StoreSource};
pub use store_sources::{StoreSources, store_watchers};
pub use stream_origins::{OriginGroup, OriginTable, origin_candidates, origin_holders};
pub use view_sync::{ComparisonOutcome, ViewSync};
