//! Refuses requests with more pieces than upstreams can make, whichever instance has sent them.

use tc_policy::MAX_STAGE_PIECES;
use tc_protocol::routing::{StageRefusal, StageRequest};

use super::home::BatchHome;

impl BatchHome {
    /// Refuses a request with more pieces than upstreams can make in time.
    pub(super) fn check_pieces(&self, stage_request: &StageRequest) -> Result<(), StageRefusal> {
        let largest = stage_request.piece_counts().max().unwrap_or(0);
        let checked = if largest > MAX_STAGE_PIECES {
            Err(StageRefusal::TooManyPieces)
        } else {
            let planner = &self.lock().planner;
            planner.check_pieces(stage_request.pieces, stage_request.remaining)
        };
        checked.inspect_err(|_| {
            let service = self.service.as_str().to_owned();
            metrics::counter!("tc_stage_refusals_total", "service" => service).increment(1);
            log::info!(request = &*stage_request.request, service = self.service.as_str(), pieces = stage_request.pieces, largest = largest, remaining_ms = stage_request.remaining.as_millis() as u64; "stage refused: too many pieces");
        })
    }
}
