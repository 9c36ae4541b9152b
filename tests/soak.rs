//! A short soak of gateway processes: the plan of each seed is always the same, and no promise may break.

use std::{path::Path, time::Duration};

use tc_bench::{SoakShape, SystemBinary, soak};

/// Long enough for a dozen overlapping faults, short enough for every run of the tests.
const SHAPE: SoakShape = SoakShape {
    instances: 3,
    upstreams: 3,
    callers: 12,
    length: Duration::from_secs(6),
    evacuations: false,
    limits: false,
    notices: false,
};

async fn keeps_its_promises(seed: u64, shape: SoakShape) {
    let binary = SystemBinary::at(Path::new(env!("CARGO_BIN_EXE_tanagercroft")));
    let outcome = soak(&binary, seed, shape).await.expect("it can be played");
    assert!(
        outcome.broken.is_empty(),
        "{}\n{}\n{:#?}\nlogs: {}",
        outcome.plan,
        outcome.timeline.join("\n"),
        outcome.broken,
        outcome.folder.display()
    );
    assert!(
        outcome.served * 2 > outcome.requests,
        "{} of {} served\n{}",
        outcome.served,
        outcome.requests,
        outcome.plan
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_soak_breaks_no_promise() {
    keeps_its_promises(2, SHAPE).await;
}

/// Its plan stops one instance while the only engines left are silent: what they still work on at the end of the grace is
/// cut, and nothing else is.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_beside_silent_upstreams_cuts_nothing_in_its_time() {
    keeps_its_promises(1, SHAPE).await;
}

/// Its plan evacuates a failure domain while instances are killed and the store misbehaves: what is new goes elsewhere in time.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_domain_is_left_alone_beside_other_faults() {
    let shape = SoakShape {
        length: Duration::from_secs(10),
        evacuations: true,
        ..SHAPE
    };
    keeps_its_promises(8, shape).await;
}

/// Guards against requests beyond announced rate limits while instances are killed, stopped and paused.
#[tokio::test(flavor = "multi_thread")]
async fn limited_upstreams_get_what_they_announce_beside_other_faults() {
    let shape = SoakShape {
        length: Duration::from_secs(14),
        limits: true,
        notices: true,
        ..SHAPE
    };
    keeps_its_promises(2, shape).await;
}
