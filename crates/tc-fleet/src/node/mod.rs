//! The actor that holds this instance's view of the fleet and publishes it, on the control thread.

mod actor;
mod state;
mod table;

pub(crate) use actor::{NodeActor, NodeArgs, NodeMsg, VersionCell};
pub(crate) use state::NodeParts;
