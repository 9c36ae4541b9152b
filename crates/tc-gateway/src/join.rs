//! How an instance that has just started and the others find each other.

use std::{net::SocketAddr, time::Duration};

use tc_fleet::Mesh;
use tc_platform::{Purpose, Store};
use tokio::time::sleep;

use crate::{edges::Edges, settings::GatewaySettings};

/// How often an instance that knows no other looks for some.
const LOOK_FOR_OTHERS: Duration = Duration::from_millis(500);

/// Tells the store of this instance, and finds others: by seeds, and by what the store lists.
///
/// Seeds may be stale or down; the list may be out of reach. Either is enough, and one instance that is found tells
/// of all others.
pub(crate) async fn join(settings: GatewaySettings, edges: Edges, store: Store, mesh: Mesh) {
    let me = settings.me.fleet_address;
    let mut registered = false;
    loop {
        let mut candidates = settings.seeds.clone();
        if !registered {
            registered = register(&settings, edges, &store).await;
        }
        if mesh.other_addresses().is_empty() || !registered {
            candidates.extend(listed(edges, &store).await);
        }
        candidates.retain(|address| *address != me);
        candidates.sort_unstable();
        candidates.dedup();
        if mesh.other_addresses().is_empty() {
            for address in candidates {
                if let Err(error) = mesh.introduce_at(address).await {
                    log::debug!(error = error.to_string().as_str(); "an instance that may know others does not answer");
                }
            }
        }
        if registered && !mesh.other_addresses().is_empty() {
            return;
        }
        sleep(LOOK_FOR_OTHERS).await;
    }
}

async fn register(settings: &GatewaySettings, edges: Edges, store: &Store) -> bool {
    let value = serde_json::json!({ "fleet": settings.me.fleet_address.to_string() });
    let kind = edges.kinds.members;
    let put = store
        .put_kind(
            Purpose::Members,
            &edges.store,
            kind,
            &settings.machine,
            &value,
        )
        .await;
    if let Err(error) = &put {
        log::warn!(error = error.to_string().as_str(); "this instance could not be written to the store; tried again");
    }
    put.is_ok()
}

async fn listed(edges: Edges, store: &Store) -> Vec<SocketAddr> {
    let kind = edges.kinds.members;
    match store.list_kind(Purpose::Members, &edges.store, kind).await {
        Ok(page) => page
            .items
            .iter()
            .filter_map(|object| object.value.get("fleet")?.as_str()?.parse().ok())
            .collect(),
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "other instances cannot be read from the store");
            Vec::new()
        }
    }
}
