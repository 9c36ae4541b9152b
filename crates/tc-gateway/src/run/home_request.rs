//! Requests the pieces of a stage from the home of its batch service, with a fallback when the home does not answer.

use std::time::Duration;

use tc_fleet::PiecesAnswer;
use tc_protocol::{
    InstanceId, Member, MemberState,
    routing::{StageRefusal, StageRequest},
};
use tokio::time::Instant;

use super::RunContext;

/// Number of homes tried before this instance makes the pieces itself.
const MAX_HOMES: usize = 2;
/// Number of times that a request follows a home that moves. Member lists agree within a second, and a request waits
/// longer than that only under overload.
const MAX_MOVES: u32 = 4;
/// Delay before a request refused with `Moved` is sent again, so that the member list has time to show the new home.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Returns the pieces of a stage, made by the home of its service.
///
/// While the home moves there may be two of them for a moment. Calls are then less full, but answers stay correct, as
/// upstreams refuse calls when they have too many.
pub(super) async fn request_pieces(cx: &RunContext, stage_request: StageRequest) -> PiecesAnswer {
    let started = Instant::now();
    cx.wait_for_membership().await;
    let mut failed_homes: Vec<InstanceId> = Vec::new();
    let mut moves = 0;
    loop {
        let remaining_request = with_elapsed(&stage_request, started.elapsed());
        let Some(answer) = request_from_home(cx, &remaining_request, &mut failed_homes).await
        else {
            continue;
        };
        if let Some(home) = &answer.home {
            cx.homes.record_shares(&stage_request.service, home);
            cx.outlooks.record(&stage_request.service, home.clone());
        }
        if answer.reply != Err(StageRefusal::Moved) || moves >= MAX_MOVES {
            return answer;
        }
        moves += 1;
        tokio::time::sleep(MOVE_RETRY_DELAY).await;
    }
}

/// Returns the request with its time limits reduced by `elapsed`.
fn with_elapsed(stage_request: &StageRequest, elapsed: Duration) -> StageRequest {
    let mut later = stage_request.clone();
    later.in_time_for = later.in_time_for.saturating_sub(elapsed);
    later.remaining = later.remaining.saturating_sub(elapsed);
    if let Some(chain) = &mut later.chain {
        chain.until_latency_target = chain.until_latency_target.saturating_sub(elapsed);
        chain.remaining = chain.remaining.saturating_sub(elapsed);
    }
    later
}

/// Sends the request to the home that this instance knows of. Returns `None` if that home does not answer, and adds
/// it to `failed_homes`.
async fn request_from_home(
    cx: &RunContext,
    stage_request: &StageRequest,
    failed_homes: &mut Vec<InstanceId>,
) -> Option<PiecesAnswer> {
    let key = stage_request.service.as_str();
    let home = cx.mesh.home(key, failed_homes);
    let remote_home =
        home.filter(|home| home.id != cx.mesh.me().id && failed_homes.len() < MAX_HOMES);
    let Some(home) = remote_home else {
        return Some(cx.homes.make_pieces(stage_request.clone()).await);
    };
    let answered = tokio::select! {
        answer = cx.mesh.make_pieces(&home, stage_request) => answer.map_err(|error| error.to_string()),
        () = wait_until_unavailable(cx, &home) => Err("the instance is suspect or dead".to_owned()),
    };
    match answered {
        Ok(answer) => Some(answer),
        Err(problem) => {
            log::warn!(request = &*stage_request.request, service = key, home = home.id.as_str(), problem = problem.as_str(); "home of a batch service does not answer");
            cx.mesh.report_failed_call(&home.id);
            failed_homes.push(home.id);
            None
        }
    }
}

/// Returns as soon as the instance is no longer alive or leaving.
async fn wait_until_unavailable(cx: &RunContext, home: &Member) {
    let mut changes = cx.mesh.changes();
    loop {
        let members = cx.mesh.members();
        let known = members.iter().find(|member| member.id == home.id);
        let is_available =
            known.is_some_and(|m| matches!(m.state, MemberState::Alive | MemberState::Leaving));
        if !is_available {
            return;
        }
        if changes.changed().await.is_err() {
            // The mesh has ended because the process is shutting down.
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }
}
