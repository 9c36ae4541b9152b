//! Configuration of an engine.

use std::{net::SocketAddr, time::Duration};

use tc_protocol::{ServiceName, UpstreamId};

/// Behavior of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Its identifier.
    pub id: UpstreamId,
    /// Its service, for the records.
    pub service: ServiceName,
    /// Calls run at once; more wait by priority, then arrival.
    pub slots: u32,
    /// Time before the first token, however short the prompt.
    pub first_token: Duration,
    /// Time for each further token while the call runs alone.
    pub per_token: Duration,
    /// Added before the first token for each prompt token that is not cached.
    pub per_prompt_token: Duration,
    /// Each other running call slows tokens by this factor: 0.1 makes them take 1.3 times as long beside three others.
    pub batch_slowdown: f64,
    /// Prompt prefixes cached; the least recently used goes first.
    pub prefix_cache_entries: usize,
    /// Age of the load report.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_orders: bool,
    /// Time for which a stream continues after its connection has closed, so that it can be resumed.
    pub resume_window: Duration,
    /// Models loaded at the start, as `name` or `name@version`; with none, any model is run.
    pub models: Vec<String>,
    /// Where models that an order names are fetched from; without one they load at once.
    pub weight_store: Option<SocketAddr>,
}

impl EngineConfig {
    /// An engine of `service` with 8 slots that answers at once, runs any model and checks orders.
    #[must_use]
    pub fn new(id: &str, service: &str) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            slots: 8,
            first_token: Duration::ZERO,
            per_token: Duration::ZERO,
            per_prompt_token: Duration::ZERO,
            batch_slowdown: 0.0,
            prefix_cache_entries: 64,
            load_lag: Duration::ZERO,
            checks_orders: true,
            resume_window: Duration::from_secs(2),
            models: Vec::new(),
            weight_store: None,
        }
    }
}
