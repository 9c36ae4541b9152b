//! Several instances' fleet layers in one process, over real sockets.

mod common;
mod orders;
mod permits;
mod spread;
