//! Tasks that run from the start of a gateway until its process ends.

use std::{sync::Arc, time::Duration};

use tc_fleet::Mesh;
use tc_protocol::{ServiceName, routing::RoutedService};
use tokio::time::sleep;

use crate::{
    freeze::PauseMonitor,
    homes::BatchHomes,
    run::RunContext,
    world::{World, WorldCell},
};

/// Interval at which the state of upstreams that are no longer registered is removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Passes the services of the configuration in force to the mesh, which places their homes.
pub(crate) async fn place_services(mesh: Mesh, world: Arc<WorldCell>) {
    let mut changes = world.changes();
    loop {
        mesh.set_services(services_by_work(&world.load()));
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the services, those with the most work at their homes first.
fn services_by_work(world: &World) -> Vec<ServiceName> {
    let Some(config) = &world.config else {
        return Vec::new();
    };
    let rank = |service: &RoutedService| (service.batch.is_none(), service.engine.is_none());
    let mut services: Vec<_> = config.routing.services.values().collect();
    services.sort_by_key(|service| rank(service));
    services
        .into_iter()
        .map(|service| service.name.clone())
        .collect()
}

/// Hands over homes when the members change.
pub(crate) async fn hand_over_homes(mesh: Mesh, homes: Arc<BatchHomes>) {
    let mut changes = mesh.changes();
    while changes.changed().await.is_ok() {
        homes.hand_over(|service| {
            let home = mesh.home(service.as_str(), &[]);
            home.is_none_or(|home| home.id == mesh.me().id)
        });
    }
}

/// Notifies the mesh of pauses: other instances may have declared this one dead, and its own view
/// of them may be outdated.
pub(crate) async fn watch_pauses(pause_monitor: Arc<PauseMonitor>, mesh: Mesh) {
    pause_monitor.run(|| mesh.resumed()).await;
}

pub(crate) async fn watch_upstream_reach(cx: Arc<RunContext>) {
    let (client, mesh) = (cx.client.clone(), cx.mesh.clone());
    cx.upstream_reach.run(client, mesh).await;
}

pub(crate) async fn remove_unregistered(cx: Arc<RunContext>) {
    loop {
        sleep(CLEANUP_INTERVAL).await;
        let world = cx.world.load();
        cx.upstream_stats.retain(|id| world.upstreams.contains(id));
        cx.cold.retain(|id| world.upstreams.contains(id));
        cx.limits.retain(|id| world.upstreams.contains(id));
        cx.backoffs.retain(|id| world.upstreams.contains(id));
    }
}
