//! The active configuration.

use std::{collections::BTreeMap, sync::Arc};

use tc_fleet::StoredConfig;
use tc_policy::UrgencyScale;
use tc_protocol::{
    MonoTime, ServiceName,
    routing::{FaultEffect, RoutedService, RoutingConfig},
};

use crate::{codec::PlatformCodec, routing::RouteTable, run::urgency_scales};

/// Maximum number of configuration entries named in log lines.
const MAX_LOGGED_FAULTS: usize = 16;

/// A configuration with the routing table of the routes that can be used.
pub(crate) struct ActiveConfig {
    pub(crate) routing: RoutingConfig,
    pub(crate) routes: RouteTable,
    /// Urgencies at the services whose requests have several priorities.
    pub(crate) urgency_scales: BTreeMap<ServiceName, UrgencyScale>,
    /// The stored value and its revision, relayed unchanged to other instances.
    pub(crate) stored: Arc<StoredConfig>,
    /// Time at which this instance decoded the configuration.
    pub(crate) decoded_at: MonoTime,
}

impl ActiveConfig {
    /// Decodes a configuration, or returns why it cannot be used at all.
    pub(crate) fn decode(
        codec: &PlatformCodec,
        stored: &Arc<StoredConfig>,
    ) -> Result<Self, String> {
        let routing = (codec.read_config)(&stored.value)?;
        let routes = RouteTable::new(&routing);
        Ok(Self {
            urgency_scales: urgency_scales(&routing),
            routing,
            routes,
            stored: Arc::clone(stored),
            decoded_at: MonoTime::now(),
        })
    }

    /// Logs and counts the entries that cannot be used.
    pub(crate) fn report_faults(&self) {
        let version = self.routing.version;
        let faults = self.routing.faults.iter().chain(self.routes.faults());
        metrics::gauge!("tc_config_faults").set(faults.clone().count() as f64);
        for fault in faults.take(MAX_LOGGED_FAULTS) {
            log::error!(version = version, entry = fault.subject.as_str(), problem = fault.problem.as_str(); "a configuration entry cannot be used; the others take effect");
        }
    }

    /// Returns true if a key that is not known may be valid.
    pub(crate) fn may_lack_keys(&self) -> bool {
        let mut faults = self.routing.faults.iter();
        faults.any(|fault| fault.effect == FaultEffect::KeysMissing)
    }

    pub(crate) fn service(&self, name: &str) -> Option<&Arc<RoutedService>> {
        self.routing.services.get(name)
    }
}
