//! The node actor. It runs on the control thread and maintains and publishes this instance's view of the fleet.

mod actor;
mod state;
mod table;

pub(crate) use actor::{NodeActor, NodeArgs, NodeMsg, VersionCell};
pub(crate) use state::NodeParts;
