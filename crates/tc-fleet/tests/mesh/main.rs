//! Tests of the mesh: calls between instances, and what they report to each other.

mod chains;
mod common;
mod suspects;
