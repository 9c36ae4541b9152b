//! Refuses requests with more pieces than upstreams can make, before anything is sent.

use tc_policy::{MAX_STAGE_PIECES, StageGraph, max_stage_pieces};
use tc_protocol::routing::StageRefusal;

use super::{RoutedRequest, RunContext};

/// Refuses a request with more pieces than the upstreams of a stage can make before its deadline.
pub(super) fn check_pieces(
    cx: &RunContext,
    req: &RoutedRequest,
    graph: &StageGraph<'_>,
) -> Result<(), StageRefusal> {
    let world = cx.world.load();
    let remaining = req.time_to_next_event();
    for (index, stage) in graph.stages().iter().enumerate() {
        let service = stage.service.as_str();
        let config = world.config.as_ref();
        let spec = config.and_then(|config| config.service(service)?.batch);
        let upstreams = world.upstreams.of_service(service).len();
        let limit = spec.map_or(MAX_STAGE_PIECES, |spec| {
            // Whether there are any is checked at the home of the service.
            max_stage_pieces(&spec, upstreams.max(1), remaining)
        });
        let pieces = graph.pieces(index);
        if pieces > limit {
            log::info!(request = &*req.head.request, service = service, stage = index, pieces = pieces, limit = limit, upstreams = upstreams, remaining_ms = remaining.as_millis() as u64; "request refused: too many pieces");
            return Err(StageRefusal::TooManyPieces);
        }
    }
    Ok(())
}
