//! Tests of the claim shard's state machine on an in-memory store.

mod expiry;
mod fake_store;
mod fuzz;
mod simulation;
mod steps;
