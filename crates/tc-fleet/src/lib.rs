//! Communication between instances: membership, homes, permits, workspace shares, suspects and configuration
//! propagation.
//!
//! [`Fleet::start`] runs on the control thread. It returns the [`Fleet`] handle, which traffic threads use.

mod config;
mod convert;
mod entry;
mod error;
mod fleet;
#[allow(clippy::all, clippy::pedantic, missing_docs, unreachable_pub)]
mod generated;
mod gossip;
mod homes;
mod key;
mod limits;
mod loads;
mod mesh;
mod node;
mod orders;
mod peers;
mod quarantine;
mod server;
mod settings;
mod start;
mod store_watch;
mod summary;
mod suspects;

pub use error::FleetError;
pub use fleet::{Fleet, ReportHandlers};
pub use key::FleetKeys;
pub use mesh::{
    BrokenRun, ChooseEngine, EvacuatedDomains, FollowWorld, HomeTable, Mesh, MeshError,
    MeshHandlers, MeshSettings, NewerWorld, PiecesAnswer, RecordRuns, RegistryEntry, Removed,
    ReportOutlook, SharedFleetShare, StoreUpdate, StoredConfig, SuspectTrial, UpstreamLimits,
    UpstreamUpdate, WorldHave,
};
pub use settings::{FleetSettings, PermitPolicy};
