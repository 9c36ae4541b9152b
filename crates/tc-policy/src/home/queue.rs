//! Weighted fair queueing over workspaces by cost, in virtual time.
//!
//! Every workspace has a tag: the cost it was charged, divided by its weight. The waiting workspace with the lowest
//! tag goes next. Virtual time is the highest tag any grant started at; a workspace that comes back from idle starts
//! a few calls before it, so it gets next to no credit for the time it used nothing.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use slotmap::SlotMap;
use tc_protocol::{MonoTime, WorkspaceName};

use super::{PermitRequest, concurrency::millis};

slotmap::new_key_type! {
    /// Names a waiting ask of one home.
    pub struct QueuedRequestKey;
}

slotmap::new_key_type! {
    /// Names a workspace known to one home.
    pub(super) struct FlowKey;
}

/// How long a workspace counts as active after it last asked or had a call running.
const ACTIVE_FOR: Duration = Duration::from_secs(30);
/// Time over which a workspace's calls at once are averaged.
const BUSY_WINDOW: Duration = Duration::from_secs(10);
/// Weight of the latest call in the mean service time of a workspace.
const MEAN_WEIGHT: f64 = 0.1;
/// Calls this much longer than those of the others, as a factor, need more headroom.
const LONG_FACTOR: f64 = 2.0;
/// Headroom in square roots of the others' calls at once, towards calls that are as short.
const HEADROOM_SHORT: f64 = 1.0;
/// The same towards long calls; kept free beside the others' calls that run.
const HEADROOM_LONG: f64 = 2.5;
/// Calls at once below which nothing is kept free.
const LEAST_LIMIT_WITH_HEADROOM: u32 = 3;
/// Least charge for a call, so that calls estimated at nothing still take turns.
const LEAST_CHARGE: f64 = 1.0;

/// Calls that a workspace which used less than its share may start before it takes turns with the others.
///
/// With none, each call of a small workspace that arrives close after another one waits for a turn of the workspace
/// that bursts, though the small one uses a fraction of its share, seen as a p99 of five starts. More than a few would
/// let a workspace that returns from idle hold all others up.
const CREDIT_CALLS: f64 = 2.0;

/// Order inside a workspace: priority, then least slack, then first come.
type Order = (u8, MonoTime, QueuedRequestKey);

/// A waiting ask.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ask: PermitRequest,
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
    waiting: BTreeSet<Order>,
    last_active: MonoTime,
    busy: Busy,
    /// Mean time its calls hold a permit; zero while unknown.
    mean_ms: f64,
}

/// Calls at once, averaged over [`BUSY_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
struct Busy {
    average: f64,
    at: MonoTime,
}

impl Busy {
    fn at(&self, now: MonoTime, running: u32) -> f64 {
        let running = f64::from(running);
        let windows = now.since(self.at).as_secs_f64() / BUSY_WINDOW.as_secs_f64();
        running + (self.average - running) * (-windows).exp()
    }

    fn note(&mut self, now: MonoTime, running_until_now: u32) {
        self.average = self.at(now, running_until_now);
        self.at = now;
    }
}

/// What runs of the workspaces that are below their share.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    running: u32,
    busy: f64,
    sum_ms: f64,
    measured: u32,
}

/// The waiting asks and what each workspace was charged.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    flows: SlotMap<FlowKey, Flow>,
    by_name: HashMap<WorkspaceName, FlowKey>,
    asks: SlotMap<QueuedRequestKey, Waiting>,
    slack_ends: BTreeSet<(MonoTime, QueuedRequestKey)>,
    /// Workspaces with waiting asks, by tag; tags are not negative, so their bits order as they do.
    backlogged: BTreeSet<(u64, FlowKey)>,
    backlogged_weight: u64,
    known_weight: u64,
    virtual_time: f64,
    highest_tag: f64,
    /// Mean charge of a call.
    charge_per_call: f64,
    running: u32,
    swept: MonoTime,
}

