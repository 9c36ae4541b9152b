//! Workspace limits over several instances.

use std::time::{Duration, Instant};

use tc_stand_ins::Platform;

use crate::common::{put_text, run, start_listed, until_settled};

const LIMIT: usize = 6;

#[test]
fn the_sum_over_instances_stays_within_the_limit() {
    // Symptom: a workspace gets its limit at every instance, so eight times its limit over eight.
    // Sequence: it asks for as much as it can get through three instances, then through one only.
    // Cause: each instance would count alone; shares must follow demand and never add up to more than the limit.
    run(async {
        let platform = Platform::start("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let token = "0".repeat(64);
        let text = format!(
            "[workspaces.lintas]\ntoken_sha256 = \"{token}\"\nlimits = {{ concurrency = {LIMIT} }}\n"
        );
        put_text(&platform, 1, text).await;
        let instances = start_listed(&platform, 3);
        until_settled(&instances, 3, 1).await;
        let mut held = Vec::new();
        let mut most = 0;
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until {
            for instance in &instances {
                held.extend(instance.fleet.start_request(&"lintas".into()));
            }
            most = most.max(held.len());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(most <= LIMIT, "{most} at once");
        assert!(most >= LIMIT / 2, "only {most} at once");
        held.clear();
        let deadline = Instant::now() + crate::common::PATIENCE;
        let mut through_one = Vec::new();
        while through_one.len() < LIMIT - 1 {
            assert!(
                Instant::now() < deadline,
                "the share did not follow: {}",
                through_one.len()
            );
            through_one.extend(instances[0].fleet.start_request(&"lintas".into()));
            assert!(through_one.len() <= LIMIT);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}
