//! Requests that may crash upstreams, as the mesh tells of them.

use std::{sync::Arc, time::Duration};

use tc_membership::home_of;
use tc_policy::SuspectPolicy;
use tc_protocol::InstanceId;

use super::{actor::Published, peers::Peers};
use crate::{
    peers::timed,
    suspects::{ReportResult, SendReport, SuspectTable},
};

/// Crashes that quarantine a request. Upstreams also crash by themselves, and requests that callers repeat are in flight
/// in several of such crashes: with two, one request in a few hundred would be refused for what it did not do.
const CRASHES_TO_QUARANTINE: u32 = 3;
/// Crashes from which on it runs one at a time. From the first on, all that one crash cut off would queue for each other.
const CRASHES_TO_TRIAL: u32 = 2;
/// How long it is refused: a request that was refused wrongly gets its next chance by itself.
const QUARANTINE_LIFE: Duration = Duration::from_mins(10);

pub(super) fn suspect_table(
    me: &InstanceId,
    published: &Arc<Published>,
    peers: &Arc<Peers>,
) -> SuspectTable {
    let policy = SuspectPolicy {
        crashes_to_quarantine: CRASHES_TO_QUARANTINE,
        crashes_to_trial: CRASHES_TO_TRIAL,
        quarantine_duration: Some(QUARANTINE_LIFE),
    };
    SuspectTable::new(me.clone(), policy, tell_home(me, published, peers), None)
}

fn tell_home(me: &InstanceId, published: &Arc<Published>, peers: &Arc<Peers>) -> SendReport {
    let (me, published, peers) = (me.clone(), Arc::clone(published), Arc::clone(peers));
    Box::new(move |key, report| {
        let members = published.members.load_full();
        let (me, peers) = (me.clone(), Arc::clone(&peers));
        Box::pin(async move {
            let Some(home) = home_of(&key, &members, None, None) else {
                return ReportResult::Unreachable;
            };
            if home.id == me {
                return ReportResult::Local;
            }
            let answer = peers.client(home).suspects(timed(report)).await;
            answer.map_or(ReportResult::Unreachable, |answer| {
                ReportResult::Answered(answer.into_inner())
            })
        })
    })
}