impl FairQueue {
    /// The workspace's flow, made if need be.
    pub(super) fn touch(&mut self, now: MonoTime, name: &WorkspaceName, weight: u32) -> FlowKey {
        self.sweep(now);
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
                busy: Busy {
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

    /// Weight a workspace is known with; 1 when it is not.
    pub(super) fn weight_of(&self, name: &WorkspaceName) -> u32 {
        self.by_name.get(name).map_or(1, |&k| self.flows[k].weight)
    }

    /// Queues an ask.
    pub(super) fn push(
        &mut self,
        now: MonoTime,
        flow: FlowKey,
        ask: PermitRequest,
    ) -> QueuedRequestKey {
        let slack_ends = now.after(ask.slack);
        let priority = ask.priority;
        let key = self.asks.insert(Waiting {
            ask,
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

    /// Takes an ask out.
    pub(super) fn remove(&mut self, key: QueuedRequestKey) -> Option<Waiting> {
        let waiting = self.asks.remove(key)?;
        self.slack_ends.remove(&(waiting.slack_ends, key));
        let flow = &mut self.flows[waiting.flow];
        flow.waiting
            .remove(&(waiting.ask.priority, waiting.slack_ends, key));
        if flow.waiting.is_empty() {
            self.backlogged.remove(&(flow.tag.to_bits(), waiting.flow));
            self.backlogged_weight -= u64::from(flow.weight);
        }
        Some(waiting)
    }

    /// The next ask that may start when `free` of `limit` calls are free.
    pub(super) fn next(&self, now: MonoTime, free: u32, limit: u32) -> Option<QueuedRequestKey> {
        if free == 0 {
            return None;
        }
        self.backlogged
            .iter()
            .map(|&(_, flow)| flow)
            .find(|&flow| self.may_take(now, flow, free, limit))
            .and_then(|flow| self.flows[flow].waiting.first())
            .map(|&(_, _, key)| key)
    }

    /// The ask that goes next whatever is free.
    pub(super) fn first(&self) -> Option<QueuedRequestKey> {
        let &(_, flow) = self.backlogged.first()?;
        self.flows[flow].waiting.first().map(|&(_, _, key)| key)
    }

    /// Whether this workspace may take one of the `free` calls.
    pub(super) fn may_take(&self, now: MonoTime, flow: FlowKey, free: u32, limit: u32) -> bool {
        // The headroom is never more than half; while more is free, there is no need to look at every workspace.
        free > limit / 2 || free > self.headroom(now, flow, limit)
    }

    /// Calls that must stay free when this workspace starts one.
    ///
    /// Order alone is fair only among those that wait. A workspace that bursts while the others pause would fill every
    /// slot, and each call of a small workspace would first wait for one of its calls to end, seen as a p99 of several
    /// service times when the large workspace's calls are long. So a workspace at its share of the slots leaves some
    /// to the others that were active lately: as many as their calls at once vary by, the square root of their mean.
    fn headroom(&self, now: MonoTime, flow: FlowKey, limit: u32) -> u32 {
        if self.flows.len() < 2 || limit < LEAST_LIMIT_WITH_HEADROOM {
            return 0;
        }
        let flow = &self.flows[flow];
        if self.is_below_share(flow, limit) {
            return 0;
        }
        let others = self.below_share(now, limit);
        let varies_by = others.busy.sqrt();
        if flow.mean_ms * f64::from(others.measured) > LONG_FACTOR * others.sum_ms {
            return ((varies_by * HEADROOM_LONG).ceil() as u32).clamp(1, limit / 2);
        }
        let kept = ((varies_by * HEADROOM_SHORT).ceil() as u32).clamp(1, limit.div_ceil(4));
        kept.saturating_sub(others.running)
    }

    fn below_share(&self, now: MonoTime, limit: u32) -> Others {
        let mut others = Others::default();
        for flow in self.flows.values() {
            if !self.is_below_share(flow, limit) {
                continue;
            }
            others.running += flow.running;
            others.busy += flow.busy.at(now, flow.running);
            if flow.mean_ms > 0.0 {
                others.sum_ms += flow.mean_ms;
                others.measured += 1;
            }
        }
        others
    }

    /// Whether the workspace may start one more call within its share of the upstream's calls at once.
    fn is_below_share(&self, flow: &Flow, limit: u32) -> bool {
        let share = u64::from(limit) * u64::from(flow.weight);
        u64::from(flow.running) < share.div_ceil(self.known_weight.max(1))
    }

    /// Charges a call that starts.
    pub(super) fn start(&mut self, now: MonoTime, flow: FlowKey, units: f64) {
        let state = &mut self.flows[flow];
        state.last_active = now;
        state.busy.note(now, state.running);
        state.running += 1;
        self.running += 1;
        let charge = units.max(LEAST_CHARGE);
        self.charge_per_call += (charge - self.charge_per_call) * MEAN_WEIGHT;
        let credit = CREDIT_CALLS * self.charge_per_call / f64::from(state.weight);
        let start = state.tag.max(self.virtual_time - credit);
        let tag = start + charge / f64::from(state.weight);
        self.virtual_time = self.virtual_time.max(start);
        self.retag(flow, tag);
    }

    /// Ends a call that ran for `ran`, and corrects its charge by `correction` units.
    pub(super) fn end(&mut self, now: MonoTime, flow: FlowKey, ran: Duration, correction: f64) {
        let state = &mut self.flows[flow];
        state.last_active = now;
        state.busy.note(now, state.running);
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
        if self.running == 0 && self.asks.is_empty() {
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

    /// Asks that go before a new one of this workspace, those of other workspaces in their turn included.
    pub(super) fn ahead(&self, flow: FlowKey, priority: u8, slack_ends: MonoTime) -> usize {
        let state = &self.flows[flow];
        let own = state
            .waiting
            .iter()
            .take_while(|&&(p, ends, _)| (p, ends) <= (priority, slack_ends))
            .count();
        let mut weights = self.backlogged_weight;
        if state.waiting.is_empty() {
            weights += u64::from(state.weight);
        }
        let turns = (own + 1) as f64 * weights as f64 / f64::from(state.weight);
        (turns.ceil() as usize - 1).min(self.asks.len())
    }

    /// Asks waiting of one workspace.
    pub(super) fn waiting_of(&self, flow: FlowKey) -> usize {
        self.flows[flow].waiting.len()
    }

    /// Asks waiting.
    pub(super) fn len(&self) -> usize {
        self.asks.len()
    }

    /// Workspaces known.
    pub(super) fn flows(&self) -> usize {
        self.flows.len()
    }

    /// When the next ask's slack is gone.
    pub(super) fn next_slack_end(&self) -> Option<MonoTime> {
        self.slack_ends.first().map(|&(at, _)| at)
    }

    /// An ask whose slack is gone.
    pub(super) fn too_late(&self, now: MonoTime) -> Option<QueuedRequestKey> {
        self.slack_ends
            .first()
            .filter(|&&(at, _)| at <= now)
            .map(|&(_, key)| key)
    }

    /// The waiting asks for which `wanted` holds.
    pub(super) fn keys(&self, wanted: impl Fn(&PermitRequest) -> bool) -> Vec<QueuedRequestKey> {
        self.asks
            .iter()
            .filter(|(_, w)| wanted(&w.ask))
            .map(|(key, _)| key)
            .collect()
    }

    pub(super) fn name_of(&self, flow: FlowKey) -> &WorkspaceName {
        &self.flows[flow].workspace
    }

    /// Forgets workspaces that are idle, so that memory stays flat over any number of them.
    fn sweep(&mut self, now: MonoTime) {
        if now.since(self.swept) < ACTIVE_FOR / 8 {
            return;
        }
        self.swept = now;
        let (by_name, known_weight) = (&mut self.by_name, &mut self.known_weight);
        self.flows.retain(|_, flow| {
            let idle = flow.running == 0 && flow.waiting.is_empty();
            let keep = !idle || now.since(flow.last_active) < ACTIVE_FOR;
            if !keep {
                by_name.remove(&flow.workspace);
                *known_weight -= u64::from(flow.weight);
            }
            keep
        });
    }
}
