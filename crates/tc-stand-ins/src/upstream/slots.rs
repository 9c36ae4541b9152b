//! Slots of an upstream: who runs, who waits, and the load report that lags behind.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use crate::sync::lock;

/// Load samples kept per lag: a change is seen at most this part of the lag too early.
const SAMPLES_PER_LAG: u32 = 8;

/// Calls running and waiting as of one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

/// A bounded number of slots, given by priority, then arrival.
pub(crate) struct Slots {
    limit: u32,
    lag: Duration,
    state: Mutex<State>,
}

struct State {
    running: u32,
    next_arrival: u64,
    waiting: BTreeMap<(u8, u64), oneshot::Sender<SlotGuard>>,
    samples: VecDeque<(Instant, Load)>,
}

impl Slots {
    pub(crate) fn new(limit: u32, lag: Duration) -> Arc<Self> {
        Arc::new(Self {
            limit: limit.max(1),
            lag,
            state: Mutex::new(State {
                running: 0,
                next_arrival: 0,
                waiting: BTreeMap::new(),
                samples: VecDeque::new(),
            }),
        })
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Calls running now.
    pub(crate) fn running(&self) -> u32 {
        lock(&self.state).running
    }

    /// Load as of the lag ago, with its age.
    pub(crate) fn lagging_load(&self) -> (Load, Duration) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        if self.lag.is_zero() {
            return (state.load(), Duration::ZERO);
        }
        state.forget_before(now.checked_sub(self.lag));
        let oldest = state.samples.front().copied();
        match oldest {
            Some((at, load)) if now.duration_since(at) >= self.lag => (load, self.lag),
            _ => (Load::default(), self.lag),
        }
    }

    /// Waits for a slot; dropping the future gives the place in the queue up.
    pub(crate) async fn acquire(self: &Arc<Self>, priority: u8) -> SlotGuard {
        let (place, granted) = {
            let mut state = lock(&self.state);
            // A slot is free only while nobody waits: a released one goes to a waiter first.
            if state.running < self.limit {
                state.running += 1;
                self.sample(&mut state);
                return SlotGuard(Arc::clone(self));
            }
            let (tx, rx) = oneshot::channel();
            let place = (priority, state.next_arrival);
            state.next_arrival += 1;
            state.waiting.insert(place, tx);
            self.sample(&mut state);
            (place, rx)
        };
        let queued = QueueGuard { slots: self, place };
        match granted.await {
            Ok(slot) => slot,
            // Only `QueueGuard` drops a sender unused, and that one is still here.
            Err(_) => unreachable!("place {:?} was dropped from the queue", queued.place),
        }
    }

    fn release(self: &Arc<Self>) {
        let next = {
            let mut state = lock(&self.state);
            let next = state.waiting.pop_first();
            if next.is_none() {
                state.running -= 1;
            }
            self.sample(&mut state);
            next
        };
        if let Some((_, tx)) = next {
            // Sent outside the lock: when the waiter has just left, the guard comes back, drops here and releases again.
            drop(tx.send(SlotGuard(Arc::clone(self))));
        }
    }

    /// Notes the present load. A sample younger than a part of the lag is overwritten, which bounds their number.
    fn sample(&self, state: &mut State) {
        if self.lag.is_zero() {
            return;
        }
        let now = Instant::now();
        let load = state.load();
        match state.samples.back_mut() {
            Some((at, last)) if now.duration_since(*at) < self.lag / SAMPLES_PER_LAG => {
                *last = load;
            }
            _ => state.samples.push_back((now, load)),
        }
        state.forget_before(now.checked_sub(self.lag));
    }
}

impl State {
    fn load(&self) -> Load {
        Load {
            running: self.running,
            queued: self.waiting.len() as u32,
        }
    }

    /// Drops samples that a later one at or before `then` replaces.
    fn forget_before(&mut self, then: Option<Instant>) {
        let Some(then) = then else { return };
        while self.samples.get(1).is_some_and(|(at, _)| *at <= then) {
            self.samples.pop_front();
        }
    }
}

/// A slot, given back on drop.
pub(crate) struct SlotGuard(Arc<Slots>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.release();
    }
}

/// A place in the queue, given up on drop.
struct QueueGuard<'a> {
    slots: &'a Slots,
    place: (u8, u64),
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.slots.state);
        if state.waiting.remove(&self.place).is_some() {
            self.slots.sample(&mut state);
        }
    }
}
