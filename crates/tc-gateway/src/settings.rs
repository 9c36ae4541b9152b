//! Settings of the gateway.

use std::{net::SocketAddr, time::Duration};

use tc_fleet::FleetKeys;
use tc_protocol::Member;

use crate::freeze::SuspendedTime;

/// What [`crate::run`] needs to know.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// This instance, with the addresses that others are told.
    pub me: Member,
    /// Name of the machine; it stays the same over restarts, the instance's identifier does not.
    pub node_name: String,
    /// Where callers are asked to come to.
    pub listen: SocketAddr,
    /// Where readiness is asked for.
    pub ready_listen: Option<SocketAddr>,
    /// Where callers ask for addresses.
    pub directory_listen: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics_listen: Option<SocketAddr>,
    /// Fleet addresses of instances that may know others.
    pub seeds: Vec<SocketAddr>,
    /// Keys that authenticate instances to each other.
    pub keys: FleetKeys,
    /// The platform's store.
    pub store: SocketAddr,
    /// Calls to the store this instance may make a second.
    pub store_calls_per_s: f64,
    /// How often requests may be sent again, over all instances.
    pub retry_budget: RetryBudgetSettings,
    /// Time between SIGTERM and the end of the process.
    pub grace: Duration,
    /// How long an upstream serves on after it said that it leaves.
    pub drain_time: Duration,
    /// Longest time from the store's acknowledgement of a configuration until every instance applies it.
    pub config_apply_limit: Duration,
    /// How long after the store has acknowledged it an evacuation may take to count on every instance; `None` where
    /// failure domains are not evacuated, so that nobody watches for it.
    pub evacuation_limit: Option<Duration>,
    /// How far beyond what they bear cold upstreams may be driven.
    pub cold: ColdAllowance,
    /// Longest time callers keep a list of addresses.
    pub address_max_age: Duration,
    /// Tells how long the machine was suspended; [`crate::suspended_time`] but in tests.
    pub suspended: SuspendedTime,
}

/// How far beyond what it bears a cold upstream may be driven, by all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdAllowance {
    /// Multiple of the requests a second that it bears.
    pub excess: f64,
    /// Requests a second besides.
    pub slack: f64,
}

/// The fleet's budget for sending requests again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats a request.
    pub ratio: f64,
    /// Repeats in a window besides.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}
