//! Records what becomes of runs at the engines that were chosen for them.

use std::time::Duration;

use slotmap::KeyData;
use tc_protocol::{
    MonoTime, UpstreamId,
    routing::{EngineLoad, RunProgress},
};

use super::{
    announced_load::Announcement,
    engine::{Engine, RunTimes},
    planner::{EnginePlanner, Run, RunKey},
};

impl EnginePlanner {
    /// Records progress of a run. Progress of unknown runs is ignored.
    pub fn record(&mut self, now: MonoTime, run: u64, progress: RunProgress) {
        let key = RunKey::from(KeyData::from_ffi(run));
        match progress {
            RunProgress::FirstEvent(took) => self.record_first_event(now, key, took),
            RunProgress::Ended => self.record_end(now, key),
            RunProgress::Failed => self.record_failure(now, key),
            RunProgress::Refused => self.record_refusal(now, key),
        }
    }

    /// Records the load that an engine announced in its answer to a run.
    ///
    /// Runs of other homes, and of instances that chose an engine alone, show in it. Loads are reported only of services
    /// whose engines announce their momentary slowdown, so that the first one makes the rules for uneven engines apply.
    ///
    /// Returns the engine if its number of requests began to be one that no engine can have.
    pub fn record_load(
        &mut self,
        now: MonoTime,
        run: u64,
        load: &EngineLoad,
    ) -> Option<UpstreamId> {
        let run = self.runs.get(RunKey::from(KeyData::from_ffi(run)))?;
        let at = now.before(load.age);
        let sent_since = |other: &&Run| other.upstream == run.upstream && other.chosen_at > at;
        let sent_since = self.runs.values().filter(sent_since).count() as u32;
        let upstream = run.upstream.clone();
        if !std::mem::replace(&mut self.is_uneven, true) {
            self.engines.values_mut().for_each(Engine::set_uneven);
        }
        let engine = self.engines.get_mut(&upstream)?;
        let own_runs = engine.runs.saturating_sub(sent_since);
        match engine.announced.record(at, load, own_runs) {
            Announcement::FreeSlot => {
                engine.refusals.record_room(at);
                None
            }
            Announcement::Full => None,
            Announcement::Unusable {
                requests_became_invalid,
            } => requests_became_invalid.then_some(upstream),
        }
    }

    fn record_first_event(&mut self, now: MonoTime, key: RunKey, took: Duration) {
        let capacity_tokens = self.cache_capacity();
        let Some(run) = self.runs.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut run.is_prefilled, true) {
            return;
        }
        if !run.was_queued {
            self.times.record(run.prefill_tokens, took);
        }
        let usual = run.is_measured.then_some(run.usual_first_event);
        let undelayed = usual.filter(|_| !run.was_queued);
        let undelayed = undelayed.map(|usual_first_event| RunTimes {
            expected: run.expected,
            usual_first_event,
            usual_run: self.run_time.usual(),
        });
        let (upstream, parts) = (run.upstream.clone(), run.parts.clone());
        let chosen_at = run.chosen_at;
        let peer_load = self.peer_load();
        if let Some(engine) = self.engines.get_mut(&upstream) {
            let evicted = engine.prefix_cache.insert(&parts, true, capacity_tokens);
            self.holders.add(&parts, &upstream);
            self.holders.remove(&evicted, &upstream);
            engine.refusals.record_room(chosen_at);
            engine.record_first_event();
            if let Some(run) = undelayed {
                engine.record_time(now, took, &run);
            }
            self.paces
                .record_answer(now, &upstream, took, usual, engine.runs, peer_load);
        }
        self.update_prefill_done(now, &upstream);
    }

    /// Returns the mean number of runs on engines that are not paced.
    fn peer_load(&self) -> f64 {
        if self.paces.is_empty() {
            return 0.0;
        }
        let engines = self.engines.iter();
        let peers = engines.filter(|(id, engine)| engine.ready && !self.paces.is_paced(id));
        let runs: Vec<u32> = peers.map(|(_, engine)| engine.runs).collect();
        f64::from(runs.iter().sum::<u32>()) / runs.len().max(1) as f64
    }

    fn record_failure(&mut self, now: MonoTime, key: RunKey) {
        let run = self.runs.get(key);
        let Some((id, chosen_at)) = run.map(|run| (run.upstream.clone(), run.chosen_at)) else {
            return;
        };
        self.end_run(now, key);
        let Some(engine) = self.engines.get_mut(&id) else {
            return;
        };
        // The backoff grows with each failure, and one crash fails many runs.
        if !self.paces.is_same_failure(&id, chosen_at) {
            engine.record_failure(now);
        }
        self.paces
            .record_failure(now, &id, self.spec.slots, engine.runs);
    }

    fn record_refusal(&mut self, now: MonoTime, key: RunKey) {
        let Some(id) = self.runs.get(key).map(|run| run.upstream.clone()) else {
            return;
        };
        self.end_run(now, key);
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.record_refusal(now, self.run_time.usual());
        }
    }

    fn record_end(&mut self, now: MonoTime, key: RunKey) {
        if let Some(run) = self.runs.get(key).filter(|run| run.is_prefilled) {
            self.run_time.record(now.since(run.chosen_at));
        }
        self.end_run(now, key);
    }
}
