//! HTTP towards callers: authentication, addresses, pipelines, streams and problem details.
//!
//! Everything this crate needs from the rest of the fleet comes in through [`Ports`].

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
    AddressesPort, AskPort, CallerSettings, CallerTimeouts, ClaimPort, CrashedPort, JoinClaimPort,
    Ports, RanWholePort, RecordPort, SharePort, ViewPort,
};
pub use record::{StageCost, WorkspaceStats};
pub use server::CallerServer;
