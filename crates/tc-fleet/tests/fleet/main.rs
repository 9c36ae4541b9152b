//! Tests of several fleet layers in one process over real sockets.

mod addresses;
mod common;
mod limits;
mod orders;
mod permits;
mod spread;
mod suspects;
