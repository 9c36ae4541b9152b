//! Gives the caller side what it needs from the fleet and the platform.

use std::sync::Arc;

use tc_caller::Ports;
use tc_fleet::Fleet;
use tc_platform::Claims;

pub(super) fn caller(fleet: &Fleet, claims: &Claims) -> Ports {
    let view = fleet.clone();
    let ask = fleet.clone();
    let share = fleet.clone();
    let crashed = fleet.clone();
    let ran_whole = fleet.clone();
    let addresses = fleet.clone();
    let claim = claims.clone();
    let record = claims.clone();
    let join = claims.clone();
    Ports {
        view: Arc::new(move || view.view()),
        ask: Arc::new(move |request| ask.request_permit(request)),
        share: Arc::new(move |workspace| share.start_request(workspace)),
        claim: Arc::new(move |key, body_hash, wait| {
            let claims = claim.clone();
            Box::pin(async move { claims.claim(key, body_hash, wait).await })
        }),
        record: Arc::new(move |key, claim_id, outcome| {
            let claims = record.clone();
            Box::pin(async move { claims.record(&key, &claim_id, outcome).await.is_ok() })
        }),
        join_claim: Arc::new(move |key, wait| {
            let claims = join.clone();
            Box::pin(async move { claims.wait_for_outcome(&key, wait).await })
        }),
        crashed: Arc::new(move |input, upstream| crashed.report_crash(input, upstream)),
        ran_whole: Arc::new(move |input| ran_whole.report_completed(input)),
        addresses: Arc::new(move |workspace| addresses.addresses(workspace)),
    }
}
