//! Tests of batch planning at the home of a service.

mod common;
mod completion;
mod cost;
mod fuzz;
mod handover;
mod inputs;
mod limits;
mod order;
mod overdue;
mod piece_limit;
