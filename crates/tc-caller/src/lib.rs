//! The HTTP server for callers: authentication, addresses, pipelines, streams and problem details.
//!
//! All dependencies on the rest of the fleet are passed in through [`Ports`].

mod connection;
mod http;
mod idempotency;
mod limits;
mod policy_state;
mod ports;
mod record;
mod run;
mod server;
mod shared;
mod streams;
mod trace;

pub use idempotency::{FinalResponse, KeyTable, KeyTableLimits, KeyVerdict};
pub use ports::{
    AddressesPort, CallerSettings, CallerTimeouts, ClaimPort, Ports, RecordOutcomePort,
    ReportCompletedPort, ReportCrashPort, RequestPermitPort, StartRequestPort, ViewPort,
    WaitForOutcomePort,
};
pub use record::{StageCost, WorkspaceStats};
pub use server::CallerServer;
