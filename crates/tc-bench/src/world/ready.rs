//! Waiting until instances serve and agree, by what they tell operators.

use std::time::{Duration, Instant};

use serde::Deserialize;

use super::{OPERATOR_TOKEN, start::World};
use crate::{error::BenchError, load::get_text, load::say};

/// Longest time a world may take to come up.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Interval between checks.
const CHECK_EVERY: Duration = Duration::from_millis(50);
/// Longest wait for one answer of the admin interface.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Deserialize)]
struct Status {
    instances: Vec<InstanceStatus>,
}

#[derive(Deserialize)]
struct InstanceStatus {
    state: String,
    #[serde(default)]
    revision: Option<u64>,
}

impl World {
    /// Waits until every running instance sees `count` live ones, all with a configuration in force.
    pub(crate) async fn wait_ready(&mut self, count: usize) -> Result<(), BenchError> {
        self.wait_revision(count, 1, START_LIMIT).await.map(|_| ())
    }

    /// Waits until every running instance sees `count` live ones at `revision` or above; returns how long it took.
    pub(crate) async fn wait_revision(
        &mut self,
        count: usize,
        revision: u64,
        limit: Duration,
    ) -> Result<Duration, BenchError> {
        let start = Instant::now();
        let mut last = String::new();
        while start.elapsed() < limit {
            self.check_processes()?;
            match self.lagging(count, revision).await {
                None => return Ok(start.elapsed()),
                Some(what) => last = what,
            }
            say(&format!("waiting for the fleet: {last}"));
            tokio::time::sleep(CHECK_EVERY).await;
        }
        Err(BenchError::World(format!(
            "the fleet is not ready after {} s: {last}",
            limit.as_secs()
        )))
    }

    /// Returns a description of what is not ready yet, or `None`.
    async fn lagging(&self, count: usize, revision: u64) -> Option<String> {
        for instance in self.instances.iter().filter(|i| i.pid().is_some()) {
            let Some(status) = self.status(instance.admin).await else {
                return Some(format!("{} does not answer", instance.id));
            };
            let alive = status.instances.iter().filter(|i| i.state == "alive");
            let alive: Vec<&InstanceStatus> = alive.collect();
            if alive.len() != count {
                return Some(format!(
                    "{} sees {} of {count} instances",
                    instance.id,
                    alive.len()
                ));
            }
            if alive.iter().any(|i| i.revision.unwrap_or(0) < revision) {
                return Some(format!(
                    "{} sees an instance below revision {revision}",
                    instance.id
                ));
            }
        }
        None
    }

    /// Returns the number of live instances that each running instance sees; 0 for one that does not answer.
    pub(crate) async fn alive_counts(&self) -> Vec<usize> {
        let running = self.instances.iter().filter(|i| i.pid().is_some());
        let counts = running.map(async |instance| {
            let status = self.status(instance.admin).await;
            let instances = status.map_or_else(Vec::new, |status| status.instances);
            instances.iter().filter(|i| i.state == "alive").count()
        });
        futures::future::join_all(counts).await
    }

    async fn status(&self, admin: std::net::SocketAddr) -> Option<Status> {
        let url = format!("http://{admin}/admin/status");
        let text = get_text(&self.http, &url, OPERATOR_TOKEN, ADMIN_TIMEOUT).await?;
        match serde_json::from_str(&text) {
            Ok(status) => Some(status),
            Err(e) => {
                log::warn!("status of {admin}: {e}");
                None
            }
        }
    }

    /// Text of an instance's metrics; empty when it does not answer.
    pub(crate) async fn metrics(&self, at: usize) -> String {
        let url = format!("http://{}/metrics", self.instances[at].admin);
        get_text(&self.http, &url, OPERATOR_TOKEN, ADMIN_TIMEOUT)
            .await
            .unwrap_or_default()
    }

    fn check_processes(&mut self) -> Result<(), BenchError> {
        for instance in &mut self.instances {
            if let Some(status) = instance.exited() {
                return Err(BenchError::World(format!(
                    "{} ended while starting ({status}):\n{}",
                    instance.id,
                    instance.last_log()
                )));
            }
        }
        Ok(())
    }
}
