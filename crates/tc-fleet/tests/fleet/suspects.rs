//! Requests that crash upstreams, over several instances.

use std::time::Duration;

use tc_platform::remove_quarantined;
use tc_protocol::{Cost, Fingerprint, Outcome, Permit, PermitRequest, RefusalReason, RunState};

use tc_stand_ins::{Platform, Pool, PoolConfig, Recorder};

use crate::common::{
    Instance, ask, put_config, run, settled, start_listed, store, until, until_settled,
};

const SLACK: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(250);

fn crashing(slack: Duration) -> PermitRequest {
    PermitRequest {
        fingerprint: Fingerprint(0xbad),
        ..ask("crashing", slack)
    }
}

/// The upstream dies under the call, and the entry tells of it.
async fn die(instance: &Instance, permit: Permit) {
    let upstream = permit.grant().upstream.clone();
    let took = Duration::from_millis(1);
    permit.settle(
        Outcome::Died,
        RunState::Unknown,
        Cost::default(),
        took,
        None,
    );
    instance
        .fleet
        .report_crash(Fingerprint(0xbad), upstream)
        .await;
}

#[test]
fn a_request_that_crashes_upstreams_is_quarantined_everywhere() {
    // Symptom: each resend of one request kills another engine.
    // Sequence: it crashes an upstream through one instance, then another through the next, and is sent again.
    // Cause: instances must tell each other of crashes before callers can send again.
    run(async {
        let (_platform, instances) = settled(3, 6, 4).await;
        let permit = instances[0]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        die(&instances[0], permit).await;
        let permit = instances[1]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        die(&instances[1], permit).await;
        for instance in &instances {
            let refused = instance
                .fleet
                .request_permit(crashing(SLACK))
                .await
                .unwrap_err();
            assert_eq!(refused.reason, RefusalReason::Quarantined);
        }
        let innocent = instances[2]
            .fleet
            .request_permit(ask("innocent", SLACK))
            .await;
        assert!(innocent.is_ok(), "{innocent:?}");
    });
}

#[test]
fn a_suspect_runs_once_at_a_time_and_is_cleared_by_success() {
    // Symptom: a crashing request sent by many callers at once kills many engines at once.
    // Sequence: one crash, then asks for the same input through two instances.
    // Cause: its trials must be counted at one place for the whole fleet.
    run(async {
        let (_platform, instances) = settled(3, 6, 4).await;
        let permit = instances[0]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        die(&instances[0], permit).await;
        let trial = instances[1]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        let second = instances[2].fleet.request_permit(crashing(SHORT)).await;
        assert!(second.is_err(), "two trials at once: {second:?}");
        let took = Duration::from_millis(1);
        trial.settle(
            Outcome::Answered,
            RunState::Ran,
            Cost::default(),
            took,
            None,
        );
        instances[1].fleet.report_completed(Fingerprint(0xbad));
        let third = instances[2].fleet.request_permit(crashing(SLACK)).await;
        assert!(third.is_ok(), "{third:?}");
    });
}

#[test]
fn a_quarantine_outlives_the_instance_that_found_it() {
    // Symptom: after an instance is replaced, a quarantined request crashes two more engines.
    // Sequence: quarantine; every instance that knew of it stops; a fresh one starts.
    // Cause: the quarantine must be kept in the platform.
    run(async {
        let (platform, mut instances) = settled(2, 6, 4).await;
        for at in [0, 1] {
            let permit = instances[at]
                .fleet
                .request_permit(crashing(SLACK))
                .await
                .unwrap();
            die(&instances[at], permit).await;
        }
        until("the quarantine is in the platform", || {
            let kind = "tanagercroft-quarantine";
            platform.object(kind, "0000000000000bad").is_some()
        })
        .await;
        instances.iter_mut().for_each(Instance::crash);
        let key = crate::common::KEY;
        let fresh = Instance::start("fresh", "kl-a", platform.address(), Vec::new(), key);
        until("the fresh instance refuses it", || {
            let refused = futures::executor::block_on(fresh.fleet.request_permit(crashing(SHORT)));
            refused.is_err_and(|refused| refused.reason == RefusalReason::Quarantined)
        })
        .await;
    });
}

#[test]
fn a_connection_that_closes_under_a_call_is_no_crash() {
    // Symptom: an innocent request is refused as one that crashes upstreams.
    // Sequence: twice, an upstream closes an idle connection just as the request is written to it.
    // Cause: that looks like a death; the upstream must be asked before it is taken for one.
    run(async {
        let recorder = Recorder::default();
        let address = "127.0.0.1:0".parse().unwrap();
        let cfg = PoolConfig::new("e0", "encode");
        let pool = Pool::start(address, cfg, recorder.clone()).await.unwrap();
        let platform = Platform::start(address).await.unwrap();
        put_config(&platform, 1, &[pool.address()], 4).await;
        let instances = start_listed(&platform, 2);
        until_settled(&instances, 2, 1).await;
        // By then its home has read a load report and told the others which life of the upstream it is.
        tokio::time::sleep(Duration::from_secs(2)).await;
        for instance in instances.iter().chain(&instances) {
            let permit = instance
                .fleet
                .request_permit(crashing(SLACK))
                .await
                .unwrap();
            die(instance, permit).await;
        }
        for instance in &instances {
            let granted = instance.fleet.request_permit(crashing(SLACK)).await;
            assert!(granted.is_ok(), "{granted:?}");
        }
        let permit = instances[0]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        pool.faults().crash();
        die(&instances[0], permit).await;
        let trial = instances[0]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        let second = instances[1].fleet.request_permit(crashing(SHORT)).await;
        assert!(second.is_err(), "a real death made no suspect: {second:?}");
        drop(trial);
    });
}

#[test]
fn a_lifted_quarantine_is_dropped_by_every_instance() {
    // Symptom: a request that an operator lets run again is refused until every instance is replaced, or its quarantine
    // comes back by itself.
    // Sequence: quarantine; an operator removes it from the platform; the request is sent through each instance.
    // Cause: instances took quarantines up from the platform and never dropped them.
    run(async {
        let (platform, instances) = settled(2, 6, 4).await;
        for at in [0, 1] {
            let permit = instances[at]
                .fleet
                .request_permit(crashing(SLACK))
                .await
                .unwrap();
            die(&instances[at], permit).await;
        }
        let kind = "tanagercroft-quarantine";
        let is_kept = || platform.object(kind, "0000000000000bad").is_some();
        until("the quarantine is in the platform", is_kept).await;
        let store = store(&platform);
        assert!(
            remove_quarantined(&store, Fingerprint(0xbad))
                .await
                .unwrap()
        );
        for instance in &instances {
            until("the request may run", || {
                let asked = instance.fleet.request_permit(crashing(SHORT));
                futures::executor::block_on(asked).is_ok()
            })
            .await;
        }
        assert!(!is_kept(), "the quarantine was put back");
    });
}
