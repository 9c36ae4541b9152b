//! The world of a scenario: stand-ins in this process, instances of the system as processes beside it.

mod binary;
mod config_folder;
mod instance;
mod ports;
mod ready;
mod relay;
mod run;
mod spec;
mod standard;
mod start;
mod target_places;
mod upstream;

pub use binary::SystemBinary;
pub(crate) use config_folder::{Applied, ConfigFolder};
pub(crate) use ports::free_address;
pub(crate) use relay::DomainCuts;
pub(crate) use run::Run;
pub(crate) use spec::{PolicyChoice, Timing, WorldSpec, example_spec};
pub(crate) use standard::{Shape, standard_flows, standard_spec};
pub(crate) use start::World;
pub(crate) use target_places::{TARGET_DOMAINS, target_places};

/// Secret the instances of a world share; worlds live on loopback addresses for seconds.
const FLEET_KEY: &str = "bench-fleet-key-not-a-secret";
/// Token of the admin interface in a world.
const OPERATOR_TOKEN: &str = "bench-operator-token";
