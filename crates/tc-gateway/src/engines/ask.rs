//! Asking the home of a model service for an engine, and going on without it when it does not answer.

use std::{net::SocketAddr, sync::Arc};

use tc_fleet::MeshError;
use tc_protocol::{
    Member, UpstreamId,
    routing::{EngineChoice, EngineRequest, RateLimit, RegisteredUpstream},
};

use super::EngineRun;
use crate::{run::RunContext, world::World};

/// An engine that a home chose.
pub(crate) struct ChosenEngine {
    pub(crate) upstream: Arc<RegisteredUpstream>,
    /// Another engine from which it fetches what that one keeps of the prompt.
    pub(crate) fetch_from: Option<SocketAddr>,
    pub(crate) run: EngineRun,
}

/// Asks for an engine for a request; `None` when no home knows one that is known here too.
pub(crate) async fn ask_for_engine(
    cx: &RunContext,
    request: &str,
    ask: &EngineRequest,
) -> Option<ChosenEngine> {
    cx.know_homes().await;
    let home = cx.mesh.home(ask.service.as_str(), &[]);
    let home = home.filter(|home| home.id != cx.mesh.me().id);
    let (choice, home) = match home {
        Some(home) => match cx.mesh.choose_engine(&home, ask).await {
            Ok(choice) => (choice?, Some(home)),
            Err(error) => {
                log::info!(service = ask.service.as_str(), home = home.id.as_str(), error = error.to_string().as_str(); "the home of engines does not answer; this instance chooses by itself");
                match error {
                    MeshError::TimedOut { instance } => cx.mesh.report_timeout(&instance),
                    MeshError::NoAnswer { .. } | MeshError::Malformed { .. } => {
                        cx.mesh.report_failed_call(&home.id);
                    }
                }
                (cx.engines.choose_alone(&cx.mesh, ask)?, None)
            }
        },
        None => (cx.engines.choose(ask)?, None),
    };
    log::info!(
        request = request,
        upstream = choice.upstream.as_str(),
        fetch_from = choice.fetch_from.as_ref().map_or("", |source| source.as_str()),
        tokens = ask.prompt.tokens_in,
        known_limit_per_s = cx.limits.limits().get(&choice.upstream).map(RateLimit::per_s),
        home = home.as_ref().map_or("here", |home| home.id.as_str());
        "an engine is chosen"
    );
    chosen(cx, ask, &choice, home)
}

fn chosen(
    cx: &RunContext,
    ask: &EngineRequest,
    choice: &EngineChoice,
    home: Option<Member>,
) -> Option<ChosenEngine> {
    let run = EngineRun::new(cx.run_news.clone(), home, ask.service.clone(), choice.run);
    let world = cx.world.load();
    let find = |id: &UpstreamId| find_ready(&world, ask, id);
    let may_send =
        |id: &UpstreamId| !ask.excluded.contains(id) && cx.backoffs.remaining(id).is_none();
    Some(ChosenEngine {
        // The home may know less of who leaves than this instance does.
        upstream: find(&choice.upstream).filter(|engine| may_send(&engine.id))?,
        fetch_from: choice
            .fetch_from
            .as_ref()
            .and_then(find)
            .map(|source| source.address),
        run,
    })
}

fn find_ready(
    world: &World,
    ask: &EngineRequest,
    id: &UpstreamId,
) -> Option<Arc<RegisteredUpstream>> {
    let engines = world.upstreams.of_service(ask.service.as_str());
    let found = engines.iter().find(|engine| engine.id == *id);
    found.filter(|engine| engine.takes_work()).cloned()
}
