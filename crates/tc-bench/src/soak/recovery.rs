//! Requests that every instance must serve once all has been well for a while.

use std::{net::SocketAddr, time::Duration};

use tokio::task::JoinSet;

use super::{
    callers::{Attempt, Kind, call, is_served},
    drive::Soak,
};

/// Requests of each kind of which one must be served.
const LAST_REQUESTS: usize = 3;

impl Soak {
    /// Every instance serves every kind of request once all has been well for a while.
    pub(super) async fn last_requests(&mut self) {
        self.expect_last_config().await;
        let (keys, kinds, deadline) = (self.keys(), self.kinds(), self.deadline());
        let mut asking = JoinSet::new();
        for (number, instance) in self.instances.iter().enumerate() {
            for (workspace, key) in keys.iter().enumerate() {
                let id = format!("last-{number}-{workspace}");
                asking.spawn(expect_served(
                    number,
                    instance.callers,
                    id,
                    key,
                    kinds,
                    deadline,
                ));
            }
        }
        self.broken
            .extend(asking.join_all().await.into_iter().flatten());
    }
}

async fn expect_served(
    number: usize,
    address: SocketAddr,
    id: String,
    key: &'static str,
    kinds: &[Kind],
    deadline: Duration,
) -> Vec<String> {
    let mut broken = Vec::new();
    for &kind in kinds {
        let mut last = None;
        for attempt in 0..LAST_REQUESTS {
            let id = format!("{id}-{}-{attempt}", kind.route);
            let attempt = Attempt {
                kind,
                id: &id,
                key,
                deadline,
                resumed: None,
                culprit: None,
            };
            last = call(kind.route, attempt, number, address, None).await;
            if last.as_ref().is_some_and(|(told, _)| is_served(told)) {
                break;
            }
        }
        if !last.as_ref().is_some_and(|(told, _)| is_served(told)) {
            let told = last.map(|(told, _)| told.status);
            let route = kind.route;
            broken.push(format!(
                "recovery: instance {number} does not serve {route}: {told:?}"
            ));
        }
    }
    broken
}
