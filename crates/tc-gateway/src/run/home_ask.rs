//! Asking the home of a batch service, and going on without it when it does not answer.

use std::time::Duration;

use tc_fleet::PiecesAnswer;
use tc_protocol::{InstanceId, Member, MemberState, routing::PiecesAsk};
use tokio::time::Instant;

use super::RunContext;
use crate::homes::PiecesReply;

/// Homes tried before this instance makes the pieces itself.
const HOMES: usize = 2;

/// Gets the pieces of a stage made.
///
/// Two homes for a moment make calls that are less full; they never make an answer wrong, as upstreams refuse calls
/// when they have too many.
pub(super) async fn ask_home(cx: &RunContext, mut ask: PiecesAsk) -> PiecesReply {
    let started = Instant::now();
    let (in_time_for, remaining) = (ask.in_time_for, ask.remaining);
    let mut failed: Vec<InstanceId> = Vec::new();
    while failed.len() < HOMES {
        let key = ask.service.as_str();
        let Some(home) = cx
            .mesh
            .home(key, &failed)
            .filter(|h| h.id != cx.mesh.me().id)
        else {
            break;
        };
        let asked = tokio::select! {
            answer = cx.mesh.make_pieces(&home, &ask) => answer.map_err(|error| error.to_string()),
            () = gone(cx, &home) => Err("it was found dead or suspect".to_owned()),
        };
        match asked {
            Ok(answer) => return noted(cx, &ask, answer),
            Err(problem) => {
                log::warn!(request = &*ask.request, service = key, home = home.id.as_str(), problem = problem.as_str(); "the home of a stage does not answer");
                cx.mesh.doubt(&home.id);
                failed.push(home.id);
                let took = started.elapsed();
                ask.in_time_for = in_time_for.saturating_sub(took);
                ask.remaining = remaining.saturating_sub(took);
            }
        }
    }
    let answer = cx.homes.make_pieces(ask.clone()).await;
    noted(cx, &ask, answer)
}

fn noted(cx: &RunContext, ask: &PiecesAsk, answer: PiecesAnswer) -> PiecesReply {
    cx.waits.note(&ask.service, answer.wait);
    answer.reply
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
