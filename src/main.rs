//! The shipped binary.

fn main() {}
