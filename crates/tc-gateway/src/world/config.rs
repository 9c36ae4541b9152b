//! The active configuration.

use std::sync::Arc;

use serde_json::Value;
use tc_protocol::{
    MonoTime, StoreRevision,
    routing::{RoutedService, RoutingConfig},
};

use crate::{codec::PlatformCodec, routing::RouteTable};

/// A validated configuration with its routing table.
pub(crate) struct ActiveConfig {
    pub(crate) routing: RoutingConfig,
    pub(crate) routes: RouteTable,
    /// The stored value, relayed unchanged to other instances.
    pub(crate) raw: Arc<Value>,
    /// Revision of the configuration object in the store.
    pub(crate) revision: StoreRevision,
    /// Time at which this instance decoded the configuration.
    pub(crate) decoded_at: MonoTime,
}

impl ActiveConfig {
    /// Decodes and validates a configuration, or returns a description of what is invalid.
    pub(crate) fn decode(
        codec: &PlatformCodec,
        raw: &Arc<Value>,
        revision: StoreRevision,
    ) -> Result<Self, String> {
        let routing = (codec.read_config)(raw)?;
        let routes = RouteTable::new(&routing).map_err(|error| error.to_string())?;
        Ok(Self {
            routing,
            routes,
            raw: Arc::clone(raw),
            revision,
            decoded_at: MonoTime::now(),
        })
    }

    pub(crate) fn service(&self, name: &str) -> Option<&Arc<RoutedService>> {
        self.routing.services.get(name)
    }
}
