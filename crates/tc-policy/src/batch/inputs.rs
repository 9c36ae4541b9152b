//! Inputs of jobs, given up as soon as the upstreams that make the pieces have fetched them.
//!
//! An upstream fetches a piece's inputs when the call's turn comes, and works for a third of a second after that. Kept until
//! the call has ended, the inputs take room at their makers for nothing all the while. Where room binds, as with 35 results
//! of 60 KB at a maker, calls of the stage before then stay half empty though a queue waits, and each of those results is
//! kept for a second of which the reader needs a few milliseconds.

use std::time::Duration;

use tc_protocol::{
    MonoTime,
    routing::{PieceInput, ResultHandle},
};

use super::{
    job::{Inputs, Job, JobKey},
    planner::BatchPlanner,
};

/// Time besides the transfer until a call's upstream has its inputs: a new connection, the call's way there and, now and
/// then, the end of another home's call before it.
const BEFORE_FETCH: Duration = Duration::from_millis(40);
/// Times that the bytes pass a link, at worst: one at their maker and one at their reader, each shared with another call.
const LINKS: f64 = 4.0;
/// By how much the time is lengthened each time that inputs were given up too early.
const LENGTHEN: f64 = 2.0;
/// By how much it is shortened with each job that found its inputs. With the step above, one job in seventy may find them
/// gone before the time grows; after a restart of all instances it has come down again within some hundred jobs.
const SHORTEN: f64 = 0.99;
/// Bounds of what both do together, so that a bad second does not outlast the load that it came from.
const FACTOR_BOUNDS: (f64, f64) = (1.0, 16.0);
/// Longest time, as a multiple of a typical call: from there on inputs are kept until the call has ended.
const MOST_CALLS: f64 = 2.0;

/// How long inputs are kept after the last call that reads them has begun.
#[derive(Debug)]
pub(super) struct FetchTime {
    factor: f64,
}

impl Default for FetchTime {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

impl FetchTime {
    /// Time for a call whose pieces read so many bytes.
    fn of(&self, bytes: u64, bytes_per_s: f64) -> Duration {
        let transfer = bytes as f64 * LINKS / bytes_per_s.max(1.0);
        (BEFORE_FETCH + Duration::from_secs_f64(transfer)).mul_f64(self.factor)
    }

    /// Inputs were gone when their reader fetched them.
    fn was_too_short(&mut self) {
        self.move_by(LENGTHEN);
    }

    /// A job found its inputs.
    fn was_enough(&mut self) {
        self.move_by(SHORTEN);
    }

    fn move_by(&mut self, step: f64) {
        self.factor = (self.factor * step).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
    }
}

impl BatchPlanner {
    /// Notes that these jobs have pieces in a call that begins now.
    pub(super) fn note_reading(&mut self, now: MonoTime, jobs: &[JobKey]) {
        let bytes = jobs.iter().map(|key| self.jobs[*key].new.held_bytes).sum();
        let fetch = self.fetch_time.of(bytes, self.spec.link_bytes_per_s);
        if fetch > self.typical_call().mul_f64(MOST_CALLS) {
            return;
        }
        for key in jobs {
            let job = &mut self.jobs[*key];
            let reads_last = job.new.is_last_reader && job.waiting.is_empty();
            if reads_last && job.inputs != Inputs::GivenUp {
                job.inputs = Inputs::ReadBy(now.after(fetch));
            }
        }
    }

    /// Inputs that every reader has by now; each is told once.
    pub fn take_read_inputs(&mut self, now: MonoTime) -> Vec<ResultHandle> {
        let mut read = Vec::new();
        for job in self.jobs.values_mut() {
            if matches!(job.inputs, Inputs::ReadBy(at) if at <= now) {
                job.inputs = Inputs::GivenUp;
                read.extend(job.input_results());
            }
        }
        read
    }

    /// When [`BatchPlanner::take_read_inputs`] has something to tell, as far as known.
    pub(super) fn next_read(&self) -> Option<MonoTime> {
        let times = self.jobs.values().filter_map(|job| match job.inputs {
            Inputs::ReadBy(at) => Some(at),
            Inputs::Kept | Inputs::GivenUp => None,
        });
        times.min()
    }

    /// A job that reads results was made to its end.
    pub(super) fn note_inputs_found(&mut self, job: &Job) {
        if job.new.is_last_reader {
            self.fetch_time.was_enough();
        }
    }

    /// An upstream found an input of this job gone.
    pub(super) fn note_input_gone(&mut self, key: JobKey) {
        let given_up = self.jobs.get(key).is_some_and(Job::has_no_inputs);
        if given_up {
            self.fetch_time.was_too_short();
        }
    }
}

impl Job {
    /// Whether its inputs were given up, so that no piece of it can be made again.
    pub(super) fn has_no_inputs(&self) -> bool {
        self.inputs == Inputs::GivenUp
    }

    /// The results it reads that were not given up yet, if it is their last reader.
    pub(super) fn inputs_left(&self) -> Vec<ResultHandle> {
        if self.new.is_last_reader && !self.has_no_inputs() {
            self.input_results()
        } else {
            Vec::new()
        }
    }

    fn input_results(&self) -> Vec<ResultHandle> {
        match &self.new.input {
            PieceInput::Request(_) => Vec::new(),
            PieceInput::Results(results) => results.to_vec(),
        }
    }
}
