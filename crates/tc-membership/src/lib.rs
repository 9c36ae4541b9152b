//! Pure state machines for membership, role placement, address sets and configuration spread.
