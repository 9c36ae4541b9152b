//! Requests that broke an upstream's connection, as the mesh of a gateway reports them.

use std::time::Duration;

use futures::FutureExt;
use tc_fleet::{BrokenRun, Mesh};
use tc_protocol::Fingerprint;
use tokio::time::sleep;

use crate::common::{handlers, start_mesh};

const INPUT: Fingerprint = Fingerprint(0x1a7e);
/// Time in which all reports have reached their home.
const REPORT_TIME: Duration = Duration::from_millis(200);

async fn is_suspect(mesh: &Mesh) -> bool {
    let (service, workspace) = ("draft".into(), "one".into());
    let trial = mesh.try_trial(INPUT, &service, &workspace, REPORT_TIME);
    !matches!(trial.await, Ok(None))
}

fn report_crash(mesh: &Mesh, upstream: &str) {
    mesh.report_crash(BrokenRun {
        input: INPUT,
        service: "draft".into(),
        workspace: "one".into(),
        upstream: upstream.into(),
        was_alone: false,
        parts: Vec::new(),
        has_crashed: std::future::ready(true).boxed(),
    });
}

/// Guards against a request that is suspected, and refused for minutes after the next broken connection, although it was
/// completed: its completion was reported before its crash.
#[tokio::test]
async fn completed_request_is_not_suspected_of_a_crash_before() {
    let mesh = start_mesh("i0", handlers()).await;
    report_crash(&mesh, "engine-1");
    mesh.report_completed(INPUT, &[INPUT], &"draft".into());
    sleep(REPORT_TIME).await;
    assert!(!is_suspect(&mesh).await);
    report_crash(&mesh, "engine-2");
    sleep(REPORT_TIME).await;
    assert!(
        is_suspect(&mesh).await,
        "a crash after the completion counts"
    );
}
