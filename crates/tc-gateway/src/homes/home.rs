//! The home of one batch service: drives its planner.

use std::{
    sync::{Arc, Mutex, PoisonError, Weak},
    time::Duration,
};

use tc_policy::{
    BatchCall, BatchPlanner, BatchUpstream, HomeOutlook, JobKey, JobOutcome, OutcomeCounts,
    PlannerEffects, UnusedResults, UsedShares,
};
use tc_protocol::{
    MonoTime, ServiceName, UpstreamId,
    routing::{BatchSpec, ResultHandle, StageRefusal, StageRequest},
};
use tokio::{
    sync::{Notify, oneshot, watch::Receiver},
    time::{sleep, timeout},
};

use super::{
    HomeContext, PiecesReply, calls,
    state::{HomeGuard, HomeState, to_job},
};
use crate::world::World;

/// Longest wait between two checks of the planner when no event is scheduled.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(1);
/// Shortest interval between two checks of the planner. A check goes through all waiting jobs.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Age up to which an outlook is reported again. Making one goes through all waiting jobs.
const MAX_OUTLOOK_AGE: Duration = Duration::from_millis(5);

/// Runs the planner of one batch service and makes the calls it decides on.
pub(super) struct BatchHome {
    pub(super) cx: Arc<HomeContext>,
    pub(super) service: ServiceName,
    state: Mutex<HomeState>,
    /// Wakes the timer task, which sleeps until the next event scheduled by the planner.
    wake: Notify,
}

impl BatchHome {
    /// Starts the home with the upstream time that workspaces used at its predecessor, as far as that is known.
    pub(super) fn start(
        cx: Arc<HomeContext>,
        service: ServiceName,
        spec: BatchSpec,
        shares: &UsedShares,
    ) -> Arc<Self> {
        let retry_budget = cx.retry_budgets.new_home_budget();
        let mut planner = BatchPlanner::new(spec, retry_budget);
        planner.seed_shares(MonoTime::now(), shares);
        let home = Arc::new(Self {
            cx,
            service,
            state: Mutex::new(HomeState::new(planner)),
            wake: Notify::new(),
        });
        // Subscribe before reading the world: a change in between would be missed until the next one, and the home
        // would know no upstream for seconds although all are registered.
        let changes = home.cx.world.changes();
        home.update_from_world();
        tokio::spawn(follow_world(Arc::downgrade(&home), changes));
        tokio::spawn(run_timer(Arc::downgrade(&home)));
        home
    }

    /// Makes the pieces of a stage. Dropping the future cancels what has not started.
    pub(super) async fn make_pieces(self: Arc<Self>, stage_request: StageRequest) -> PiecesReply {
        let in_time_until = MonoTime::now().after(stage_request.in_time_for);
        let reply = Arc::clone(&self).queue_job(stage_request).await;
        let outcome = match &reply {
            Ok(_) if MonoTime::now() <= in_time_until => JobOutcome::OnTime,
            Ok(_) => JobOutcome::Late,
            Err(_) => JobOutcome::Refused,
        };
        self.record_outcome(outcome);
        reply
    }

    /// Counts the end of a job, and logs what this home knows while its service is short.
    pub(super) fn record_outcome(&self, outcome: JobOutcome) {
        let service = self.service.as_str().to_owned();
        metrics::counter!("tc_batch_jobs_total", "result" => outcome.label(), "service" => service)
            .increment(1);
        let now = MonoTime::now();
        let short = self.lock().outcomes.record(now, outcome);
        if let Some(counts) = short {
            self.log_shortage(now, counts);
        }
    }

    fn log_shortage(&self, now: MonoTime, counts: OutcomeCounts) {
        let load = self.lock().planner.load(now);
        log::info!(
            service = self.service.as_str(),
            on_time = counts.on_time,
            late = counts.late,
            refused = counts.refused,
            waiting_on_time = load.on_time_pieces,
            waiting_late = load.late_pieces,
            calls = load.calls,
            free_upstreams = load.free_upstreams,
            upstreams = load.upstreams,
            result_bytes = load.result_bytes,
            result_capacity_bytes = load.result_capacity_bytes,
            typical_call_ms = load.typical_call.as_millis() as u64,
            displaced = load.displaced_jobs,
            workspaces_over_share = load.workspaces_over_share;
            "batch service is short"
        );
    }

