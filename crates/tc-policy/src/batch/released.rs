//! Results that their readers have probably fetched: kept for late readers until waiting pieces need their room.

use std::time::Duration;

use tc_protocol::{MonoTime, routing::ResultHandle};

use super::planner::BatchPlanner;

/// Results that their readers have fetched or no longer need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReleasedResults {
    /// Handles of the results.
    pub results: Vec<ResultHandle>,
    /// Time for which a slow reader may still fetch them; zero if nobody reads them any more.
    pub hold_for: Duration,
}

impl BatchPlanner {
    /// Marks results as fetched by their readers: their room is reclaimed once waiting pieces need it.
    ///
    /// Returns the results that this planner does not know, such as those of an earlier home.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tc_policy::{BatchPlanner, RetryBudget, RetryLimits};
    /// use tc_protocol::{MonoTime, routing::{BatchSpec, ResultHandle}};
    ///
    /// let spec = BatchSpec {
    ///     slots: 1,
    ///     queue_capacity: 2,
    ///     max_pieces: 14,
    ///     call_overhead: Duration::from_millis(200),
    ///     piece_time: Duration::from_millis(12),
    ///     result_capacity_bytes: 32_000_000,
    ///     result_ttl: Duration::from_secs(4),
    ///     link_bytes_per_s: 1.25e9,
    /// };
    /// let limits = RetryLimits { ratio: 0.2, extra: 10.0, window: Duration::from_secs(10) };
    /// let mut planner = BatchPlanner::new(spec, RetryBudget::new(limits, MonoTime::default()));
    /// let unknown = [ResultHandle("10.0.0.1:80/a".into())];
    /// assert_eq!(planner.results_fetched(&unknown), unknown);
    /// ```
    pub fn results_fetched(&mut self, results: &[ResultHandle]) -> Vec<ResultHandle> {
        let unknown = |result: &&ResultHandle| !self.result_memory.mark_fetched(result);
        results.iter().filter(unknown).cloned().collect()
    }

    /// Returns true if the planner accounts for this result and has not reclaimed it.
    #[must_use]
    pub fn holds_result(&self, result: &ResultHandle) -> bool {
        self.result_memory.holds(result)
    }

    /// Returns true if the planner accounts for the room of this result.
    #[must_use]
    pub fn accounts_for(&self, result: &ResultHandle) -> bool {
        self.result_memory.contains(result)
    }

    /// Returns fetched results to free now because waiting pieces need their room, each once.
    pub fn reclaim_results(&mut self, now: MonoTime) -> Vec<ResultHandle> {
        let mut reclaimed = Vec::new();
        if !self.result_memory.has_fetched() {
            return reclaimed;
        }
        let needed = self.bytes_of_next_call(now);
        if needed == 0 {
            return reclaimed;
        }
        let ready = self.upstreams.iter().filter(|(_, upstream)| upstream.ready);
        let free: Vec<_> = ready
            .map(|(id, _)| (id.clone(), self.free_result_bytes(id)))
            .collect();
        for (id, free) in free {
            let expected = free + self.result_memory.reclaimed_at(&id);
            reclaimed.extend(
                self.result_memory
                    .reclaim(&id, needed.saturating_sub(expected)),
            );
        }
        reclaimed
    }

    /// Bytes of the results of a full call, or of all waiting pieces if these are fewer.
    fn bytes_of_next_call(&self, now: MonoTime) -> u64 {
        let waiting = self.jobs.values().filter(|job| job.params.deadline > now);
        let (total, largest) = waiting.fold((0u64, 0), |(total, largest), job| {
            let pieces = job.waiting.len() as u64;
            let bytes = job.params.result_bytes;
            let largest = if pieces > 0 {
                bytes.max(largest)
            } else {
                largest
            };
            (total.saturating_add(bytes.saturating_mul(pieces)), largest)
        });
        total.min(largest.saturating_mul(self.spec.max_pieces as u64))
    }
}
