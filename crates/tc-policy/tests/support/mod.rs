//! Builders of test values with typical contents.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part"
)]

pub mod traffic;

use std::time::Duration;

use tc_policy::{Home, HomeConfig, HomePermitRequest, PermitDecision};
use tc_protocol::{
    Cost, Fingerprint, Incarnation, Member, MemberState, MonoTime, Outcome, PermitId, Release,
    RunState,
};

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub const fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Returns an alive member.
pub fn member(number: usize) -> Member {
    Member {
        id: format!("i{number}").into(),
        incarnation: Incarnation(1),
        caller_address: ([127, 0, 0, 1], 1).into(),
        fleet_address: ([127, 0, 0, 1], 2).into(),
        failure_domain: "a".into(),
        region: "r".into(),
        state: MemberState::Alive,
        strength: 1,
    }
}

pub fn home(slots: u32) -> Home {
    Home::new(HomeConfig {
        slots,
        queue_per_workspace: 256,
        grace: ms(1_000),
        first_permit: 1,
    })
}

pub fn request(workspace: &str) -> HomePermitRequest {
    HomePermitRequest {
        entry: "entry-1".into(),
        workspace: workspace.into(),
        weight: 1,
        priority: 3,
        slack: ms(1_000),
        run_for: ms(10_000),
        estimate: busy(100.0),
        fingerprint: Fingerprint(1),
        may_redirect: false,
    }
}

pub fn busy(busy_ms: f64) -> Cost {
    Cost {
        busy_ms,
        ..Cost::default()
    }
}

pub fn release(permit: PermitId, outcome: Outcome, took: Duration) -> Release {
    Release {
        permit,
        outcome,
        run_state: RunState::Ran,
        cost: busy(took.as_secs_f64() * 1_000.0),
        took,
        first_byte: None,
    }
}

pub fn answered(permit: PermitId, took: Duration) -> Release {
    release(permit, Outcome::Answered, took)
}

/// Returns the permit of a request that must be granted immediately.
#[track_caller]
pub fn granted(home: &mut Home, now: MonoTime, request: HomePermitRequest) -> PermitId {
    match home.request_permit(now, request) {
        PermitDecision::Granted { permit, .. } => permit,
        other => panic!("not granted: {other:?}"),
    }
}