    async fn queue_job(self: Arc<Self>, stage_request: StageRequest) -> PiecesReply {
        let now = MonoTime::now();
        let (reply, answer) = oneshot::channel();
        let request = Arc::clone(&stage_request.request);
        let job = {
            let mut inner = self.lock();
            let wait = inner.planner.expected_wait();
            let inputs_expire_at = self.inputs_expire_at(now, &stage_request.input);
            let push = if stage_request.is_repeat {
                BatchPlanner::push_repeat
            } else {
                BatchPlanner::push
            };
            let pushed = push(&mut inner.planner, now, to_job(now, stage_request));
            let job = pushed.inspect_err(|refusal| {
                let service = self.service.as_str().to_owned();
                metrics::counter!("tc_stage_refusals_total", "service" => service).increment(1);
                log::info!(request = &*request, service = self.service.as_str(), wait_ms = wait.as_millis() as u64, refusal = format!("{refusal:?}").as_str(); "stage refused");
            })?;
            inner.planner.set_input_expiry(job, inputs_expire_at);
            inner.waiting.insert(job, reply);
            job
        };
        let cancel = CancelOnDrop {
            home: Arc::clone(&self),
            job: Some(job),
        };
        self.drive();
        self.wake.notify_one();
        let answer = answer.await;
        cancel.disarm();
        // The sender is dropped only with the home itself.
        answer.unwrap_or(Err(StageRefusal::Failed))
    }

    /// Returns the outlook of this home for requests that start now.
    pub(super) fn outlook(&self) -> HomeOutlook {
        self.outlook_of_age(Duration::ZERO)
    }

    /// Returns an outlook for other instances, which get it a few milliseconds later anyway.
    pub(super) fn recent_outlook(&self) -> HomeOutlook {
        self.outlook_of_age(MAX_OUTLOOK_AGE)
    }

    fn outlook_of_age(&self, max_age: Duration) -> HomeOutlook {
        self.lock().outlook(MonoTime::now(), max_age)
    }

    /// Frees the capacity that the planner accounts for released results.
    pub(super) fn results_freed(self: &Arc<Self>, handles: &[ResultHandle]) {
        {
            let mut inner = self.lock();
            for handle in handles {
                inner.planner.result_freed(handle);
            }
        }
        self.drive();
    }

    /// Starts every call that the planner wants to make now.
    fn drive(self: &Arc<Self>) {
        let now = MonoTime::now();
        self.update_limits(now);
        self.reclaim(now);
        loop {
            let call = self.lock().planner.next_call(now);
            let Some(call) = call else { return };
            tokio::spawn(Arc::clone(self).run(call));
        }
    }

    async fn run(self: Arc<Self>, call: BatchCall) {
        let key = call.key;
        let started = MonoTime::now();
        let service = self.service.as_str().to_owned();
        metrics::counter!("tc_batch_pieces_total", "service" => service.clone())
            .increment(call.pieces.len() as u64);
        let end = calls::make_pieces(&self, call).await;
        let took = MonoTime::now().since(started);
        metrics::histogram!("tc_batch_call_ms", "service" => service)
            .record(took.as_secs_f64() * 1_000.0);
        let retry_limits = self.cx.retry_budgets.limits();
        self.step(|planner| {
            let now = MonoTime::now();
            planner.set_retry_limits(now, retry_limits);
            planner.set_slowdowns(now, |id| self.cx.upstream_stats.momentary_slowdown(id));
            planner.end_call(now, key, end)
        });
        self.drive();
        self.wake.notify_one();
    }

    /// Runs a planner step that may finish jobs, and sends the results to the waiting requests; returns how many jobs
    /// finished.
    ///
    /// Both happen under one lock. A job added in between would take the slot of the finished one, whose answer would
    /// be lost: its request was refused for a failed stage, while its results existed and nobody freed them.
    fn step(self: &Arc<Self>, step: impl FnOnce(&mut BatchPlanner) -> PlannerEffects) -> usize {
        let effects = {
            let mut inner = self.lock();
            let mut effects = step(&mut inner.planner);
            for finished in &mut effects.finished {
                if let Some(reply) = inner.waiting.remove(finished.job) {
                    let result = std::mem::replace(&mut finished.result, Ok(Vec::new()));
                    // Fails only if the requester is gone; it frees the results itself.
                    let _ = reply.send(result);
                }
            }
            effects
        };
        self.report_unused(effects.unused);
        self.discard(&effects.discarded_results);
        self.release_inputs(&effects.released_inputs, Duration::ZERO);
        self.log_displaced();
        effects.finished.len()
    }

    /// Logs jobs that gave way to more urgent ones.
    fn log_displaced(&self) {
        let displaced = self.lock().planner.take_displaced();
        for job in displaced {
            let service = self.service.as_str().to_owned();
            let reason = if job.is_over_share {
                "over share"
            } else {
                "priority"
            };
            metrics::counter!("tc_batch_displaced_total", "reason" => reason, "service" => service)
                .increment(1);
            log::info!(request = &*job.request, service = self.service.as_str(), priority = job.priority, reason = reason; "stage displaced by more urgent work");
        }
    }

