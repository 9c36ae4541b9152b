//! What other instances may ask of this one, and how results go back to those who count their room.

use std::{sync::Arc, time::Duration};

use futures::FutureExt;
use tc_fleet::{Mesh, MeshHandlers};
use tc_protocol::{ServiceName, routing::ResultHandle};

use crate::{
    engines::EngineHomes,
    homes::{BatchHomes, ReleaseQueue},
    world::{WorldCell, tell_world},
};

/// What this instance does for others.
pub(crate) fn mesh_handlers(
    beat: Duration,
    homes: &Arc<BatchHomes>,
    engines: &Arc<EngineHomes>,
    world: &Arc<WorldCell>,
) -> Arc<MeshHandlers> {
    let choosers = Arc::clone(engines);
    let told = Arc::clone(engines);
    let makers = Arc::clone(homes);
    let freers = Arc::clone(homes);
    let standing = Arc::clone(homes);
    let world = Arc::clone(world);
    Arc::new(MeshHandlers {
        make_pieces: Box::new(move |ask| {
            let homes = Arc::clone(&makers);
            async move { homes.make_pieces(ask).await }.boxed()
        }),
        outlook: Box::new(move |service| standing.outlook(service)),
        free_results: Box::new(move |results| freers.free_results(&results)),
        choose_engine: Box::new(move |ask| choosers.choose(ask)),
        tell_runs: Box::new(move |service, news| told.record(service, news)),
        world: Box::new(move |have| tell_world(&world, have, beat)),
    })
}

/// Results go back through the home of their service; without it, straight to their makers.
pub(crate) async fn free_results(release_queue: ReleaseQueue, mesh: Mesh, homes: Arc<BatchHomes>) {
    let free = move |service: ServiceName, results: Vec<ResultHandle>| {
        let (mesh, homes) = (mesh.clone(), Arc::clone(&homes));
        async move {
            let home = mesh.home(service.as_str(), &[]);
            let other = home.filter(|home| home.id != mesh.me().id);
            let Some(home) = other else {
                homes.free_results(&results);
                return;
            };
            if let Err(error) = mesh.free_results(&home, &results).await {
                log::debug!(error = error.to_string().as_str(); "the home of results cannot be told");
                homes.free_results(&results);
            }
        }
    };
    release_queue.for_each_batch(free).await;
}
