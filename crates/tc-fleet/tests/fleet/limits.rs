//! Workspace limits across several instances.

use std::time::{Duration, Instant};

use tc_stand_ins::Platform;

use crate::common::{put_config_text, run, start_listed, wait_until_settled};

const LIMIT: usize = 6;

#[test]
fn the_total_over_all_instances_stays_within_the_limit() {
    // If each instance counted requests alone, a workspace would get its limit on every instance, such as eight times
    // the limit on eight. Shares must follow demand and never add up to more than the limit. The workspace starts as
    // many requests as it can through three instances, then through only one.
    run(async {
        let platform = Platform::start("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let token = "0".repeat(64);
        let text = format!(
            "[workspaces.lintas]\ntoken_sha256 = \"{token}\"\nlimits = {{ concurrency = {LIMIT} }}\n"
        );
        put_config_text(&platform, 1, text).await;
        let instances = start_listed(&platform, 3);
        wait_until_settled(&instances, 3, 1).await;
        let mut held = Vec::new();
        let mut most = 0;
        let end = Instant::now() + Duration::from_secs(3);
        while Instant::now() < end {
            for instance in &instances {
                held.extend(instance.fleet.start_request(&"lintas".into()));
            }
            most = most.max(held.len());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(most <= LIMIT, "{most} concurrent requests");
        assert!(most >= LIMIT / 2, "only {most} concurrent requests");
        held.clear();
        let deadline = Instant::now() + crate::common::TIMEOUT;
        let mut through_one = Vec::new();
        while through_one.len() < LIMIT - 1 {
            assert!(
                Instant::now() < deadline,
                "the share did not follow demand: {}",
                through_one.len()
            );
            through_one.extend(instances[0].fleet.start_request(&"lintas".into()));
            assert!(through_one.len() <= LIMIT);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
}
