//! Sources of the store's state: which instances watch the store, and how old the state of the others may get.

mod fleet;
mod freshness;
mod roles;
