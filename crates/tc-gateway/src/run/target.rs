//! Chooses the upstream that a request is sent to.

use std::{net::SocketAddr, sync::Arc};

use tc_policy::PickPreference;
use tc_protocol::{
    UpstreamId, UpstreamVersion,
    routing::{EngineRequest, Prompt, RegisteredUpstream},
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    RoutedRequest, RunContext, attempt::SendOptions, attempts::Attempts, send_failure::SendFailure,
    stages::StageResults,
};
use crate::{
    engines::{EngineRun, request_engine},
    upstream_stats::InFlight,
};

/// The upstream for one attempt.
pub(super) struct Target {
    pub(super) upstream: Arc<RegisteredUpstream>,
    pub(super) in_flight: InFlight,
    /// Another engine from which the upstream fetches cached parts of the prompt.
    pub(super) fetch_from: Option<SocketAddr>,
    /// The run on an engine that a home chose.
    pub(super) run: Option<EngineRun>,
}

impl Attempts {
    /// Chooses the upstream for the next attempt: through the home of the service if it has one, otherwise from what
    /// this instance knows.
    pub(super) async fn choose(
        &self,
        cx: &RunContext,
        req: &RoutedRequest,
        options: &SendOptions<'_>,
    ) -> Result<Target, SendFailure> {
        if let Some(engine_request) = self.engine_request(cx, req, options)
            && let Some(chosen) = request_engine(cx, &req.head.request, &engine_request).await
        {
            let in_flight = cx.upstream_stats.begin_call(&chosen.upstream.id);
            return Ok(Target {
                upstream: chosen.upstream,
                in_flight,
                fetch_from: chosen.fetch_from,
                run: Some(chosen.run),
            });
        }
        self.choose_locally(cx, req, options)
    }

    /// Returns true if at least `count` upstreams may get the next attempt, of the given version if there is one.
    /// The one `in_use` does not count.
    pub(super) fn has_candidates(
        &self,
        count: usize,
        cx: &RunContext,
        req: &RoutedRequest,
        version: Option<&UpstreamVersion>,
        in_use: Option<&UpstreamId>,
    ) -> bool {
        let world = cx.world.load();
        let all = world.upstreams.of_service(req.service.as_str());
        let left = all.iter().filter(|upstream| {
            upstream.takes_work()
                && upstream.has_version(version)
                && in_use != Some(&upstream.id)
                && !self.excluded().any(|id| *id == upstream.id)
        });
        left.take(count).count() == count
    }

    /// Builds the engine request for the home of a model service; `None` for requests without a prompt.
    fn engine_request(
        &self,
        cx: &RunContext,
        req: &RoutedRequest,
        options: &SendOptions<'_>,
    ) -> Option<EngineRequest> {
        let prompt = req.head.prompt.clone()?;
        let world = cx.world.load();
        let leaving = world.upstreams.announced_leaving(&req.service);
        let backing_off = cx.backoffs.active();
        Some(EngineRequest {
            service: req.service.clone(),
            prompt,
            inputs: options
                .results
                .map(|results| results.bytes_by_domain.clone())
                .unwrap_or_default(),
            version: options.version.cloned(),
            excluded: self.excluded().chain(&backing_off).cloned().collect(),
            leaving: leaving.cloned().collect(),
            remaining: req.time_left(),
        })
    }

    /// Chooses from what this instance knows itself.
    fn choose_locally(
        &self,
        cx: &RunContext,
        req: &RoutedRequest,
        options: &SendOptions<'_>,
    ) -> Result<Target, SendFailure> {
        let world = cx.world.load();
        let all = world.upstreams.of_service(req.service.as_str());
        let affinity_key = req.head.prompt.as_ref().and_then(Prompt::shared_prefix_id);
        let preference = PickPreference {
            affinity_key,
            domain: options.results.and_then(StageResults::largest_domain),
            tie_breaker: xxh3_64(req.head.request.as_bytes()),
        };
        let service = world
            .config
            .as_ref()
            .and_then(|config| config.service(req.service.as_str()));
        let admits = |upstream: &RegisteredUpstream, in_progress: u32| {
            let within_limits = || {
                service.is_none_or(|service| {
                    cx.cold.may_send(&cx.mesh, service, upstream)
                        && cx.limits.may_send(&cx.mesh, service, &upstream.id)
                })
            };
            upstream.has_version(options.version)
                && cx.backoffs.remaining(&upstream.id).is_none()
                && cx.backoffs.may_send(&upstream.id, in_progress)
                && within_limits()
        };
        let excluded: Vec<UpstreamId> = self.excluded().cloned().collect();
        let chosen = choose_within_pace(cx, all, &excluded, admits, &preference).or_else(|| {
            cx.upstream_stats
                .choose(all, &excluded, admits, &preference)
        });
        let (upstream, in_flight) =
            chosen.ok_or_else(|| self.no_upstream_reason(cx, all, options.version))?;
        cx.limits.record(&upstream.id);
        if let Some(service) = service {
            cx.cold.record(service, &upstream.id);
        }
        Ok(Target {
            upstream,
            in_flight,
            fetch_from: None,
            run: None,
        })
    }

    /// Returns why no upstream of `all` with the required version could be chosen.
    fn no_upstream_reason(
        &self,
        cx: &RunContext,
        all: &[Arc<RegisteredUpstream>],
        version: Option<&UpstreamVersion>,
    ) -> SendFailure {
        let working = all
            .iter()
            .filter(|upstream| upstream.takes_work() && upstream.has_version(version));
        let (backing_off, others): (Vec<_>, Vec<_>) = working
            .map(|upstream| &upstream.id)
            .partition(|id| cx.backoffs.remaining(id).is_some());
        let left = others
            .into_iter()
            .filter(|id| !self.excluded().any(|excluded| excluded == *id));
        let limited = cx.limits.wait_for_any(left);
        let backoff = backing_off
            .iter()
            .filter_map(|id| cx.backoffs.remaining(id))
            .min();
        match (limited, backoff) {
            (Some(wait), Some(backoff)) if backoff < wait => SendFailure::BackingOff(backoff),
            (Some(wait), _) => SendFailure::RateLimited(wait),
            (None, Some(backoff)) => SendFailure::BackingOff(backoff),
            (None, None) => SendFailure::NoUpstream,
        }
    }
}

/// Chooses an upstream within the paces of those that have just started or recovered.
///
/// Returns `None` if no pace binds, or if only a choice beyond the paces avoids upstreams that have just failed.
fn choose_within_pace(
    cx: &RunContext,
    all: &[Arc<RegisteredUpstream>],
    excluded: &[UpstreamId],
    admits: impl Fn(&RegisteredUpstream, u32) -> bool,
    preference: &PickPreference<'_>,
) -> Option<(Arc<RegisteredUpstream>, InFlight)> {
    let paces = &cx.upstream_stats.pace;
    let working = all.iter().filter(|upstream| upstream.takes_work());
    if !paces.binds(working.map(|upstream| &upstream.id)) {
        return None;
    }
    let admits = |upstream: &RegisteredUpstream, in_progress: u32| {
        admits(upstream, in_progress) && paces.allows(&upstream.id, in_progress)
    };
    let chosen = cx
        .upstream_stats
        .choose(all, excluded, admits, preference)?;
    (!paces.is_in_trouble(&chosen.0.id)).then_some(chosen)
}
