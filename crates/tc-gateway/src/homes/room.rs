//! Room of the upstreams of a batch service: frees results when they are no longer needed or their room is.

use std::{sync::Arc, time::Duration};

use tc_policy::{BatchCall, ReleasedResults, UnusedResults};
use tc_protocol::{
    MonoTime,
    routing::{PieceFailure, PieceInput, PieceResult, ResultHandle},
};
use tokio::time::sleep;

use super::{BatchHomes, HomeContext, calls, home::BatchHome};

/// Longest time for which fetched results are kept for late readers.
const MAX_HOLD: Duration = Duration::from_secs(4);

impl BatchHomes {
    /// Frees results, at once or after their hold time. The homes reclaim them earlier if they need the room.
    pub(crate) fn release_results(&self, released: ReleasedResults) {
        let homes = self.all();
        let ReleasedResults { results, hold_for } = released;
        if hold_for.is_zero() {
            free_results(&self.cx, homes, &results);
            return;
        }
        let unknown = homes.iter().fold(results.clone(), |unknown, home| {
            home.results_fetched(&unknown)
        });
        let cx = Arc::clone(&self.cx);
        tokio::spawn(async move {
            sleep(hold_for.min(MAX_HOLD)).await;
            let is_held = |result: &ResultHandle| {
                unknown.contains(result) || homes.iter().any(|home| home.holds_result(result))
            };
            let held: Vec<ResultHandle> = results.into_iter().filter(is_held).collect();
            free_results(&cx, homes, &held);
        });
    }

    fn all(&self) -> Vec<Arc<BatchHome>> {
        self.lock().values().cloned().collect()
    }
}

/// Frees results at their upstreams, and then the capacity that the homes account for them.
fn free_results(cx: &Arc<HomeContext>, homes: Vec<Arc<BatchHome>>, results: &[ResultHandle]) {
    calls::free_at_upstreams(cx, results, move |freed| {
        for home in homes.iter().filter(|home| home.accounts_for(freed)) {
            home.results_freed(freed);
        }
    });
}

impl BatchHome {
    /// Time at which the first input of a stage expires, if known. The results of a stage of several calls were made up
    /// to two calls ago.
    pub(super) fn inputs_expire_at(&self, now: MonoTime, input: &PieceInput) -> Option<MonoTime> {
        let PieceInput::Results(inputs) = input else {
            return None;
        };
        let world = self.cx.world.load();
        let config = world.config.as_ref()?;
        let kept_for = |input: &ResultHandle| {
            let upstream = world.upstreams.upstream_of_result(input)?;
            let batch = config.service(upstream.service.as_str())?.batch?;
            Some(batch.result_ttl.saturating_sub(batch.call_overhead * 2))
        };
        let first = inputs.iter().filter_map(kept_for).min()?;
        Some(now.after(first))
    }

    /// Withdraws the pieces of a call that no request wants any more; returns false if none is left to send.
    pub(super) fn is_call_wanted(&self, call: &mut BatchCall) -> bool {
        let pieces = call.pieces.len();
        self.lock().planner.withdraw_unwanted(call);
        let withdrawn = pieces - call.pieces.len();
        if withdrawn > 0 {
            self.count_unmade("unwanted", withdrawn);
        }
        !call.pieces.is_empty()
    }

    /// Counts pieces that a call did not make.
    pub(super) fn count_unmade(&self, cause: &'static str, pieces: usize) {
        let service = self.service.as_str().to_owned();
        metrics::counter!("tc_batch_pieces_unmade_total", "cause" => cause, "service" => service)
            .increment(pieces as u64);
    }

    /// Counts the pieces that an upstream did not make, by its reason.
    pub(super) fn count_failures(&self, results: &[PieceResult]) {
        for (cause, failure) in [
            ("input_gone", PieceFailure::InputGone),
            ("no_room", PieceFailure::ResultStoreFull),
            ("late", PieceFailure::Late),
            ("failed", PieceFailure::Failed),
        ] {
            let is_failure = |result: &&PieceResult| result.as_ref().is_err_and(|f| *f == failure);
            let pieces = results.iter().filter(is_failure).count();
            if pieces > 0 {
                self.count_unmade(cause, pieces);
            }
        }
    }

    /// Counts and logs results that were made and not used.
    pub(super) fn report_unused(&self, unused: UnusedResults) {
        for (cause, results) in [
            ("request_gone", unused.request_gone),
            ("duplicate", unused.duplicate),
            ("refused", unused.refused),
        ] {
            if results == 0 {
                continue;
            }
            let service = self.service.as_str();
            metrics::counter!("tc_batch_results_unused_total", "cause" => cause, "service" => service.to_owned())
                .increment(results as u64);
            log::info!(service = service, cause = cause, results = results; "results of a stage discarded unused");
        }
    }

    /// Frees results of this service that nobody reads.
    pub(super) fn discard(self: &Arc<Self>, results: &[ResultHandle]) {
        let home = Arc::clone(self);
        calls::free_at_upstreams(&self.cx, results, move |freed| home.results_freed(freed));
    }

    /// Frees fetched results whose room the waiting pieces need.
    pub(super) fn reclaim(self: &Arc<Self>, now: MonoTime) {
        let reclaimed = self.lock().planner.reclaim_results(now);
        if !reclaimed.is_empty() {
            let service = self.service.as_str();
            metrics::counter!("tc_batch_results_reclaimed_total", "service" => service.to_owned())
                .increment(reclaimed.len() as u64);
            log::debug!(service = service, results = reclaimed.len(); "fetched results reclaimed for waiting pieces");
            self.discard(&reclaimed);
        }
    }

    fn results_fetched(&self, results: &[ResultHandle]) -> Vec<ResultHandle> {
        self.lock().planner.results_fetched(results)
    }

    fn holds_result(&self, result: &ResultHandle) -> bool {
        self.lock().planner.holds_result(result)
    }

    fn accounts_for(&self, results: &[ResultHandle]) -> bool {
        let inner = self.lock();
        let planner = &inner.planner;
        results.iter().any(|result| planner.accounts_for(result))
    }
}
