//! A configuration in force.

use std::sync::Arc;

use serde_json::Value;
use tc_protocol::{
    MonoTime,
    routing::{RoutedService, RoutingConfig},
};

use crate::{codec::PlatformCodec, routing::RouteTable};

/// A valid configuration, ready to be used.
pub(crate) struct ConfigInForce {
    pub(crate) routing: RoutingConfig,
    pub(crate) routes: RouteTable,
    /// As it lies in the store, to be handed on.
    pub(crate) raw: Arc<Value>,
    /// The store's revision of its object.
    pub(crate) revision: u64,
    /// When this instance decoded the configuration.
    pub(crate) read_at: MonoTime,
}

impl ConfigInForce {
    /// Decodes and checks a configuration; the error says what is wrong with it.
    pub(crate) fn read(
        codec: &PlatformCodec,
        raw: &Arc<Value>,
        revision: u64,
    ) -> Result<Self, String> {
        let routing = (codec.read_config)(raw)?;
        let routes = RouteTable::new(&routing).map_err(|error| error.to_string())?;
        Ok(Self {
            routing,
            routes,
            raw: Arc::clone(raw),
            revision,
            read_at: MonoTime::now(),
        })
    }

    pub(crate) fn service(&self, name: &str) -> Option<&Arc<RoutedService>> {
        self.routing.services.get(name)
    }
}
