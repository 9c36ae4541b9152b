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
const HOMES: usize = 2;
/// Times that an ask follows a home that moves: members' lists agree within a second, and an ask waits longer than that
/// only in an overload.
const MOST_MOVES: u32 = 4;
/// Pause before an ask that was sent on asks again, so that the news of the new home can arrive here.
const NEWS_TIME: Duration = Duration::from_millis(20);

/// Gets the pieces of a stage made.
///
/// Two homes for a moment make calls that are less full; they never make an answer wrong, as upstreams refuse calls
/// when they have too many.
pub(super) async fn ask_home(cx: &RunContext, ask: StageRequest) -> PiecesAnswer {
    let started = Instant::now();
    cx.know_homes().await;
    let mut failed: Vec<InstanceId> = Vec::new();
    let mut moves = 0;
    loop {
        let now_asked = later(&ask, started.elapsed());
        let Some(answer) = ask_once(cx, &now_asked, &mut failed).await else {
            continue;
        };
        if let Some(home) = &answer.home {
            cx.outlooks.note(&ask.service, home.clone());
        }
        if answer.reply != Err(StageRefusal::Moved) || moves >= MOST_MOVES {
            return answer;
        }
        moves += 1;
        tokio::time::sleep(NEWS_TIME).await;
    }
}

/// An ask with the times that it has left after a while.
fn later(ask: &StageRequest, elapsed: Duration) -> StageRequest {
    let mut later = ask.clone();
    later.in_time_for = later.in_time_for.saturating_sub(elapsed);
    later.remaining = later.remaining.saturating_sub(elapsed);
    if let Some(chain) = &mut later.chain {
        chain.until_latency_target = chain.until_latency_target.saturating_sub(elapsed);
        chain.remaining = chain.remaining.saturating_sub(elapsed);
    }
    later
}

/// Asks the instance that is the home as far as is known here; `None` if it does not answer, which is noted in `failed`.
async fn ask_once(
    cx: &RunContext,
    ask: &StageRequest,
    failed: &mut Vec<InstanceId>,
) -> Option<PiecesAnswer> {
    let key = ask.service.as_str();
    let home = cx.mesh.home(key, failed);
    let other = home.filter(|home| home.id != cx.mesh.me().id && failed.len() < HOMES);
    let Some(home) = other else {
        return Some(cx.homes.make_pieces(ask.clone()).await);
    };
    let asked = tokio::select! {
        answer = cx.mesh.make_pieces(&home, ask) => answer.map_err(|error| error.to_string()),
        () = gone(cx, &home) => Err("it was found dead or suspect".to_owned()),
    };
    match asked {
        Ok(answer) => Some(answer),
        Err(problem) => {
            log::warn!(request = &*ask.request, service = key, home = home.id.as_str(), problem = problem.as_str(); "the home of a stage does not answer");
            cx.mesh.report_failed_call(&home.id);
            failed.push(home.id);
            None
        }
    }
}

/// Done when the instance is no longer thought to be well.
async fn gone(cx: &RunContext, home: &Member) {
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
