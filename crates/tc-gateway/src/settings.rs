//! Settings of the gateway.

use std::{net::SocketAddr, time::Duration};

use tc_fleet::FleetKeys;
use tc_membership::DrainBudget;
use tc_protocol::Member;
use tc_upstream::DialFilter;

use crate::freeze::SuspendedTime;

/// Settings for [`crate::run()`].
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// This instance, with the addresses that other instances use.
    pub me: Member,
    /// Name of the machine. It stays the same across restarts, unlike the identifier of the
    /// instance.
    pub node_name: String,
    /// Listen address for callers.
    pub listen: SocketAddr,
    /// Listen address for readiness checks.
    pub ready_listen: Option<SocketAddr>,
    /// Listen address for the directory, where callers look up the addresses of instances.
    pub directory_listen: Option<SocketAddr>,
    /// Listen address for metrics.
    pub metrics_listen: Option<SocketAddr>,
    /// Fleet addresses of instances to ask for other members.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate instances to each other.
    pub keys: FleetKeys,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum rate of this instance's store calls, per second.
    pub store_calls_per_s: f64,
    /// Limits on retries, across all instances.
    pub retry_budget: RetryBudgetSettings,
    /// Time between SIGTERM and the end of the process.
    pub grace: Duration,
    /// Time for which an upstream still serves requests after it has announced that it is leaving.
    pub drain_time: Duration,
    /// Maximum time from the store's acknowledgement of a configuration until every instance
    /// applies it.
    pub config_apply_limit: Duration,
    /// Maximum time from the store's acknowledgement of an evacuation until every instance applies
    /// it, or `None` if failure domains are not evacuated and need not be watched.
    pub evacuation_limit: Option<Duration>,
    /// Tolerated excess of the load of cold upstreams over their limit.
    pub cold: ColdAllowance,
    /// Whether upstreams that have just started or recovered are paced.
    pub pace_new_upstreams: bool,
    /// Maximum number of bytes of requests and answers that this process holds at a time.
    pub max_held_bytes: usize,
    /// Maximum time for which callers cache a list of addresses.
    pub address_max_age: Duration,
    /// Returns true if connections to an upstream may be opened; always true except in tests, which
    /// simulate partitions with it.
    pub reaches_upstream: DialFilter,
    /// Returns the time for which the machine was suspended; [`crate::suspended_time`] except in
    /// tests.
    pub suspended: SuspendedTime,
}

/// Tolerated excess of the load of a cold upstream over its limit, across all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Factor applied to the limit in requests per second.
    pub excess: f64,
    /// Additional requests per second.
    pub slack: f64,
}

/// Limits on retries, across all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries within a window.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl GatewaySettings {
    /// Returns the time within which every change in the store must take effect on all instances.
    pub(crate) fn propagation_limit(&self) -> Duration {
        let evacuation_limit = self.evacuation_limit.unwrap_or(self.drain_time);
        let times = [
            DrainBudget::of(self.drain_time).known_within,
            self.config_apply_limit,
            evacuation_limit,
        ];
        times.into_iter().min().unwrap_or_default()
    }
}
