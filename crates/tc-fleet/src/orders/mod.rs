//! Orders to upstreams: planned by a lease holder, passed through the upstream's home, which refuses old fencing
//! numbers.

mod desk;
mod planner;
mod record;

pub(crate) use desk::OrderDesk;
pub(crate) use planner::run as run_planner;
