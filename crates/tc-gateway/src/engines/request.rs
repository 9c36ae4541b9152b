//! Requests an engine from the home of a model service, with a fallback when the home does not answer.

use std::{net::SocketAddr, sync::Arc};

use tc_protocol::{
    Member, UpstreamId,
    routing::{EngineChoice, EngineRequest, RateLimit, RegisteredUpstream},
};

use super::EngineRun;
use crate::{
    run::{RunContext, version_label},
    world::World,
};

/// An engine that a home chose.
pub(crate) struct ChosenEngine {
    pub(crate) upstream: Arc<RegisteredUpstream>,
    /// Another engine from which this one fetches cached parts of the prompt.
    pub(crate) fetch_from: Option<SocketAddr>,
    pub(crate) run: EngineRun,
}

/// Requests an engine; `None` if no home knows one that this instance also knows.
pub(crate) async fn request_engine(
    cx: &RunContext,
    request: &str,
    engine_request: &EngineRequest,
) -> Option<ChosenEngine> {
    cx.wait_for_membership().await;
    let home = cx.mesh.home(engine_request.service.as_str(), &[]);
    let home = home.filter(|home| home.id != cx.mesh.me().id);
    let (choice, home) = match home {
        Some(home) => match cx.mesh.choose_engine(&home, engine_request).await {
            Ok(choice) => (choice?, Some(home)),
            Err(error) => {
                log::info!(service = engine_request.service.as_str(), home = home.id.as_str(), error = error.to_string().as_str(); "home of a model service does not answer; choosing an engine locally");
                cx.mesh.report_error(&error);
                (
                    cx.engines.choose_without_home(&cx.mesh, engine_request)?,
                    None,
                )
            }
        },
        None => (cx.engines.choose(engine_request)?, None),
    };
    let world = cx.world.load();
    let version = world.upstreams.upstream(&choice.upstream);
    let version = version.and_then(|upstream| upstream.version.as_ref());
    log::info!(
        request = request,
        upstream = choice.upstream.as_str(),
        version = version_label(version),
        fetch_from = choice.fetch_from.as_ref().map_or("", |source| source.as_str()),
        tokens = engine_request.prompt.tokens_in,
        known_limit_per_s = cx.limits.limits().get(&choice.upstream).map(RateLimit::per_s),
        home = home.as_ref().map_or("here", |home| home.id.as_str());
        "engine chosen"
    );
    to_chosen_engine(cx, engine_request, &choice, home)
}

fn to_chosen_engine(
    cx: &RunContext,
    engine_request: &EngineRequest,
    choice: &EngineChoice,
    home: Option<Member>,
) -> Option<ChosenEngine> {
    let run = EngineRun::new(
        cx.run_reports.clone(),
        home,
        engine_request.service.clone(),
        choice.run,
    );
    let world = cx.world.load();
    let find = |id: &UpstreamId| find_ready(&world, engine_request, id);
    let may_send = |engine: &RegisteredUpstream| {
        engine.has_version(engine_request.version.as_ref())
            && !engine_request.excluded.contains(&engine.id)
            && cx.backoffs.remaining(&engine.id).is_none()
    };
    Some(ChosenEngine {
        // This instance may know of leaving upstreams that the home has not heard of. A home of an earlier build
        // ignores the required version.
        upstream: find(&choice.upstream).filter(|engine| may_send(engine))?,
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
    engine_request: &EngineRequest,
    id: &UpstreamId,
) -> Option<Arc<RegisteredUpstream>> {
    let found = world.upstreams.upstream(id);
    let is_ready = |engine: &RegisteredUpstream| {
        engine.service == engine_request.service && engine.takes_work()
    };
    found.filter(|engine| is_ready(engine)).cloned()
}
