//! What an entry knows of the stages' homes, and what it expects of a request's stages by it.

use std::{collections::BTreeMap, time::Duration};

use tc_protocol::{MonoTime, ServiceName};

use super::{
    job::RANK_STEP,
    outlook::{Coming, HomeOutlook},
};
use crate::StageGraph;

/// How long a home's word counts: a backlog changes by its own length in this time.
const LIFE: Duration = Duration::from_millis(500);
/// Time of a stage whose home told nothing lately, as a multiple of a call's fixed time: the call with some pieces, and
/// half of another that it waits for.
const UNKNOWN_STAGE: f64 = 1.6;

/// Part of the work that a service could do until a request comes to it which is counted on to shorten its queue. The rest
/// goes to requests that come meanwhile and are due earlier, and to calls that are not full. With half of it, a seventh of
/// what can be in time is refused in a burst of twice the usual load; with all of it, four times as many are late in one of
/// 2.6 times.
const MADE_MEANWHILE: f64 = 0.7;

/// Longest wait that is told apart from others, in seconds: no request waits for so long.
const LONGEST_WAIT_S: f64 = 3_600.0;

/// The last word of each home.
///
/// A chain of stages is as good as its most loaded one. Without this a request would pass its first stages, take
/// capacity and room there, and be refused at the last: work thrown away just when there is too much of it. A home sees
/// a burst only once it has passed the stage before, half a second later; so the homes before tell what is on its way.
#[derive(Clone, Debug, Default)]
pub struct StageOutlooks {
    told: BTreeMap<ServiceName, (MonoTime, HomeOutlook)>,
}

/// A request whose stages are judged.
#[derive(Clone, Copy, Debug)]
pub struct JudgedRequest<'a> {
    /// Its stages.
    pub graph: &'a StageGraph<'a>,
    /// Fixed time of a call of each stage.
    pub call_times: &'a [Duration],
    /// Time until its last stage must be made for it to be answered in time.
    pub until_aim: Duration,
    /// Its rank, 0 first.
    pub rank: u8,
}

/// Expected times of a request's stages, their waits included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExpectedStages {
    /// If the request goes with what can be in time.
    pub in_time: Vec<Duration>,
    /// If it goes with what cannot.
    pub late: Vec<Duration>,
}

impl StageOutlooks {
    /// A home told how it stands.
    pub fn note(&mut self, now: MonoTime, service: &ServiceName, outlook: HomeOutlook) {
        self.told.insert(service.clone(), (now, outlook));
    }

    /// What a request that begins now, or goes on now, is to expect.
    #[must_use]
    pub fn expect(&self, now: MonoTime, request: &JudgedRequest<'_>) -> ExpectedStages {
        let stages = request.graph.stages().len();
        let mut expected = ExpectedStages {
            in_time: vec![Duration::ZERO; stages],
            late: vec![Duration::ZERO; stages],
        };
        let own: Vec<Duration> = (0..stages)
            .map(|stage| self.own(now, request, stage))
            .collect();
        // Each stage follows earlier ones only.
        for stage in 0..stages {
            if request.graph.is_over(stage) {
                continue;
            }
            let told = self.told_of(now, request.graph, stage);
            let travel = |times: &[Duration]| request.graph.time_before(stage, times);
            let (in_time, late) = match told {
                Some(told) => (
                    self.wait_in_time(now, request, stage, told, &own, travel(&expected.in_time)),
                    self.wait_late(now, request, stage, told, travel(&expected.late)),
                ),
                None => Default::default(),
            };
            expected.in_time[stage] = own[stage] + in_time;
            expected.late[stage] = own[stage] + late;
        }
        expected
    }

    fn told_of(&self, now: MonoTime, graph: &StageGraph<'_>, stage: usize) -> Option<&HomeOutlook> {
        let (at, outlook) = self.told.get(&graph.stages()[stage].service)?;
        (now.since(*at) < LIFE).then_some(outlook)
    }

    fn own(&self, now: MonoTime, request: &JudgedRequest<'_>, stage: usize) -> Duration {
        let told = self.told_of(now, request.graph, stage);
        told.map_or(request.call_times[stage].mul_f64(UNKNOWN_STAGE), |told| {
            told.own
        })
    }

    /// Pieces on their way to a stage from the homes of the stages before it.
    fn coming<'a>(
        &'a self,
        now: MonoTime,
        graph: &'a StageGraph<'a>,
        stage: usize,
    ) -> impl Iterator<Item = (usize, &'a Coming)> + 'a {
        let service = &graph.stages()[stage].service;
        let before = graph.stages()[stage].depends_on.iter().copied();
        before.filter_map(move |before| {
            let told = self.told_of(now, graph, before)?;
            Some((before, told.coming.get(service)?))
        })
    }

    /// Wait behind what is due earlier: what waits there now and what comes, less what is made until the request is there.
    fn wait_in_time(
        &self,
        now: MonoTime,
        request: &JudgedRequest<'_>,
        stage: usize,
        told: &HomeOutlook,
        own: &[Duration],
        travel: Duration,
    ) -> Duration {
        let graph = request.graph;
        let shift = RANK_STEP * u32::from(request.rank);
        let due = |stage: usize| {
            let after = graph.time_after(stage, own);
            request.until_aim.saturating_sub(after) + shift
        };
        let coming: f64 = self
            .coming(now, graph, stage)
            .map(|(before, coming)| coming.in_time.due_before(due(before)))
            .sum();
        let ahead = told.in_time.due_before(due(stage)) + coming;
        time_for(ahead, told.pieces_per_s, travel)
    }

    /// Wait behind all else, made in what the rest leaves free.
    fn wait_late(
        &self,
        now: MonoTime,
        request: &JudgedRequest<'_>,
        stage: usize,
        told: &HomeOutlook,
        travel: Duration,
    ) -> Duration {
        let coming = self.coming(now, request.graph, stage);
        let coming: f64 = coming.map(|(_, coming)| f64::from(coming.all)).sum();
        let ahead = f64::from(told.waiting) + coming;
        time_for(ahead, told.pieces_per_s * told.free, travel)
    }
}

/// How long so many pieces still take once `travel` has passed.
fn time_for(pieces: f64, per_s: f64, travel: Duration) -> Duration {
    if per_s <= 0.0 {
        return Duration::ZERO;
    }
    // What another instance told may be no number at all.
    let seconds = (pieces / per_s).min(LONGEST_WAIT_S);
    Duration::from_secs_f64(seconds).saturating_sub(travel.mul_f64(MADE_MEANWHILE))
}
