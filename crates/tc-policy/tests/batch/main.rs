//! Batch planning at the home of a service.

mod common;
mod ends;
mod fuzz;
mod handing;
mod inputs;
mod limits;
mod order;
