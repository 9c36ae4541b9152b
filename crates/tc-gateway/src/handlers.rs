//! Handlers of calls from other instances, and the release of results that are no longer needed.

use std::{sync::Arc, time::Duration};

use futures::FutureExt;
use tc_fleet::{Mesh, MeshHandlers};
use tc_policy::ReleasedResults;
use tc_protocol::ServiceName;

use crate::{
    engines::EngineHomes,
    homes::{BatchHomes, ReleaseQueue},
    origins::StreamOrigins,
    world::{WorldCell, relay_world},
};

/// Returns the handlers of calls from other instances.
pub(crate) fn mesh_handlers(
    heartbeat_interval: Duration,
    homes: &Arc<BatchHomes>,
    engines: &Arc<EngineHomes>,
    world: &Arc<WorldCell>,
    origins: &Arc<StreamOrigins>,
) -> Arc<MeshHandlers> {
    let engines_for_choice = Arc::clone(engines);
    let engines_for_reports = Arc::clone(engines);
    let homes_for_pieces = Arc::clone(homes);
    let homes_for_freeing = Arc::clone(homes);
    let homes_for_outlooks = Arc::clone(homes);
    let world = Arc::clone(world);
    let origins_to_record = Arc::clone(origins);
    let origins_to_find = Arc::clone(origins);
    Arc::new(MeshHandlers {
        make_pieces: Box::new(move |request| {
            let homes = Arc::clone(&homes_for_pieces);
            async move { homes.make_pieces(request).await }.boxed()
        }),
        outlook: Box::new(move |service| homes_for_outlooks.outlook(service)),
        free_results: Box::new(move |released| homes_for_freeing.release_results(released)),
        choose_engine: Box::new(move |request| engines_for_choice.choose(request)),
        record_runs: Box::new(move |service, reports| engines_for_reports.record(service, reports)),
        record_origins: Box::new(move |records| origins_to_record.receive(records)),
        find_origin: Box::new(move |key| origins_to_find.answer(key)),
        follow_world: Box::new(move |have| relay_world(&world, have, heartbeat_interval)),
    })
}

/// Releases results through the home of their service or, without another home, directly at the
/// upstreams that hold them.
pub(crate) async fn free_results(release_queue: ReleaseQueue, mesh: Mesh, homes: Arc<BatchHomes>) {
    let free = move |service: ServiceName, released: ReleasedResults| {
        let (mesh, homes) = (mesh.clone(), Arc::clone(&homes));
        async move {
            let home = mesh.home(service.as_str(), &[]);
            let other = home.filter(|home| home.id != mesh.me().id);
            let Some(home) = other else {
                homes.release_results(released);
                return;
            };
            if let Err(error) = mesh.free_results(&home, &released).await {
                log::debug!(error = error.to_string().as_str(); "the home of the results could not be told to free them");
                homes.release_results(released);
            }
        }
    };
    release_queue.for_each_batch(free).await;
}
