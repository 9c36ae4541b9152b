//! Which news an instance still has to pass on.

use std::{cmp::Reverse, collections::BTreeMap};

use tc_protocol::InstanceId;

/// Times that each instance passes on a piece of news, per doubling of the number of instances.
const SENDS_PER_DOUBLING: u32 = 3;

/// How soon a piece of news must be known by all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// Changes what others do: a state, a newcomer, a new revision.
    Urgent,
    /// Only for reports: one more instance has a known revision in force.
    Background,
}

#[derive(Clone, Debug)]
struct Pending {
    urgency: Urgency,
    sent: u32,
    limit: u32,
    /// Counts the news taken up; what came last is least likely to be known elsewhere.
    order: u64,
}

/// Members whose record is to be passed on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    pending: BTreeMap<InstanceId, Pending>,
    pushed: u64,
}

impl Queue {
    /// Passes on the record of `id`, as news that nobody has heard yet.
    pub(crate) fn push(&mut self, id: &InstanceId, urgency: Urgency, members: usize) {
        let doublings = usize::BITS - members.leading_zeros();
        let limit = match urgency {
            Urgency::Urgent => doublings * SENDS_PER_DOUBLING,
            Urgency::Background => doublings,
        };
        // Background news about a member must not demote urgent news about it that is still on its way.
        let is_urgent = self
            .pending
            .get(id)
            .is_some_and(|p| p.urgency == Urgency::Urgent);
        if is_urgent && urgency == Urgency::Background {
            return;
        }
        self.pushed += 1;
        let pending = Pending {
            urgency,
            sent: 0,
            limit: limit.max(1),
            order: self.pushed,
        };
        self.pending.insert(id.clone(), pending);
    }

    /// Takes up to `count` members for one message: urgent before background, then those passed on least
    /// often, then the latest.
    pub(crate) fn take(&mut self, count: usize, except: &[&InstanceId]) -> Vec<InstanceId> {
        let mut ids: Vec<_> = self
            .pending
            .iter()
            .filter(|(id, _)| !except.contains(id))
            .map(|(id, p)| (p.urgency, p.sent, Reverse(p.order), id.clone()))
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
