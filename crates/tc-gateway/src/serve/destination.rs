//! Finds the route and the workspace of a request.

use std::{sync::Arc, time::Duration};

use http::{StatusCode, header, request::Parts};
use tc_protocol::routing::{Route, RoutedWorkspace};

use crate::{call::RequestHead, routing::NoRoute, run::Refusal, world::ActiveConfig};

/// Retry delay sent to callers while an entry of the configuration that they need cannot be used. A corrected version
/// takes the operators longer, and others may share the entry.
const FAULTY_CONFIG_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Where a request goes, according to a configuration.
pub(super) struct Destination {
    pub(super) config: Arc<ActiveConfig>,
    pub(super) route: Arc<Route>,
    pub(super) workspace: Option<Arc<RoutedWorkspace>>,
}

impl Destination {
    /// Returns where a request goes, or the refusal for one that goes nowhere.
    pub(super) fn find(
        config: Arc<ActiveConfig>,
        parts: &Parts,
        head: &RequestHead,
    ) -> Result<Self, Refusal> {
        let route = find_route(&config, parts)?;
        let workspace = find_workspace(&config, &route, head)?;
        Ok(Self {
            config,
            route,
            workspace,
        })
    }
}

fn find_route(config: &ActiveConfig, parts: &Parts) -> Result<Arc<Route>, Refusal> {
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|h| h.to_str().ok());
    let host = host.or(parts.uri.host()).unwrap_or_default();
    let route = config.routes.find(host, parts.uri.path());
    route.cloned().map_err(|problem| match problem {
        NoRoute::Unknown => {
            Refusal::without_retry(StatusCode::NOT_FOUND, "no route takes this host and path")
        }
        NoRoute::Unusable => Refusal::not_run(
            "the route cannot be used as it is configured",
            FAULTY_CONFIG_RETRY_AFTER,
        ),
    })
}

fn find_workspace(
    config: &ActiveConfig,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<RoutedWorkspace>>, Refusal> {
    let known = head
        .key
        .as_ref()
        .and_then(|key| config.routing.keys.get(key));
    if known.is_none() && config.routing.keys_required && !route.public {
        if config.may_lack_keys() {
            return Err(Refusal::not_run(
                "the key may be that of a workspace that cannot be used as it is configured",
                FAULTY_CONFIG_RETRY_AFTER,
            ));
        }
        let reason = "no workspace has this key";
        return Err(Refusal::without_retry(StatusCode::UNAUTHORIZED, reason));
    }
    Ok(known.cloned())
}
