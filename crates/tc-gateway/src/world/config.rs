//! The active configuration.

use std::sync::Arc;

use tc_fleet::StoredConfig;
use tc_protocol::{
    MonoTime,
    routing::{RoutedService, RoutingConfig},
};

use crate::{codec::PlatformCodec, routing::RouteTable};

/// A validated configuration with its routing table.
pub(crate) struct ActiveConfig {
    pub(crate) routing: RoutingConfig,
    pub(crate) routes: RouteTable,
    /// The stored value and its revision, relayed unchanged to other instances.
    pub(crate) stored: Arc<StoredConfig>,
    /// Time at which this instance decoded the configuration.
    pub(crate) decoded_at: MonoTime,
}

impl ActiveConfig {
    /// Decodes and validates a configuration, or returns a description of what is invalid.
    pub(crate) fn decode(
        codec: &PlatformCodec,
        stored: &Arc<StoredConfig>,
    ) -> Result<Self, String> {
        let routing = (codec.read_config)(&stored.value)?;
        let routes = RouteTable::new(&routing).map_err(|error| error.to_string())?;
        Ok(Self {
            routing,
            routes,
            stored: Arc::clone(stored),
            decoded_at: MonoTime::now(),
        })
    }

    pub(crate) fn service(&self, name: &str) -> Option<&Arc<RoutedService>> {
        self.routing.services.get(name)
    }
}
