//! State of the home of a batch service, and access to it.

use std::{
    ops::{Deref, DerefMut},
    sync::MutexGuard,
    time::{Duration, Instant},
};

use slotmap::SecondaryMap;
use tc_policy::{BatchPlanner, HomeOutlook, JobKey, JobOutcomes, NewJob};
use tc_protocol::{MonoTime, routing::StageRequest};
use tokio::sync::oneshot;

use super::PiecesReply;
use crate::process_load::ProcessLoad;

pub(super) struct HomeState {
    pub(super) planner: BatchPlanner,
    pub(super) waiting: SecondaryMap<JobKey, oneshot::Sender<PiecesReply>>,
    pub(super) outcomes: JobOutcomes,
    /// Change counter of the rate limits that the planner uses.
    pub(super) limit_changes: u64,
    /// The last outlook that was made, and when.
    last_outlook: Option<(MonoTime, HomeOutlook)>,
}

impl HomeState {
    pub(super) fn new(planner: BatchPlanner) -> Self {
        Self {
            planner,
            waiting: SecondaryMap::new(),
            outcomes: JobOutcomes::default(),
            limit_changes: 0,
            last_outlook: None,
        }
    }

    /// Returns the last outlook if it is younger than `max_age`, or a new one.
    pub(super) fn outlook(&mut self, now: MonoTime, max_age: Duration) -> HomeOutlook {
        if let Some((made_at, outlook)) = &self.last_outlook
            && now.since(*made_at) < max_age
        {
            return outlook.clone();
        }
        let outlook = self.planner.outlook(now);
        self.last_outlook = Some((now, outlook.clone()));
        outlook
    }
}

/// Access to the state of a home; adds the time for which it is held to the load of the process.
pub(super) struct HomeGuard<'a> {
    state: MutexGuard<'a, HomeState>,
    locked_at: Instant,
    load: &'a ProcessLoad,
}

impl<'a> HomeGuard<'a> {
    pub(super) fn new(state: MutexGuard<'a, HomeState>, load: &'a ProcessLoad) -> Self {
        Self {
            state,
            locked_at: Instant::now(),
            load,
        }
    }
}

impl Deref for HomeGuard<'_> {
    type Target = HomeState;

    fn deref(&self) -> &HomeState {
        &self.state
    }
}

impl DerefMut for HomeGuard<'_> {
    fn deref_mut(&mut self) -> &mut HomeState {
        &mut self.state
    }
}

impl Drop for HomeGuard<'_> {
    fn drop(&mut self) {
        self.load.add_planning(self.locked_at.elapsed());
    }
}

/// Returns the job of a stage request that arrives at `now`.
pub(super) fn to_job(now: MonoTime, stage_request: StageRequest) -> NewJob {
    NewJob {
        request: stage_request.request,
        workspace: stage_request.workspace,
        stage: stage_request.stage,
        pieces: stage_request.pieces,
        input: stage_request.input,
        result_bytes: stage_request.result_bytes,
        priority: stage_request.priority,
        in_time_until: now.after(stage_request.in_time_for),
        deadline: now.after(stage_request.remaining),
        preferred_domain: stage_request.preferred_domain,
        held_bytes: stage_request.held_bytes,
        is_last_reader: stage_request.is_last_reader,
        dependent_pieces: stage_request.dependent_pieces,
        later_pieces: stage_request.later_pieces,
    }
}
