//! Checks of a routing configuration before it is sent: what is wrong with it, and how it differs from the version in
//! force.

mod check;
mod compare;

pub use check::{Finding, Severity, check_routing};
pub use compare::{RoutingChange, compare_routing};