    /// Releases the inputs that the pieces of a stage have read, through the homes of the services that made them.
    fn release_inputs(&self, inputs: &[ResultHandle], hold_for: Duration) {
        if inputs.is_empty() {
            return;
        }
        let world = self.cx.world.load();
        for input in inputs {
            let Some(upstream) = world.upstreams.upstream_of_result(input) else {
                log::debug!(result = &*input.0; "the upstream that held a result is gone, and the result with it");
                continue;
            };
            self.cx
                .releaser
                .release_after(&upstream.service, input.clone(), hold_for);
        }
    }

    /// Sends requests whose work has not started on to the new home of the service.
    pub(super) fn hand_over(self: &Arc<Self>) {
        let requests = self.step(BatchPlanner::hand_over);
        if requests > 0 {
            log::info!(service = self.service.as_str(), asks = requests; "home of a batch service moved to another instance; pending requests handed over");
        }
    }

    fn cancel(self: &Arc<Self>, job: JobKey) {
        let discarded = {
            let mut inner = self.lock();
            inner.waiting.remove(job);
            inner.planner.cancel(job)
        };
        let request_gone = discarded.len();
        self.report_unused(UnusedResults {
            request_gone,
            ..UnusedResults::default()
        });
        self.discard(&discarded);
    }

    fn update_from_world(&self) {
        let world = self.cx.world.load();
        let upstreams: Vec<BatchUpstream> = world
            .upstreams
            .of_service(self.service.as_str())
            .iter()
            .filter(|upstream| upstream.takes_work())
            .map(|upstream| BatchUpstream {
                id: upstream.id.clone(),
                domain: upstream.failure_domain.clone(),
            })
            .collect();
        let service = world
            .config
            .as_ref()
            .and_then(|config| config.service(self.service.as_str()));
        let mut inner = self.lock();
        if let Some(spec) = service.and_then(|service| service.batch) {
            inner.planner.set_spec(spec);
        }
        inner.planner.set_upstreams(&upstreams);
        // Upstreams that are new here may already have rate limits.
        inner.limit_changes = 0;
    }

    /// Passes changed rate limits of upstreams to the planner.
    fn update_limits(&self, now: MonoTime) {
        let limits = &self.cx.limits;
        let changes = limits.changes();
        let mut inner = self.lock();
        if changes != inner.limit_changes {
            inner.limit_changes = changes;
            inner.planner.set_limits(now, |id| limits.get(id));
        }
    }

    pub(super) fn lock(&self) -> HomeGuard<'_> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        HomeGuard::new(state, &self.cx.load)
    }
}

/// Cancels a job when its requester is gone.
struct CancelOnDrop {
    home: Arc<BatchHome>,
    job: Option<JobKey>,
}

impl CancelOnDrop {
    /// Called when the job has ended, so that it is not cancelled.
    fn disarm(mut self) {
        self.job = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(job) = self.job.take() {
            self.home.cancel(job);
        }
    }
}

async fn follow_world(home: Weak<BatchHome>, mut changes: Receiver<u64>) {
    while changes.changed().await.is_ok() {
        let Some(home) = home.upgrade() else { return };
        home.update_from_world();
        home.drive();
    }
}

/// Checks the planner when the passing of time alone changes what it can do.
async fn run_timer(home: Weak<BatchHome>) {
    loop {
        let Some(home) = home.upgrade() else { return };
        let now = MonoTime::now();
        let next = home.lock().planner.next_wake(now);
        let wait = next.map_or(MAX_IDLE_WAIT, |at| at.since(now).max(MIN_CHECK_INTERVAL));
        // The planner is checked whether the wait timed out or not.
        let _ = timeout(wait, home.wake.notified()).await;
        sleep(MIN_CHECK_INTERVAL.saturating_sub(MonoTime::now().since(now))).await;
        let now = MonoTime::now();
        home.step(|planner| planner.refuse_late_jobs(now));
        let fetched = home.lock().planner.take_fetched_inputs(now);
        home.release_inputs(&fetched.results, fetched.hold_for);
        home.drive();
    }
}

/// Returns the address of an upstream if it still takes work; looked up right before each call.
pub(super) fn address_of(
    world: &World,
    service: &ServiceName,
    id: &UpstreamId,
) -> Option<std::net::SocketAddr> {
    let upstream = world.upstreams.upstream(id)?;
    (upstream.service == *service && upstream.takes_work()).then_some(upstream.address)
}
