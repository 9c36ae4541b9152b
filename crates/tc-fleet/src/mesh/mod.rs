//! Membership and RPCs between instances for routed requests.
//!
//! [`Mesh::start`] runs on the control thread. Traffic threads use the handle that it returns.

mod actor;
mod engine_calls;
mod failed_calls;
mod fleet_share;
mod gossiped_world;
mod handle;
mod home_table;
mod limits;
mod members;
mod messages;
mod name_table;
mod origins;
mod outlook_message;
mod peers;
mod service;
mod store_update;
mod stored_config;
mod suspects;

pub use actor::NewerWorld;
pub use fleet_share::SharedFleetShare;
pub use handle::{Mesh, MeshSettings};
pub use home_table::HomeTable;
pub use limits::UpstreamLimits;
pub use messages::{MeshError, PiecesAnswer};
pub use service::{ChooseEngine, FollowWorld, MeshHandlers, RecordRuns, ReportOutlook};
pub use store_update::{
    EvacuatedDomains, RegistryEntry, Removed, StoreUpdate, UpstreamUpdate, WorldHave,
};
pub use stored_config::StoredConfig;
pub use suspects::{BrokenRun, SuspectTrial};
