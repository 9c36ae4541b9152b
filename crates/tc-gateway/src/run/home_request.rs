//! Asking the home of a batch service, and going on without it when it does not answer.

use std::time::Duration;

use tc_fleet::PiecesAnswer;
use tc_protocol::{
    InstanceId, Member, MemberState,
    routing::{StageRefusal, StageRequest},
};
use tokio::time::Instant;

use super::RunContext;

/// Homes tried before this instance makes the pieces itself.
const MAX_HOMES: usize = 2;
/// Times that an stage_request follows a home that moves: members' lists agree within a second, and an stage_request waits longer than that
/// only in an overload.
const MAX_MOVES: u32 = 4;
/// Pause before an stage_request that was sent on asks again, so that the news of the new home can arrive here.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Gets the pieces of a stage made.
///
/// Two homes for a moment make calls that are less full; they never make an answer wrong, as upstreams refuse calls
/// when they have too many.
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
            cx.outlooks.record(&stage_request.service, home.clone());
        }
        if answer.reply != Err(StageRefusal::Moved) || moves >= MAX_MOVES {
            return answer;
        }
        moves += 1;
        tokio::time::sleep(MOVE_RETRY_DELAY).await;
    }
}

/// An stage_request with the times that it has left after a while.
fn with_elapsed(stage_request: &StageRequest, elapsed: Duration) -> StageRequest {
    let mut later = stage_request.clone();
    later.until_latency_target = later.until_latency_target.saturating_sub(elapsed);
    later.remaining = later.remaining.saturating_sub(elapsed);
    if let Some(chain) = &mut later.chain {
        chain.until_latency_target = chain.until_latency_target.saturating_sub(elapsed);
        chain.remaining = chain.remaining.saturating_sub(elapsed);
    }
    later
}

/// Asks the instance that is the home as far as is known here; `None` if it does not answer, which is noted in `failed_homes`.
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
    let asked = tokio::select! {
        answer = cx.mesh.make_pieces(&home, stage_request) => answer.map_err(|error| error.to_string()),
        () = wait_until_unavailable(cx, &home) => Err("it was found dead or suspect".to_owned()),
    };
    match asked {
        Ok(answer) => Some(answer),
        Err(problem) => {
            log::warn!(request = &*stage_request.request, service = key, home = home.id.as_str(), problem = problem.as_str(); "the home of a stage does not answer");
            cx.mesh.doubt(&home.id);
            failed_homes.push(home.id);
            None
        }
    }
}

/// Done when the instance is no longer thought to be well.
async fn wait_until_unavailable(cx: &RunContext, home: &Member) {
    let mut changes = cx.mesh.changes();
    loop {
        let members = cx.mesh.members();
        let known = members.iter().find(|member| member.id == home.id);
        let is_well =
            known.is_some_and(|m| matches!(m.state, MemberState::Alive | MemberState::Leaving));
        if !is_well {
            return;
        }
        if changes.changed().await.is_err() {
            // The mesh has ended, and with it the process.
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    }
}
