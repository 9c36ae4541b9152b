//! Selection of the upstream to request a permit for.

use std::{sync::atomic::Ordering::Relaxed, time::Duration};

use tc_policy::{UpstreamCandidate, UpstreamChoice, choose_upstream};
use tc_protocol::{FleetView, InstanceId, MonoTime, PermitRequest, UpstreamState};

use super::permit_client::{MAX_REDIRECTS, PermitClient, Progress};

/// A selected upstream and its home.
pub(super) struct Target {
    pub(super) state: UpstreamState,
    pub(super) home: InstanceId,
    pub(super) why: &'static str,
}

impl PermitClient {
    pub(super) fn choose_target(
        &self,
        request: &PermitRequest,
        progress: &mut Progress,
    ) -> Option<Target> {
        let view = self.args.view.load();
        let upstreams = view.upstreams.get(&request.service)?;
        let now = MonoTime::now();
        let usable: Vec<UpstreamCandidate<'_>> = upstreams
            .iter()
            .filter(|state| Self::is_usable(state, progress))
            .map(|state| self.candidate(now, &view, state))
            .collect();
        let preferred = progress.preferred.take();
        let index = usable
            .iter()
            .position(|c| Some(&c.state.upstream.id) == preferred.as_ref());
        let choice = match index {
            Some(index) if !request.excluded.contains(&usable[index].state.upstream.id) => {
                UpstreamChoice {
                    index,
                    why: "redirected by a home",
                }
            }
            _ => choose_upstream(&usable, request, &mut rand::rng())?,
        };
        let state = usable[choice.index].state.clone();
        let home = state.home.clone()?;
        Some(Target {
            state,
            home,
            why: choice.why,
        })
    }

    fn is_usable(state: &UpstreamState, progress: &Progress) -> bool {
        let id = &state.upstream.id;
        let was_redirected = progress.redirects < MAX_REDIRECTS && progress.redirected.contains(id);
        let home_is_reachable = state
            .home
            .as_ref()
            .is_some_and(|home| !progress.unreachable.contains(home));
        home_is_reachable && !was_redirected && !progress.refused.contains(id)
    }

    /// Returns the upstream with the latest load summary received by any thread.
    fn candidate<'a>(
        &self,
        now: MonoTime,
        view: &FleetView,
        state: &'a UpstreamState,
    ) -> UpstreamCandidate<'a> {
        let cell = self.args.summaries.cell(&state.upstream.id);
        let latest = cell.as_ref().and_then(|cell| cell.load(now));
        UpstreamCandidate {
            state,
            summary: latest.map(|(summary, _, _)| summary).or(state.summary),
            leaving: state.leaving || latest.is_some_and(|(_, leaving, _)| leaving),
            summary_age: latest.map_or(Duration::MAX, |(_, _, age)| age),
            own_in_flight: cell.map_or(0, |cell| cell.own_in_flight.load(Relaxed)),
            distance_ms: distance_ms(view, state),
        }
    }
}

fn distance_ms(view: &FleetView, state: &UpstreamState) -> f64 {
    if state.upstream.failure_domain == view.me.failure_domain {
        0.0
    } else if state.upstream.region == view.me.region {
        view.config.policy.cross_domain_ms
    } else {
        view.config.policy.cross_region_ms
    }
}
