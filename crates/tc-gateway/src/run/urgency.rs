//! Urgency of requests at the engines of their service.

use std::collections::{BTreeMap, BTreeSet};

use tc_policy::{UrgencyQuery, UrgencyScale, can_be_on_time};
use tc_protocol::{ServiceName, routing::RoutingConfig};

use super::{RoutedRequest, RunContext, attempt::SendOptions, combined_priority};

/// Returns the scale of each service whose requests have more than one priority.
pub(crate) fn urgency_scales(routing: &RoutingConfig) -> BTreeMap<ServiceName, UrgencyScale> {
    let workspaces: BTreeSet<Option<u8>> = routing.keys.values().map(|w| w.priority).collect();
    let mut priorities: BTreeMap<&ServiceName, BTreeSet<u8>> = BTreeMap::new();
    for route in &routing.routes {
        let needs_key = routing.keys_required && !route.public;
        let anonymous = (!needs_key).then_some(None);
        let callers = workspaces.iter().copied().chain(anonymous);
        let of_route: Vec<u8> = callers
            .map(|workspace| combined_priority(workspace, route))
            .collect();
        for (service, _) in &route.targets {
            priorities.entry(service).or_default().extend(&of_route);
        }
    }
    priorities
        .into_iter()
        .filter_map(|(service, priorities)| Some((service.clone(), UrgencyScale::new(priorities)?)))
        .collect()
}

/// Returns the urgency of an attempt; `None` for requests without a prompt, or if all have the same priority.
pub(super) fn urgency(
    cx: &RunContext,
    req: &RoutedRequest,
    options: &SendOptions<'_>,
) -> Option<u8> {
    req.head.prompt.as_ref()?;
    let world = cx.world.load();
    let scale = world.config.as_ref()?.urgency_scales.get(&req.service)?;
    let is_resumed = options.resume_after.or(req.head.resume_after).is_some();
    let urgency = scale.urgency(&UrgencyQuery {
        priority: req.priority(),
        can_be_on_time: is_on_time(cx, req, is_resumed),
        is_over_share: is_over_share(cx, req),
        is_resumed,
    });
    metrics::counter!("tc_urgency_requests_total", "level" => LEVELS[usize::from(urgency)])
        .increment(1);
    Some(urgency)
}

const LEVELS: [&str; UrgencyScale::LEVELS as usize] =
    ["0", "1", "2", "3", "4", "5", "6", "7", "8", "9"];

/// Returns whether the first event can be on time, or was. That of a stream which another request began is not known and
/// counts as on time.
fn is_on_time(cx: &RunContext, req: &RoutedRequest, is_resumed: bool) -> bool {
    let target = req.route.latency_target;
    if is_resumed {
        let answered_after = req.answered_after.get();
        return answered_after.is_none_or(|after| *after <= target);
    }
    let left = target.saturating_sub(req.arrived.elapsed());
    can_be_on_time(left, cx.prompt_times.estimate(req))
}

fn is_over_share(cx: &RunContext, req: &RoutedRequest) -> bool {
    let Some(workspace) = &req.workspace else {
        return false;
    };
    let mut stages = req.route.stages.iter();
    stages.any(|stage| cx.outlooks.is_over_share(&stage.service, &workspace.name))
}
