//! Gives the caller side what it needs from the fleet and the platform.

use std::sync::Arc;

use tc_caller::Ports;
use tc_fleet::Fleet;
use tc_platform::Claims;

pub(super) fn caller(fleet: &Fleet, claims: &Claims) -> Ports {
    let view = fleet.clone();
    let permits = fleet.clone();
    let requests = fleet.clone();
    let crash_reports = fleet.clone();
    let completions = fleet.clone();
    let addresses = fleet.clone();
    let claim = claims.clone();
    let record = claims.clone();
    let outcomes = claims.clone();
    Ports {
        view: Arc::new(move || view.view()),
        request_permit: Arc::new(move |request| permits.request_permit(request)),
        start_request: Arc::new(move |workspace| requests.start_request(workspace)),
        claim: Arc::new(move |key, body_hash, wait| {
            let claims = claim.clone();
            Box::pin(async move { claims.claim(key, body_hash, wait).await })
        }),
        record_outcome: Arc::new(move |key, claim_id, outcome| {
            let claims = record.clone();
            Box::pin(async move { claims.record(&key, &claim_id, outcome).await.is_ok() })
        }),
        wait_for_outcome: Arc::new(move |key, wait| {
            let claims = outcomes.clone();
            Box::pin(async move { claims.wait_for_outcome(&key, wait).await })
        }),
        report_crash: Arc::new(move |input, upstream| crash_reports.report_crash(input, upstream)),
        report_completed: Arc::new(move |input| completions.report_completed(input)),
        addresses: Arc::new(move |workspace| addresses.addresses(workspace)),
    }
}
