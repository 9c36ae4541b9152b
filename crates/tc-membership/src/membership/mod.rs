//! Membership protocol and failure detector.
//!
//! Modelled on SWIM (Das, Gupta, Motivala, 2002). Each instance probes one other at a time, first
//! directly and then through others. An instance that does not reply is suspected, and declared
//! dead unless it refutes the suspicion in time. Updates are piggybacked on the probes, so the cost
//! per instance does not grow with the size of the fleet.

mod announce;
mod config;
mod dissemination;
mod isolation;
mod leaving;
mod machine;
mod message;
mod probe;
mod receive;
mod record;
mod table;
mod tick;
mod view;

pub use config::MembershipConfig;
pub use machine::Membership;
pub use message::{Message, MessageKind, Outgoing};
pub use record::Record;
