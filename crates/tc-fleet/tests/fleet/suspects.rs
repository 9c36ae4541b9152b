//! Requests that crash upstreams, across several instances.

use std::time::Duration;

use tc_platform::remove_quarantined;
use tc_protocol::{Cost, Fingerprint, Outcome, Permit, PermitRequest, RefusalReason, RunState};

use tc_stand_ins::{Platform, Pool, PoolConfig, Recorder};

use crate::common::{
    Instance, KEY, list_instance, permit_request, put_config, run, start_listed, start_settled,
    store, wait_until, wait_until_settled,
};

const SLACK: Duration = Duration::from_secs(5);
/// Longest time for which the caller of a request waits for the report of its crash.
const MAX_REPORT_TIME: Duration = Duration::from_millis(900);
/// Interval at which two instances synchronize quarantines with the platform.
const ROUND: Duration = Duration::from_millis(5_200);
const SHORT_SLACK: Duration = Duration::from_millis(250);

fn crashing(slack: Duration) -> PermitRequest {
    PermitRequest {
        fingerprint: Fingerprint(0xbad),
        ..permit_request("crashing", slack)
    }
}

/// Ends a call as if its upstream had crashed, and reports the crash.
async fn report_crash(instance: &Instance, permit: Permit) {
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
    // Instances must tell each other about crashes before callers can retry. Otherwise each retry of a request crashes
    // another upstream. Here the request crashes one upstream through each of two instances and is then sent again.
    run(async {
        let (_platform, instances) = start_settled(3, 6, 4).await;
        let permit = instances[0]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        report_crash(&instances[0], permit).await;
        let permit = instances[1]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        report_crash(&instances[1], permit).await;
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
            .request_permit(permit_request("innocent", SLACK))
            .await;
        assert!(innocent.is_ok(), "{innocent:?}");
    });
}

