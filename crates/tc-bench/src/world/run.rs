//! One load on a world, with what is done to the world meanwhile, and what came of it.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use tc_protocol::InstanceId;
use tc_stand_ins::{CallRecord as StandInCall, Ending};

use super::start::World;
use crate::{
    judge::{CallRecord, Ended, Evidence, SeenCall, Verdict, judge},
    load::{Flow, Load, run_load},
    measure::{ControlCost, ControlProbe, RunReport, mean_control},
};

/// Time from setting the load up to its first request.
const LEAD_TIME: Duration = Duration::from_millis(200);
/// Time after the last answer in which upstreams may still see something.
const SETTLE: Duration = Duration::from_millis(300);

/// Results of a load.
pub(crate) struct Run<T> {
    /// When the load started.
    pub(crate) start: Instant,
    /// Records of the callers.
    pub(crate) records: Vec<CallRecord>,
    /// Records of the upstreams.
    pub(crate) calls: Vec<SeenCall>,
    /// Verdict of the judge.
    pub(crate) verdict: Verdict,
    /// Resources that instances spent on membership and on the load.
    pub(crate) control: ControlCost,
    /// Time between the two readings that `control` is from.
    pub(crate) measured_for: Duration,
    /// Value returned by the fault's future.
    pub(crate) fault: T,
}

impl<T> Run<T> {
    /// The figures that every scenario has.
    pub(crate) fn report(&self, bursting: &str) -> RunReport {
        RunReport {
            control: self.control.clone(),
            ..RunReport::of(&self.records, &self.calls, self.verdict.clone(), bursting)
        }
    }
}

impl World {
    /// Sends a load; meanwhile `fault` does to the world what the scenario wants and returns what it learned.
    ///
    /// `disturbed` are the instances that `fault` kills or pauses. All times count from the start of the load, which
    /// `fault` gets.
    pub(crate) async fn run<T>(
        &mut self,
        label: &str,
        seed: u64,
        flows: Vec<Flow>,
        disturbed: &[usize],
        fault: impl AsyncFnOnce(&mut Self, Instant) -> T,
    ) -> Run<T> {
        let load = Load {
            flows,
            seed,
            label: label.to_owned(),
            config: std::sync::Arc::clone(&self.config),
            entries: self.entries(),
        };
        let disturbed = disturbed
            .iter()
            .map(|at| self.instances[*at].id.clone())
            .collect();
        let before = self.probes().await;
        let probed = Instant::now();
        let start = Instant::now() + LEAD_TIME;
        let (records, fault) = tokio::join!(run_load(load, start), fault(self, start));
        let measured_for = probed.elapsed();
        let after = self.probes().await;
        tokio::time::sleep(SETTLE).await;
        let calls = self.seen_calls(start);
        let verdict = judge(&records, &self.evidence(calls.clone(), disturbed));
        Run {
            start,
            records,
            calls,
            verdict,
            control: control_between(&before, &after),
            measured_for,
            fault,
        }
    }

    /// Sends a load to an undisturbed world.
    pub(crate) async fn run_quiet(&mut self, label: &str, seed: u64, flows: Vec<Flow>) -> Run<()> {
        self.run(label, seed, flows, &[], async |_, _| ()).await
    }

    /// Measures the resources that instances spend in `length` without faults.
    pub(crate) async fn idle_cost(&self, length: Duration) -> ControlCost {
        let before = self.probes().await;
        tokio::time::sleep(length).await;
        control_between(&before, &self.probes().await)
    }

    /// Everything upstreams saw since the world's start; times count from `start`.
    pub(crate) fn seen_calls(&self, start: Instant) -> Vec<SeenCall> {
        self.recorder
            .calls()
            .iter()
            .map(|call| seen_call(call, start))
            .collect()
    }

    fn evidence(&self, calls: Vec<SeenCall>, disturbed: BTreeSet<InstanceId>) -> Evidence {
        let once_services = self
            .config
            .services
            .iter()
            .filter(|(_, service)| !service.idempotent)
            .map(|(name, _)| name.to_string())
            .collect();
        Evidence {
            calls,
            once_services,
            disturbed,
        }
    }

    /// Counters of every instance that runs and answers.
    pub(crate) async fn probes(&self) -> Vec<(InstanceId, ControlProbe)> {
        let mut probes = Vec::new();
        for at in 0..self.instances.len() {
            let Some(pid) = self.instances[at].pid() else {
                continue;
            };
            let metrics = self.metrics(at).await;
            if let Some(probe) = ControlProbe::read(pid, &metrics) {
                probes.push((self.instances[at].id.clone(), probe));
            }
        }
        probes
    }
}

/// Mean cost of the instances that were there from `before` to `after`.
fn control_between(
    before: &[(InstanceId, ControlProbe)],
    after: &[(InstanceId, ControlProbe)],
) -> ControlCost {
    let costs: Vec<ControlCost> = before
        .iter()
        .filter_map(|(id, first)| {
            let (_, second) = after.iter().find(|(other, _)| other == id)?;
            Some(first.cost_until(second))
        })
        .collect();
    mean_control(&costs)
}

fn seen_call(call: &StandInCall, start: Instant) -> SeenCall {
    let text = |name: Option<&str>| name.unwrap_or_default().to_owned();
    SeenCall {
        upstream: call.upstream.to_string(),
        service: call.service.to_string(),
        request_id: text(call.request.as_ref().map(tc_protocol::RequestId::as_str)),
        stage: text(call.stage.as_ref().map(tc_protocol::StageName::as_str)),
        key: call.idempotency_key.as_deref().map(str::to_owned),
        ran: call.started_at.is_some(),
        arrived_ms: signed_ms(call.received_at, start),
        ended_ms: call
            .ended_at
            .map_or(f64::INFINITY, |at| signed_ms(at, start)),
        ended: match call.ending {
            Some(Ending::Answered) => Ended::Answered,
            Some(Ending::Crashed) => Ended::Crashed,
            _ => Ended::Otherwise,
        },
        busy_ms: call.busy.as_secs_f64() * 1_000.0,
        tokens: u64::from(call.usage.prompt_tokens) + u64::from(call.usage.completion_tokens),
    }
}

/// Milliseconds from `start` to `at`, negative when `at` is before.
fn signed_ms(at: Instant, start: Instant) -> f64 {
    let later = at.saturating_duration_since(start).as_secs_f64();
    let earlier = start.saturating_duration_since(at).as_secs_f64();
    (later - earlier) * 1_000.0
}
