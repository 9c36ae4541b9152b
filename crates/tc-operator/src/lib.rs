//! Command line of the shipped binary: the serve command, configuration commands, operator commands and the
//! admin interface.

mod admin;
mod admin_client;
mod apply;
mod command;
mod commands;
mod error;
mod exit;
mod gateway;
mod log_lines;
mod output;
mod run;
mod secret;
mod serve;
mod settings;

pub use admin::{
    AdminPorts, DrainError, DrainTarget, InstanceReport, Port, StageCost, StatusReport,
    UpstreamReport, WorkspaceReport, serve_admin,
};
pub use commands::{ShownExample, examples};
pub use exit::Exit;
pub use run::{Invocation, execute, run};
pub use secret::Secret;
pub use settings::Settings;
