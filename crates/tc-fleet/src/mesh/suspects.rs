//! Setup of the table of requests suspected of crashing upstreams.

use std::{sync::Arc, time::Duration};

use tc_membership::home_and_copies;
use tc_policy::SuspectPolicy;
use tc_protocol::InstanceId;

use super::{actor::Published, peers::Peers};
use crate::{
    peers::timed,
    suspects::{SuspectPeers, SuspectTable},
};

/// Crashes after which a request is quarantined. Upstreams also crash for other reasons, and requests that callers
/// retry are in flight during several such crashes: with a threshold of 2, one request in a few hundred would be
/// refused wrongly.
const CRASHES_TO_QUARANTINE: u32 = 3;
/// Crashes after which a prompt part is quarantined. Sound requests share parts, so a part is in flight in unrelated
/// crashes more often than a request, and its quarantine refuses more.
const CRASHES_TO_QUARANTINE_PART: u32 = 4;
/// Crashes from which a request runs only as a trial, one at a time. With a threshold of 1, all requests interrupted by
/// a single crash would wait for each other's trials.
const CRASHES_TO_TRIAL: u32 = 2;
/// Duration of a quarantine. It is limited so that a wrongly quarantined request can run again without an operator.
const QUARANTINE_DURATION: Duration = Duration::from_mins(10);

/// Instances that keep a copy of the evidence of a service's home.
const COPIES: usize = 2;

pub(super) fn suspect_table(
    me: &InstanceId,
    published: &Arc<Published>,
    peers: &Arc<Peers>,
) -> SuspectTable {
    let policy = SuspectPolicy {
        crashes_to_quarantine: CRASHES_TO_QUARANTINE,
        crashes_to_quarantine_part: CRASHES_TO_QUARANTINE_PART,
        crashes_to_trial: CRASHES_TO_TRIAL,
        quarantine_duration: Some(QUARANTINE_DURATION),
    };
    SuspectTable::new(me.clone(), policy, suspect_peers(published, peers), None)
}

fn suspect_peers(published: &Arc<Published>, peers: &Arc<Peers>) -> SuspectPeers {
    let (published, peers) = (Arc::clone(published), Arc::clone(peers));
    SuspectPeers {
        home_and_copies: Box::new(move |key| {
            let members = published.members.load();
            let members = home_and_copies(key, &members, COPIES);
            members.into_iter().cloned().collect()
        }),
        send: Box::new(move |member, report| {
            let peers = Arc::clone(&peers);
            Box::pin(async move {
                let answer = peers.client(&member).suspects(timed(report)).await;
                answer.ok().map(tonic::Response::into_inner)
            })
        }),
    }
}
