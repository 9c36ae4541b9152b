//! Sends a planned load and notes what callers were told.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use tc_protocol::{FleetConfig, RunState, WorkspaceName};
use tokio::task::JoinSet;

use super::{
    caller::{Binding, Caller, Reply, Request},
    content::{request, token},
    flow::{Flow, Resend, What},
    plan::{Arrival, arrivals},
    progress::say,
};
use crate::judge::{CallRecord, Told};

/// Callers each workspace has, each with its own connections and address answer.
const CALLERS_PER_WORKSPACE: usize = 4;
/// Interval of progress messages.
const PROGRESS_EVERY: Duration = Duration::from_millis(500);
/// Wait before a resend.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
/// Least time left for which a resend is worth it.
const RESEND_MIN_LEFT: Duration = Duration::from_millis(50);

/// A load that is ready to be sent.
pub(crate) struct Load {
    /// Requests to send.
    pub(crate) flows: Vec<Flow>,
    /// Seed of arrival times and inputs.
    pub(crate) seed: u64,
    /// Distinguishes inputs and keys from those of other loads of the same world.
    pub(crate) label: String,
    /// Stages of the pipelines.
    pub(crate) config: Arc<FleetConfig>,
    /// Caller addresses known from settings.
    pub(crate) entries: Vec<SocketAddr>,
}

/// Sends the whole load from `start` on and waits for every request's end.
pub(crate) async fn run_load(load: Load, start: Instant) -> Vec<CallRecord> {
    let callers = callers(&load);
    let load = Arc::new(load);
    let plan = arrivals(&load.flows, load.seed);
    let total = plan.len();
    let mut tasks: JoinSet<Vec<CallRecord>> = JoinSet::new();
    let mut said = start;
    for (sent, arrival) in plan.into_iter().enumerate() {
        tokio::time::sleep_until((start + arrival.due).into()).await;
        let flow = arrival.flow;
        let caller = Arc::clone(&callers[flow][sent % CALLERS_PER_WORKSPACE]);
        tasks.spawn(send(Arc::clone(&load), caller, arrival, start));
        if said.elapsed() > PROGRESS_EVERY {
            said = Instant::now();
            say(&format!(
                "{}: {:.0} s, {sent} of {total} requests sent",
                load.label,
                start.elapsed().as_secs_f64()
            ));
        }
    }
    say(&format!("{}: waiting for the last answers", load.label));
    let records = tasks.join_all().await.into_iter().flatten().collect();
    say("");
    records
}

/// Callers by flow; flows of one workspace share theirs, spread over the entries.
fn callers(load: &Load) -> Vec<Vec<Arc<Caller>>> {
    let mut made: Vec<(WorkspaceName, Vec<Arc<Caller>>)> = Vec::new();
    load.flows
        .iter()
        .map(|flow| {
            if let Some((_, callers)) = made.iter().find(|(w, _)| *w == flow.workspace) {
                return callers.clone();
            }
            let first = made.len() * CALLERS_PER_WORKSPACE;
            let callers: Vec<_> = (first..first + CALLERS_PER_WORKSPACE)
                .map(|at| Arc::new(caller_of(&flow.workspace, &load.entries, at)))
                .collect();
            made.push((flow.workspace.clone(), callers.clone()));
            callers
        })
        .collect()
}

/// The `at`-th caller, which asks a different entry first than its neighbours do.
fn caller_of(workspace: &WorkspaceName, entries: &[SocketAddr], at: usize) -> Caller {
    let mut entries = entries.to_vec();
    let by = at % entries.len().max(1);
    entries.rotate_left(by);
    Caller::new(workspace.as_str(), &token(workspace), entries)
}

async fn send(
    load: Arc<Load>,
    caller: Arc<Caller>,
    arrival: Arrival,
    start: Instant,
) -> Vec<CallRecord> {
    let flow = &load.flows[arrival.flow];
    let due = start + arrival.due;
    let request = request(&load.config, flow, &load.label, load.seed, arrival.number);
    let resend = match flow.what {
        What::Once(_, resend) => resend,
        _ => Resend::CLAIMED,
    };
    let replies = if resend.twice {
        let (a, b) = tokio::join!(
            caller.send(&request, due),
            send_until_known(&caller, request.clone(), resend, due)
        );
        vec![a, b]
    } else {
        vec![send_until_known(&caller, request.clone(), resend, due).await]
    };
    replies
        .into_iter()
        .map(|reply| record(flow, &request, arrival.due, due, reply))
        .collect()
}

/// Sends a request, and again with the same key and binding while its outcome is unknown.
async fn send_until_known(
    caller: &Caller,
    mut request: Request,
    resend: Resend,
    due: Instant,
) -> Reply {
    let mut reply = caller.send(&request, due).await;
    let first_instance = reply.instance.clone();
    for _ in 0..resend.times {
        if !is_unknown(&reply.told) {
            break;
        }
        if request.binding == Binding::Receiver {
            request.binding = reply
                .binding
                .clone()
                .map_or(Binding::Receiver, Binding::First);
        }
        tokio::time::sleep(RESEND_PAUSE).await;
        if request.timeout.saturating_sub(due.elapsed()) < RESEND_MIN_LEFT {
            break;
        }
        reply = caller.send(&request, due).await;
    }
    reply.first_instance = first_instance;
    reply
}

fn is_unknown(told: &Told) -> bool {
    match told {
        Told::Broken | Told::Silent | Told::NotSent => true,
        Told::Failed { run_state, .. } => *run_state == Some(RunState::Unknown),
        Told::Answered { .. } => false,
    }
}

fn record(
    flow: &Flow,
    request: &Request,
    due: Duration,
    since: Instant,
    reply: Reply,
) -> CallRecord {
    CallRecord {
        workspace: flow.workspace.clone(),
        target: flow.target(),
        key: request.key.clone(),
        request_id: reply.request_id,
        bound: request.binding != Binding::None,
        first_instance: reply.first_instance,
        instance: reply.instance,
        due_ms: due.as_secs_f64() * 1_000.0,
        took_ms: reply.ended_at.duration_since(since).as_secs_f64() * 1_000.0,
        deadline_ms: flow.timeout.as_secs_f64() * 1_000.0,
        told: reply.told,
        event_ids: reply.event_ids,
        first_token_ms: reply.first_ms,
        between_tokens_ms: reply.between_ms,
    }
}
