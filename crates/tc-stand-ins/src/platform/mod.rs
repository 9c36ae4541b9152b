//! The platform: object API and instance list.

mod faults;
mod http;
mod instances;
mod store;

pub use faults::{PlatformFaults, RateLimits};

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use futures::FutureExt;
use serde_json::Value;
use tc_protocol::wire::ListedInstance;

use self::{
    instances::Instances,
    store::{Store, Versioned},
};
use crate::{server::Server, sync::lock};

/// A running platform; dropping it stops it.
pub struct Platform {
    server: Server,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    store: Store,
    instances: Instances,
    faults: PlatformFaults,
    calls: Mutex<BTreeMap<String, u64>>,
}

impl Platform {
    /// Starts an empty platform on `address`; port 0 takes a free one.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let (server, listener) = Server::bind(address).await?;
        let state = Arc::<State>::default();
        let handled = Arc::clone(&state);
        server.serve(
            listener,
            Arc::new(move |req| http::handle(Arc::clone(&handled), req).boxed()),
        );
        Ok(Self { server, state })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its fault switches.
    #[must_use]
    pub fn faults(&self) -> &PlatformFaults {
        &self.state.faults
    }

    /// Adds an instance to the list or replaces the one with its identifier.
    pub fn put_instance(&self, instance: ListedInstance) {
        self.state.instances.put(instance);
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, id: &str) {
        self.state.instances.remove(id);
    }

    /// Closes the listener and all connections, as when its network is gone; objects and instances are kept.
    pub fn stop(&self) {
        self.server.stop();
    }

    /// Listens again on the same address.
    pub async fn restart(&self) -> io::Result<()> {
        self.server.restart().await
    }

    /// Calls received, by verb and kind: `get tanagercroft-config`, `watch …`, `put …`, `delete …`, `list …`,
    /// `instances`.
    #[must_use]
    pub fn calls(&self) -> BTreeMap<String, u64> {
        lock(&self.state.calls).clone()
    }

    /// Version and value of an object.
    #[must_use]
    pub fn object(&self, kind: &str, name: &str) -> Option<(u64, Value)> {
        let object = self.state.store.get(&(kind.to_owned(), name.to_owned()));
        object.as_ref().map(decode)
    }

    /// Every version of an object that was ever in force, oldest first; the oldest are forgotten above 32 MiB.
    #[must_use]
    pub fn history(&self, kind: &str, name: &str) -> Vec<(u64, Value)> {
        let key = (kind.to_owned(), name.to_owned());
        self.state.store.history(&key).iter().map(decode).collect()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.server.close();
    }
}

impl State {
    fn count(&self, label: String) {
        *lock(&self.calls).entry(label).or_default() += 1;
    }
}

fn decode(object: &Versioned) -> (u64, Value) {
    // Only valid JSON is ever stored.
    let value = serde_json::from_slice(&object.value).unwrap_or_default();
    (object.version, value)
}
