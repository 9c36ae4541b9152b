//! Weighted fair queueing over workspaces by cost, in virtual time.
//!
//! Every workspace has a tag: its accumulated charge divided by its weight. The waiting workspace with the lowest tag
//! is served next. Virtual time is the highest tag at which any grant started. A workspace that returns from idle
//! starts only a few calls behind virtual time, so it gets almost no credit for its idle time.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use slotmap::SlotMap;
use tc_protocol::{MonoTime, WorkspaceName};

use super::{HomePermitRequest, concurrency::millis};

slotmap::new_key_type! {
    /// Key of a waiting request at one home.
    pub struct QueuedRequestKey;
}

slotmap::new_key_type! {
    /// Key of a workspace at one home.
    pub(super) struct FlowKey;
}

/// Time for which a workspace counts as active after its last request or running call.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time over which a workspace's concurrent calls are averaged.
const CONCURRENCY_WINDOW: Duration = Duration::from_secs(10);
/// Weight of the latest call in the moving averages of service time and charge.
const MEAN_WEIGHT: f64 = 0.1;
/// Calls longer than the other workspaces' calls by this factor need more headroom.
const LONG_CALL_FACTOR: f64 = 2.0;
/// Headroom against calls that are not long, as a multiple of the square root of the others' concurrent calls.
const SHORT_CALL_HEADROOM: f64 = 1.0;
/// The same against long calls, in addition to the slots that the others' running calls use.
const LONG_CALL_HEADROOM: f64 = 2.5;
/// Concurrency limit below which there is no headroom.
const MIN_LIMIT_FOR_HEADROOM: u32 = 3;
/// Smallest charge for a call, so that calls with an estimate of zero still take turns.
const MIN_CHARGE: f64 = 1.0;

/// Number of calls that a workspace below its share may start before it takes turns with the others.
///
/// With no credit, a call of a small workspace that closely follows another one waits for a turn of a bursting
/// workspace, although the small one uses only a fraction of its share. This showed as a p99 wait of five call
/// starts. With more than a few calls of credit, a workspace that returns from idle would delay all others.
const CREDIT_CALLS: f64 = 2.0;

/// Order within a workspace: by priority, then by the end of the slack, then by arrival.
type RequestOrder = (u8, MonoTime, QueuedRequestKey);

/// A waiting request.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: HomePermitRequest,
    pub(super) flow: FlowKey,
    pub(super) since: MonoTime,
    pub(super) slack_ends: MonoTime,
}

#[derive(Debug)]
struct Flow {
    workspace: WorkspaceName,
    weight: u32,
    tag: f64,
    running: u32,
    waiting: BTreeSet<RequestOrder>,
    last_active: MonoTime,
    mean_concurrency: MeanConcurrency,
    /// Mean time for which the workspace's calls hold a permit; zero if unknown.
    mean_ms: f64,
}

/// Exponential moving average of concurrent calls over [`CONCURRENCY_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct MeanConcurrency {
    average: f64,
    at: MonoTime,
}

impl MeanConcurrency {
    fn at(&self, now: MonoTime, running: u32) -> f64 {
        let running = f64::from(running);
        let windows = now.since(self.at).as_secs_f64() / CONCURRENCY_WINDOW.as_secs_f64();
        running + (self.average - running) * (-windows).exp()
    }

    fn record(&mut self, now: MonoTime, running_until_now: u32) {
        self.average = self.at(now, running_until_now);
        self.at = now;
    }
}

/// Running calls of the workspaces below their share.
#[derive(Clone, Copy, Debug, Default)]
struct FlowsBelowShare {
    running: u32,
    mean_concurrency: f64,
    sum_of_means_ms: f64,
    measured: u32,
}

/// The waiting requests, and the charges of each workspace.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    flows: SlotMap<FlowKey, Flow>,
    by_name: HashMap<WorkspaceName, FlowKey>,
    requests: SlotMap<QueuedRequestKey, QueuedRequest>,
    slack_ends: BTreeSet<(MonoTime, QueuedRequestKey)>,
    /// Workspaces with waiting requests, by tag. Tags are not negative, so their bit patterns sort like the numbers.
    backlogged: BTreeSet<(u64, FlowKey)>,
    backlogged_weight: u64,
    known_weight: u64,
    virtual_time: f64,
    highest_tag: f64,
    /// Mean charge of a call.
    charge_per_call: f64,
    running: u32,
    last_removal: MonoTime,
}

impl FairQueue {
    /// Returns the workspace's flow and updates its weight. Inserts the flow if it does not exist.
    pub(super) fn get_or_insert_flow(
        &mut self,
        now: MonoTime,
        name: &WorkspaceName,
        weight: u32,
    ) -> FlowKey {
        self.remove_idle(now);
        let weight = weight.max(1);
        let Some(&key) = self.by_name.get(name) else {
            self.known_weight += u64::from(weight);
            let key = self.flows.insert(Flow {
                workspace: name.clone(),
                weight,
                tag: self.virtual_time,
                running: 0,
                waiting: BTreeSet::new(),
                last_active: now,
                mean_concurrency: MeanConcurrency {
                    average: 0.0,
                    at: now,
                },
                mean_ms: 0.0,
            });
            self.by_name.insert(name.clone(), key);
            return key;
        };
        let flow = &mut self.flows[key];
        flow.last_active = now;
        let old = std::mem::replace(&mut flow.weight, weight);
        self.known_weight = self.known_weight - u64::from(old) + u64::from(weight);
        if !flow.waiting.is_empty() {
            self.backlogged_weight = self.backlogged_weight - u64::from(old) + u64::from(weight);
        }
        key
    }

