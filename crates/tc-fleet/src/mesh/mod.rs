//! The layer between instances for routed requests: who there is, and calls to the homes of batch services.
//!
//! [`Mesh::start`] runs on the control thread; the handle it gives is used by traffic threads.

mod actor;
mod handle;
mod messages;
mod peers;
mod service;
mod suspects;

pub use handle::{Mesh, MeshSettings, SuspectRun};
pub use messages::{
    Gone, MeshError, PiecesAnswer, UpstreamNews, WorldHave, WorldNews, WorldObject,
};
pub use service::{ChooseEngine, MeshHandlers, TellRuns};
