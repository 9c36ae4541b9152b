//! Membership: which instances there are, and which of them answer.
//!
//! Modelled on SWIM (Das, Gupta, Motivala, 2002): each instance probes one other at a time, directly and then through
//! others; one that does not answer is suspected, and dead unless it refutes in time; what is learned travels on the
//! probes themselves, so the cost per instance does not grow with their number.

mod announce;
mod config;
mod dissemination;
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
