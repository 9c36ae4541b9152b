//! A fleet in simulated time before an upstream that announces a rate limit.
//!
//! What is simulated: instances whose views of the home differ for a while, homes that are killed, freeze or move, reports and gossip
//! that take time, answers that overtake each other. What is real: the planner, the known limits, the shares without a home.

mod faults;
mod fuzz;
mod judge;
mod scenarios;
#[path = "../support/mod.rs"]
mod support;
mod ways;
mod world;
