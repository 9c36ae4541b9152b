//! Which upstream to ask for next.

use std::{sync::atomic::Ordering::Relaxed, time::Duration};

use tc_policy::{UpstreamCandidate, UpstreamChoice, choose_upstream};
use tc_protocol::{FleetView, InstanceId, MonoTime, PermitRequest, UpstreamState};

use super::ask::{AskDesk, Progress, REDIRECTS};

/// An upstream and the home to ask.
pub(super) struct Target {
    pub(super) state: UpstreamState,
    pub(super) home: InstanceId,
    pub(super) why: &'static str,
}

impl AskDesk {
    pub(super) fn target(
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
        let tried = progress.redirects < REDIRECTS && progress.redirected.contains(id);
        let home_is_there = state
            .home
            .as_ref()
            .is_some_and(|home| !progress.unreachable.contains(home));
        home_is_there && !tried && !progress.refused.contains(id)
    }

    /// The upstream with the newest load that any thread has heard.
    fn candidate<'a>(
        &self,
        now: MonoTime,
        view: &FleetView,
        state: &'a UpstreamState,
    ) -> UpstreamCandidate<'a> {
        let cell = self.args.summaries.cell(&state.upstream.id);
        let heard = cell.as_ref().and_then(|cell| cell.load(now));
        UpstreamCandidate {
            state,
            summary: heard.map(|(summary, _, _)| summary).or(state.summary),
            leaving: state.leaving || heard.is_some_and(|(_, leaving, _)| leaving),
            summary_age: heard.map_or(Duration::MAX, |(_, _, age)| age),
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