    /// Returns the weight of a workspace, or 1 if it is unknown.
    pub(super) fn weight_of(&self, name: &WorkspaceName) -> u32 {
        self.by_name.get(name).map_or(1, |&k| self.flows[k].weight)
    }

    /// Queues a request.
    pub(super) fn push(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        request: HomePermitRequest,
    ) -> QueuedRequestKey {
        let slack_ends = now.after(request.slack);
        let priority = request.priority;
        let key = self.requests.insert(QueuedRequest {
            request,
            flow,
            since: now,
            slack_ends,
        });
        self.slack_ends.insert((slack_ends, key));
        let state = &mut self.flows[flow];
        if state.waiting.is_empty() {
            let credit = CREDIT_CALLS * self.charge_per_call / f64::from(state.weight);
            state.tag = state.tag.max(self.virtual_time - credit);
            self.backlogged.insert((state.tag.to_bits(), flow));
            self.backlogged_weight += u64::from(state.weight);
        }
        state.waiting.insert((priority, slack_ends, key));
        key
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, key: QueuedRequestKey) -> Option<QueuedRequest> {
        let waiting = self.requests.remove(key)?;
        self.slack_ends.remove(&(waiting.slack_ends, key));
        let flow = &mut self.flows[waiting.flow];
        flow.waiting
            .remove(&(waiting.request.priority, waiting.slack_ends, key));
        if flow.waiting.is_empty() {
            self.backlogged.remove(&(flow.tag.to_bits(), waiting.flow));
            self.backlogged_weight -= u64::from(flow.weight);
        }
        Some(waiting)
    }

    /// Returns the next request that may start if `free` of `limit` calls are free.
    pub(super) fn next(&self, now: MonoTime, free: u32, limit: u32) -> Option<QueuedRequestKey> {
        if free == 0 {
            return None;
        }
        self.backlogged
            .iter()
            .map(|&(_, flow)| flow)
            .find(|&flow| self.may_start(now, flow, free, limit))
            .and_then(|flow| self.flows[flow].waiting.first())
            .map(|&(_, _, key)| key)
    }

    /// Returns the next request regardless of free calls.
    pub(super) fn first(&self) -> Option<QueuedRequestKey> {
        let &(_, flow) = self.backlogged.first()?;
        self.flows[flow].waiting.first().map(|&(_, _, key)| key)
    }

    /// Returns true if this workspace may start one of the `free` calls.
    pub(super) fn may_start(&self, now: MonoTime, flow: FlowKey, free: u32, limit: u32) -> bool {
        // The headroom is at most half the limit, so it need not be computed while more than that is free.
        free > limit / 2 || free > self.headroom(now, flow, limit)
    }

    /// Returns how many calls must remain free after this workspace starts one.
    ///
    /// Queue order is fair only among waiting requests. A workspace that bursts while the others pause would fill
    /// every slot, and each call of a small workspace would first wait for a call of the large one to end. With long
    /// calls of the large workspace, this showed as a p99 of several service times. So a workspace that has reached
    /// its share leaves some slots to the other recently active workspaces: about the standard deviation of their
    /// concurrent calls, which is the square root of the mean.
    fn headroom(&self, now: MonoTime, flow: FlowKey, limit: u32) -> u32 {
        if self.flows.len() < 2 || limit < MIN_LIMIT_FOR_HEADROOM {
            return 0;
        }
        let flow = &self.flows[flow];
        if self.is_below_share(flow, limit) {
            return 0;
        }
        let others = self.below_share(now, limit);
        let deviation = others.mean_concurrency.sqrt();
        if flow.mean_ms * f64::from(others.measured) > LONG_CALL_FACTOR * others.sum_of_means_ms {
            return ((deviation * LONG_CALL_HEADROOM).ceil() as u32).clamp(1, limit / 2);
        }
        let headroom =
            ((deviation * SHORT_CALL_HEADROOM).ceil() as u32).clamp(1, limit.div_ceil(4));
        headroom.saturating_sub(others.running)
    }

    /// Sums up the workspaces that are below their share.
    fn below_share(&self, now: MonoTime, limit: u32) -> FlowsBelowShare {
        let mut others = FlowsBelowShare::default();
        for flow in self.flows.values() {
            if !self.is_below_share(flow, limit) {
                continue;
            }
            others.running += flow.running;
            others.mean_concurrency += flow.mean_concurrency.at(now, flow.running);
            if flow.mean_ms > 0.0 {
                others.sum_of_means_ms += flow.mean_ms;
                others.measured += 1;
            }
        }
        others
    }

