//! Setup of the table of requests suspected of crashing upstreams.

use std::{sync::Arc, time::Duration};

use tc_membership::home_of;
use tc_policy::SuspectPolicy;
use tc_protocol::InstanceId;

use super::{actor::Published, peers::Peers};
use crate::{
    peers::timed,
    suspects::{ReportResult, SendReport, SuspectTable},
};

/// Crashes after which a request is quarantined. Upstreams also crash for other reasons, and requests that callers
/// retry are in flight during several such crashes: with a threshold of 2, one request in a few hundred would be
/// refused wrongly.
const CRASHES_TO_QUARANTINE: u32 = 3;
/// Crashes from which a request runs only as a trial, one at a time. With a threshold of 1, all requests interrupted by
/// a single crash would wait for each other's trials.
const CRASHES_TO_TRIAL: u32 = 2;
/// Duration of a quarantine. It is limited so that a wrongly quarantined request can run again without an operator.
const QUARANTINE_DURATION: Duration = Duration::from_mins(10);

pub(super) fn suspect_table(
    me: &InstanceId,
    published: &Arc<Published>,
    peers: &Arc<Peers>,
) -> SuspectTable {
    let policy = SuspectPolicy {
        crashes_to_quarantine: CRASHES_TO_QUARANTINE,
        crashes_to_trial: CRASHES_TO_TRIAL,
        quarantine_duration: Some(QUARANTINE_DURATION),
    };
    SuspectTable::new(
        me.clone(),
        policy,
        send_report_to_home(me, published, peers),
        None,
    )
}

fn send_report_to_home(
    me: &InstanceId,
    published: &Arc<Published>,
    peers: &Arc<Peers>,
) -> SendReport {
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
