//! Orders to upstreams. A lease holder plans them and sends them through the upstream's home, which refuses stale
//! fencing tokens.

mod planner;
mod record;
mod relay;

pub(crate) use planner::run as run_planner;
pub(crate) use relay::OrderRelay;
