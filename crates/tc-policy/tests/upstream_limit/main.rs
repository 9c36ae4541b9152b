//! Simulates a fleet, in simulated time, that calls an upstream with an announced rate limit.
//!
//! Simulated: instances whose views of the home differ for a while, homes that are killed, freeze or move, delayed
//! reports and gossip, and answers that arrive out of order. Real: the planner, the known limits, and the
//! uncoordinated sends.

mod arrivals;
mod faults;
mod fuzz;
mod scenarios;
mod simulation;
mod strategies;
#[path = "../support/mod.rs"]
mod support;
