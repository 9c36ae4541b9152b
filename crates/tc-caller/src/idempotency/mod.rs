//! Non-idempotent requests: at most one run for each key.

mod answer;
mod binding;
mod forward;
mod once;
mod table;

pub use answer::FinalAnswer;
pub(crate) use binding::{Place, place_of, unknown};
pub(crate) use forward::{Forwarder, Onward};
pub(crate) use once::{Keyed, Once, once, wait_for};
pub use table::{Begin, KeyTable, KeyTableLimits};
