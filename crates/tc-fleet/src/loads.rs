//! Reads the load reports of the upstreams whose home is here.

use std::{collections::HashMap, time::Duration};

use ractor::ActorRef;
use tc_protocol::{Incarnation, UpstreamId};
use tc_upstream::UpstreamClient;

use crate::{
    homes::HomesMsg,
    node::{NodeMsg, NodeParts},
    settings::LOAD_INTERVAL,
};

const LOAD_TIMEOUT: Duration = Duration::from_millis(400);

/// Reads the reports of all upstreams whose home is here every [`LOAD_INTERVAL`]. Returns when the node has stopped.
pub(crate) async fn read_loads(parts: NodeParts, client: UpstreamClient, node: ActorRef<NodeMsg>) {
    let mut incarnations: HashMap<UpstreamId, Incarnation> = HashMap::new();
    let mut interval = tokio::time::interval(LOAD_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let known = parts.known.load_full();
        let reads = known.iter().filter(|(_, k)| k.homed_here).map(|(id, k)| {
            let client = client.clone();
            let address = k.upstream.address;
            async move {
                let report = tokio::time::timeout(LOAD_TIMEOUT, client.load_report(address)).await;
                (id.clone(), report)
            }
        });
        for (id, report) in futures::future::join_all(reads).await {
            let Ok(Ok(report)) = report else {
                continue;
            };
            let restarted = incarnations
                .insert(id.clone(), report.incarnation)
                .is_some_and(|before| before != report.incarnation);
            if restarted {
                log::info!(upstream = id.as_str(); "upstream restarted");
            }
            parts
                .summaries
                .record_incarnation(id.as_str(), report.incarnation);
            let upstream = id.clone();
            let leaving = report.leaving;
            if node
                .cast(NodeMsg::UpstreamLeaving { upstream, leaving })
                .is_err()
            {
                return;
            }
            let _ = parts.homes.cast(HomesMsg::Load {
                upstream: id,
                report,
            });
        }
    }
}
