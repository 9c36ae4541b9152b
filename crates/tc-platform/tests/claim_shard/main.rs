//! The claim shard's state machine on a store in memory.

mod expiry;
mod fake_store;
mod fuzz;
mod steps;
mod world;
