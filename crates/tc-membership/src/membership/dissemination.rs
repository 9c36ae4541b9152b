//! Queue of membership updates that this instance still has to piggyback on its messages.

use std::{cmp::Reverse, collections::BTreeMap};

use tc_protocol::InstanceId;

/// Number of times each instance sends an update, per doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 3;

/// How quickly an update must reach every instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// Affects the behaviour of other instances: a state change, a new member or a new revision.
    Urgent,
    /// Informational only: one more instance has activated a known revision.
    Background,
}

#[derive(Clone, Debug)]
struct Pending {
    urgency: Urgency,
    sent: u32,
    limit: u32,
    /// Sequence number of the update. The most recent updates are the least likely to be known
    /// elsewhere.
    sequence: u64,
}

/// Members whose records are still to be disseminated.
#[derive(Clone, Debug, Default)]
pub(crate) struct DisseminationQueue {
    pending: BTreeMap<InstanceId, Pending>,
    pushed: u64,
}

impl DisseminationQueue {
    /// Queues the record of `id` as an update that no other instance has received yet.
    pub(crate) fn push(&mut self, id: &InstanceId, urgency: Urgency, members: usize) {
        let doublings = usize::BITS - members.leading_zeros();
        let limit = match urgency {
            Urgency::Urgent => doublings * SENDS_PER_DOUBLING,
            Urgency::Background => doublings,
        };
        // A background update must not lower the urgency of an urgent one that is still being sent.
        let has_urgent = self
            .pending
            .get(id)
            .is_some_and(|p| p.urgency == Urgency::Urgent);
        if has_urgent && urgency == Urgency::Background {
            return;
        }
        self.pushed += 1;
        let pending = Pending {
            urgency,
            sent: 0,
            limit: limit.max(1),
            sequence: self.pushed,
        };
        self.pending.insert(id.clone(), pending);
    }

    /// Selects up to `count` members for one message: urgent before background, then the least
    /// often sent, then the most recent.
    pub(crate) fn take(&mut self, count: usize, exclude: &[&InstanceId]) -> Vec<InstanceId> {
        let mut ids: Vec<_> = self
            .pending
            .iter()
            .filter(|(id, _)| !exclude.contains(id))
            .map(|(id, p)| (p.urgency, p.sent, Reverse(p.sequence), id.clone()))
            .collect();
        ids.sort_unstable();
        ids.truncate(count);
        let ids: Vec<_> = ids.into_iter().map(|(.., id)| id).collect();
        for id in &ids {
            self.count_sent(id);
        }
        ids
    }

    fn count_sent(&mut self, id: &InstanceId) {
        let Some(pending) = self.pending.get_mut(id) else {
            return;
        };
        pending.sent += 1;
        if pending.sent >= pending.limit {
            self.pending.remove(id);
        }
    }

    pub(crate) fn remove(&mut self, id: &InstanceId) {
        self.pending.remove(id);
    }
}
