//! Non-idempotent requests: runs each idempotency key at most once.

mod binding;
mod final_response;
mod forward;
mod run_once;
mod table;

pub(crate) use binding::{KeyOwner, key_owner, owner_unreachable};
pub use final_response::FinalResponse;
pub(crate) use forward::{ForwardedRequest, Forwarder};
pub(crate) use run_once::{KeyedRequest, ResponseSource, run_once, wait_for_response};
pub use table::{KeyTable, KeyTableLimits, KeyVerdict};