    /// Returns true if the workspace can start another call within its share of the concurrency limit.
    fn is_below_share(&self, flow: &Flow, limit: u32) -> bool {
        let share = u64::from(limit) * u64::from(flow.weight);
        u64::from(flow.running) < share.div_ceil(self.known_weight.max(1))
    }

    /// Charges a call that starts.
    pub(super) fn start(&mut self, now: MonoTime, flow: FlowKey, units: f64) {
        let state = &mut self.flows[flow];
        state.last_active = now;
        state.mean_concurrency.record(now, state.running);
        state.running += 1;
        self.running += 1;
        let charge = units.max(MIN_CHARGE);
        self.charge_per_call += (charge - self.charge_per_call) * MEAN_WEIGHT;
        let credit = CREDIT_CALLS * self.charge_per_call / f64::from(state.weight);
        let start = state.tag.max(self.virtual_time - credit);
        let tag = start + charge / f64::from(state.weight);
        self.virtual_time = self.virtual_time.max(start);
        self.retag(flow, tag);
    }

    /// Records the end of a call that ran for `ran`, and adjusts its charge by `correction` units.
    pub(super) fn end(&mut self, now: MonoTime, flow: FlowKey, ran: Duration, correction: f64) {
        let state = &mut self.flows[flow];
        state.last_active = now;
        state.mean_concurrency.record(now, state.running);
        let ran_ms = millis(ran);
        state.mean_ms = if state.mean_ms > 0.0 {
            state.mean_ms + (ran_ms - state.mean_ms) * MEAN_WEIGHT
        } else {
            ran_ms
        };
        state.running = state.running.saturating_sub(1);
        self.running = self.running.saturating_sub(1);
        let tag = (state.tag + correction / f64::from(state.weight)).max(0.0);
        self.retag(flow, tag);
        if self.running == 0 && self.requests.is_empty() {
            self.virtual_time = self.virtual_time.max(self.highest_tag);
        }
    }

    fn retag(&mut self, key: FlowKey, tag: f64) {
        let flow = &mut self.flows[key];
        if !flow.waiting.is_empty() {
            self.backlogged.remove(&(flow.tag.to_bits(), key));
            self.backlogged.insert((tag.to_bits(), key));
        }
        flow.tag = tag;
        self.highest_tag = self.highest_tag.max(tag);
    }

    /// Estimates how many requests, including those of other workspaces, are served before a new request.
    pub(super) fn requests_ahead(
        &self,
        flow: FlowKey,
        priority: u8,
        slack_ends: MonoTime,
    ) -> usize {
        let state = &self.flows[flow];
        let own_requests = state
            .waiting
            .iter()
            .take_while(|&&(p, ends, _)| (p, ends) <= (priority, slack_ends))
            .count();
        let mut weights = self.backlogged_weight;
        if state.waiting.is_empty() {
            weights += u64::from(state.weight);
        }
        let turns = (own_requests + 1) as f64 * weights as f64 / f64::from(state.weight);
        (turns.ceil() as usize - 1).min(self.requests.len())
    }

    /// Returns the number of waiting requests of one workspace.
    pub(super) fn waiting_of(&self, flow: FlowKey) -> usize {
        self.flows[flow].waiting.len()
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of known workspaces.
    pub(super) fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Returns when the slack of the next request ends.
    pub(super) fn next_slack_end(&self) -> Option<MonoTime> {
        self.slack_ends.first().map(|&(at, _)| at)
    }

    /// Returns a request whose slack has ended, if any.
    pub(super) fn expired(&self, now: MonoTime) -> Option<QueuedRequestKey> {
        self.slack_ends
            .first()
            .filter(|&&(at, _)| at <= now)
            .map(|&(_, key)| key)
    }

    /// Returns the waiting requests that match `wanted`.
    pub(super) fn keys(
        &self,
        wanted: impl Fn(&HomePermitRequest) -> bool,
    ) -> Vec<QueuedRequestKey> {
        self.requests
            .iter()
            .filter(|(_, w)| wanted(&w.request))
            .map(|(key, _)| key)
            .collect()
    }

    pub(super) fn workspace_of(&self, flow: FlowKey) -> &WorkspaceName {
        &self.flows[flow].workspace
    }

    /// Removes idle workspaces, so that memory does not grow with the number of workspaces ever seen.
    fn remove_idle(&mut self, now: MonoTime) {
        if now.since(self.last_removal) < IDLE_TIMEOUT / 8 {
            return;
        }
        self.last_removal = now;
        let (by_name, known_weight) = (&mut self.by_name, &mut self.known_weight);
        self.flows.retain(|_, flow| {
            let idle = flow.running == 0 && flow.waiting.is_empty();
            let keep = !idle || now.since(flow.last_active) < IDLE_TIMEOUT;
            if !keep {
                by_name.remove(&flow.workspace);
                *known_weight -= u64::from(flow.weight);
            }
            keep
        });
    }
}
