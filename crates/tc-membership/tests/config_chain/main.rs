//! The whole way of a configuration from the store to every instance, in simulated time: watchers, followers, transfers over
//! slow links, gossip and fetches, while instances and their paths fail.

mod bound;
mod faults;
mod fleet;
mod node;