#[test]
fn a_suspect_runs_once_at_a_time_and_is_cleared_by_success() {
    // The trials of a suspect must be counted in one place for the whole fleet. Otherwise a crashing request that many
    // callers send at the same time crashes many upstreams. Here the same input is sent through two instances after one
    // crash.
    run(async {
        let (_platform, instances) = start_settled(3, 6, 4).await;
        let permit = instances[0]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        report_crash(&instances[0], permit).await;
        let trial = instances[1]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        let second = instances[2]
            .fleet
            .request_permit(crashing(SHORT_SLACK))
            .await;
        assert!(second.is_err(), "two concurrent trials: {second:?}");
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

/// Guards against callers that wait for seconds because the instances that a crash is reported to have just been killed.
#[test]
fn report_to_killed_instances_does_not_hold_the_caller() {
    // One of the two others is the home in most cases.
    for number in 0..3 {
        run(async {
            let (_platform, mut instances) = start_settled(3, 6, 4).await;
            let reporter = instances.remove(number);
            let permit = reporter
                .fleet
                .request_permit(crashing(SLACK))
                .await
                .unwrap();
            instances.iter_mut().for_each(Instance::crash);
            let started = std::time::Instant::now();
            report_crash(&reporter, permit).await;
            let took = started.elapsed();
            assert!(took < MAX_REPORT_TIME, "{took:?}");
        });
    }
}

#[test]
fn a_quarantine_outlives_the_instance_that_found_it() {
    // Quarantines must be stored in the platform. Otherwise a quarantined request crashes two more upstreams after the
    // instances are replaced. Here every instance that knows the quarantine stops before a new one starts.
    run(async {
        let (platform, mut instances) = start_settled(2, 6, 4).await;
        for index in [0, 1] {
            let permit = instances[index]
                .fleet
                .request_permit(crashing(SLACK))
                .await
                .unwrap();
            report_crash(&instances[index], permit).await;
        }
        wait_until("the quarantine is in the platform", || {
            let kind = "tanagercroft-quarantine";
            platform.object(kind, "0000000000000bad").is_some()
        })
        .await;
        instances.iter_mut().for_each(Instance::crash);
        let key = crate::common::KEY;
        let new_instance = Instance::start("fresh", "kl-a", platform.address(), Vec::new(), key);
        wait_until("the new instance refuses the request", || {
            let refused = futures::executor::block_on(
                new_instance.fleet.request_permit(crashing(SHORT_SLACK)),
            );
            refused.is_err_and(|refused| refused.reason == RefusalReason::Quarantined)
        })
        .await;
    });
}

#[test]
fn a_connection_closed_during_a_call_is_no_crash() {
    // An upstream that closes an idle connection while a request is written to it looks as if it had crashed. Unless its
    // load report is checked first, two such closes quarantine an innocent request.
    run(async {
        let recorder = Recorder::default();
        let address = "127.0.0.1:0".parse().unwrap();
        let cfg = PoolConfig::new("e0", "encode");
        let pool = Pool::start(address, cfg, recorder.clone()).await.unwrap();
        let platform = Platform::start(address).await.unwrap();
        put_config(&platform, 1, &[pool.address()], 4).await;
        let instances = start_listed(&platform, 2);
        wait_until_settled(&instances, 2, 1).await;
        // By then, the home has read a load report and announced the upstream's incarnation to the other instances.
        tokio::time::sleep(Duration::from_secs(2)).await;
        for instance in instances.iter().chain(&instances) {
            let permit = instance
                .fleet
                .request_permit(crashing(SLACK))
                .await
                .unwrap();
            report_crash(instance, permit).await;
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
        report_crash(&instances[0], permit).await;
        let trial = instances[0]
            .fleet
            .request_permit(crashing(SLACK))
            .await
            .unwrap();
        let second = instances[1]
            .fleet
            .request_permit(crashing(SHORT_SLACK))
            .await;
        assert!(second.is_err(), "a real crash made no suspect: {second:?}");
        drop(trial);
    });
}

/// Guards against a quarantine that is stored again after an operator has lifted it: an instance that had not listed it while it
/// was stored took it for one that nobody had stored.
#[test]
fn a_quarantine_lifted_before_an_instance_lists_it_is_not_stored_again() {
    run(async {
        let (platform, mut instances) = start_settled(1, 6, 4).await;
        // The rounds of the two instances are far apart, so that the second does not list what the first has just stored.
        tokio::time::sleep(ROUND / 2).await;
        let id = "i1";
        let late = Instance::start(id, "kl-a", platform.address(), Vec::new(), KEY);
        list_instance(&platform, &late);
        instances.push(late);
        wait_until_settled(&instances, 2, 1).await;
        for instance in &instances {
            let permit = instance.fleet.request_permit(crashing(SLACK));
            report_crash(instance, permit.await.unwrap()).await;
        }
        let kind = "tanagercroft-quarantine";
        let is_stored = || platform.object(kind, "0000000000000bad").is_some();
        wait_until("the quarantine is in the platform", is_stored).await;
        let lifted = remove_quarantined(&store(&platform), Fingerprint(0xbad)).await;
        assert!(lifted.unwrap());
        let ends = std::time::Instant::now() + 2 * ROUND;
        while std::time::Instant::now() < ends {
            assert!(!is_stored(), "the quarantine was stored again");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        for instance in &instances {
            let granted = instance.fleet.request_permit(crashing(SLACK)).await;
            assert!(granted.is_ok(), "{granted:?}");
        }
    });
}

/// Guards against a lift that prevents the next quarantine of the same request.
#[test]
fn a_lifted_request_that_crashes_upstreams_again_is_quarantined_again() {
    run(async {
        let (platform, instances) = start_settled(2, 6, 4).await;
        let kind = "tanagercroft-quarantine";
        let is_stored = || platform.object(kind, "0000000000000bad").is_some();
        for round in 0..2 {
            for instance in &instances {
                let permit = instance.fleet.request_permit(crashing(SLACK));
                report_crash(instance, permit.await.unwrap()).await;
            }
            wait_until("the quarantine is in the platform", is_stored).await;
            if round == 1 {
                return;
            }
            let lifted = remove_quarantined(&store(&platform), Fingerprint(0xbad)).await;
            assert!(lifted.unwrap());
            tokio::time::sleep(2 * ROUND).await;
        }
    });
}

#[test]
fn a_lifted_quarantine_is_dropped_by_every_instance() {
    // Instances must drop a quarantine that an operator removed from the platform. Otherwise the request is refused until
    // every instance is replaced, or the quarantine is stored again. Here the request is sent through each instance after
    // the removal.
    run(async {
        let (platform, instances) = start_settled(2, 6, 4).await;
        for index in [0, 1] {
            let permit = instances[index]
                .fleet
                .request_permit(crashing(SLACK))
                .await
                .unwrap();
            report_crash(&instances[index], permit).await;
        }
        let kind = "tanagercroft-quarantine";
        let is_stored = || platform.object(kind, "0000000000000bad").is_some();
        wait_until("the quarantine is in the platform", is_stored).await;
        let store = store(&platform);
        assert!(
            remove_quarantined(&store, Fingerprint(0xbad))
                .await
                .unwrap()
        );
        for instance in &instances {
            wait_until("the request may run", || {
                let request = instance.fleet.request_permit(crashing(SHORT_SLACK));
                futures::executor::block_on(request).is_ok()
            })
            .await;
        }
        assert!(!is_stored(), "the quarantine was stored again");
    });
}
