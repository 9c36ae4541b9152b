//! The flags of `serve`, each with its environment variable.

use crate::command::{Flag, PLATFORM};

/// Variable with the keys between instances.
pub(crate) const FLEET_KEY: &str = "TANAGERCROFT_FLEET_KEY";
/// Variable with the token operators authenticate with.
pub(crate) const OPERATOR_TOKEN: &str = "TANAGERCROFT_OPERATOR_TOKEN";

pub(super) const INSTANCE_ID: Flag = Flag::value(
    "--instance-id",
    "NAME",
    "TANAGERCROFT_INSTANCE_ID",
    "name of this instance, unique in the fleet",
);
pub(super) const LISTEN: Flag = Flag::value(
    "--listen",
    "IP:PORT",
    "TANAGERCROFT_LISTEN",
    "where callers connect; they are told this address",
);
pub(super) const FLEET_LISTEN: Flag = Flag::value(
    "--fleet-listen",
    "IP:PORT",
    "TANAGERCROFT_FLEET_LISTEN",
    "where instances connect, TCP and UDP",
);
pub(super) const FLEET_ADVERTISE: Flag = Flag::value(
    "--fleet-advertise",
    "IP:PORT",
    "TANAGERCROFT_FLEET_ADVERTISE",
    "what other instances are told to connect to (default: --fleet-listen)",
);
pub(super) const ADMIN_LISTEN: Flag = Flag::value(
    "--admin-listen",
    "IP:PORT",
    "TANAGERCROFT_ADMIN_LISTEN",
    "where operators connect",
);
pub(super) const FAILURE_DOMAIN: Flag = Flag::value(
    "--failure-domain",
    "NAME",
    "TANAGERCROFT_FAILURE_DOMAIN",
    "what this instance fails together with",
);
pub(super) const REGION: Flag = Flag::value(
    "--region",
    "NAME",
    "TANAGERCROFT_REGION",
    "region of the failure domain (default: default)",
);
pub(super) const SEEDS: Flag = Flag::value(
    "--seeds",
    "IP:PORT,…",
    "TANAGERCROFT_SEEDS",
    "fleet addresses to ask when the platform cannot be reached",
);
pub(super) const TRAFFIC_THREADS: Flag = Flag::value(
    "--traffic-threads",
    "N",
    "TANAGERCROFT_TRAFFIC_THREADS",
    "threads that carry traffic (default: 2)",
);
pub(super) const LOG: Flag = Flag::value(
    "--log",
    "LEVEL",
    "TANAGERCROFT_LOG",
    "off, error, warn, info, debug or trace (default: info)",
);
pub(super) const OTLP_ENDPOINT: Flag = Flag::value(
    "--otlp-endpoint",
    "URL",
    "TANAGERCROFT_OTLP_ENDPOINT",
    "where traces are sent (default: nowhere)",
);
pub(super) const DRAIN_LIMIT: Flag = Flag::value(
    "--drain-limit-ms",
    "MS",
    "TANAGERCROFT_DRAIN_LIMIT_MS",
    "longest wait for requests at a planned stop (default: 60000)",
);
pub(super) const STORE_CALLS: Flag = Flag::value(
    "--store-calls-per-s",
    "N",
    "TANAGERCROFT_STORE_CALLS_PER_S",
    "most calls a second to the platform (default: 50)",
);
pub(super) const MAX_BODY: Flag = Flag::value(
    "--max-body-bytes",
    "N",
    "TANAGERCROFT_MAX_BODY_BYTES",
    "largest request body (default: 1048576)",
);

pub(super) const POLICY: Flag = Flag::value(
    "--policy",
    "NAME",
    "TANAGERCROFT_POLICY",
    "home, or baseline for comparisons: round robin and no admission (default: home)",
);

/// All flags of `serve`.
pub(crate) const SERVE_FLAGS: &[Flag] = &[
    INSTANCE_ID,
    LISTEN,
    FLEET_LISTEN,
    FLEET_ADVERTISE,
    ADMIN_LISTEN,
    FAILURE_DOMAIN,
    REGION,
    PLATFORM,
    SEEDS,
    TRAFFIC_THREADS,
    LOG,
    OTLP_ENDPOINT,
    DRAIN_LIMIT,
    STORE_CALLS,
    MAX_BODY,
    POLICY,
];
