//! Tasks that read the configuration object, the instance list and drain marks from the platform.

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};

use ractor::ActorRef;
use tc_platform::{Purpose, StoreError};
use tc_protocol::{
    UpstreamId,
    wire::{CONFIG_KIND, CONFIG_NAME, ConfigObject},
};

use crate::node::{NodeMsg, NodeParts};

/// Kind of the objects that mark upstreams as drained. An object's name is the upstream's identifier.
pub(crate) const DRAIN_KIND: &str = "tanagercroft-drain";

/// Time for which a watch call waits at the platform. Must be shorter than the pull timeout of `ConfigPuller`.
const WATCH_WAIT: Duration = Duration::from_secs(4);
/// Minimum interval between two reads of the instance list by one instance, before jitter.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Added for each member, so that the fleet makes at most about forty reads per second, whatever its size.
const LIST_INTERVAL_PER_INSTANCE: Duration = Duration::from_millis(25);

/// Reads the configuration object immediately or waits for a version after `after`, and sends the result to the node.
pub(crate) fn watch_config(
    parts: &NodeParts,
    after: u64,
    immediately: bool,
    node: &ActorRef<NodeMsg>,
) {
    let store = parts.store.clone();
    let version = parts.config_version.clone();
    let node = node.clone();
    tokio::spawn(async move {
        let found = if immediately {
            store.get(Purpose::Config, CONFIG_KIND, CONFIG_NAME).await
        } else {
            store
                .watch(Purpose::Config, CONFIG_KIND, CONFIG_NAME, after, WATCH_WAIT)
                .await
        };
        let message = match found {
            Ok(Some(found)) => {
                version.fetch_max(found.version, Relaxed);
                match serde_json::from_value::<ConfigObject>(found.value) {
                    Ok(object) => NodeMsg::Config(Box::new(object)),
                    Err(error) => {
                        log::error!("cannot decode the configuration object: {error}");
                        NodeMsg::PlatformFailed
                    }
                }
            }
            Ok(None) => NodeMsg::PlatformUnchanged,
            Err(_) => NodeMsg::PlatformFailed,
        };
        let _ = node.cast(message);
    });
}

/// Reads the instance list and the drain marks at regular intervals. Returns when the node has stopped.
pub(crate) async fn read_lists(parts: NodeParts, node: ActorRef<NodeMsg>) {
    loop {
        if let Ok(list) = parts.store.instances(Purpose::Instances).await
            && node.cast(NodeMsg::InstanceList(list)).is_err()
        {
            return;
        }
        if let Ok(drained) = read_drained(&parts).await {
            parts.drained.store(Arc::new(drained.clone()));
            let _ = node.cast(NodeMsg::Drained(drained));
        }
        let members = parts.view.load().members.len() as u32;
        let interval = LIST_INTERVAL + LIST_INTERVAL_PER_INSTANCE * members;
        tokio::time::sleep(interval.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

async fn read_drained(parts: &NodeParts) -> Result<BTreeSet<UpstreamId>, StoreError> {
    let items = parts.store.list(Purpose::Instances, DRAIN_KIND).await?;
    Ok(items
        .into_iter()
        .map(|item| UpstreamId::from(item.name))
        .collect())
}
