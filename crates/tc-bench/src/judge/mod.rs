//! Compares what callers were told with what upstreams saw.

mod record;

pub use record::{CallRecord, Ended, SeenCall, Told};

use std::collections::{BTreeMap, BTreeSet};

use tc_protocol::{InstanceId, RunState};

/// Findings kept in words, so that a failed run can be looked into.
const MAX_NOTES: usize = 20;

/// Records of the upstreams in a run, and the faults injected meanwhile.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Every call that reached an upstream.
    pub calls: Vec<SeenCall>,
    /// Services whose calls must not be repeated.
    pub once_services: BTreeSet<String>,
    /// Instances that were killed or paused: a connection of theirs that breaks or stays silent loses no request
    /// by a fault of the system.
    pub disturbed: BTreeSet<InstanceId>,
}

/// Counts of broken promises; all zero in a right run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Keys that a non-idempotent service ran more than once.
    pub doubled: u64,
    /// Requests with neither whole answer nor truthful failure, and streams with a gap.
    pub lost: u64,
    /// Answers that are not those of their own input, and streams with a repeat.
    pub mixed: u64,
    /// Requests told `not_run` that an upstream saw.
    pub false_not_run: u64,
    /// The first findings in words.
    pub notes: Vec<String>,
}

impl Verdict {
    /// Whether no promise was broken.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.doubled + self.lost + self.mixed + self.false_not_run == 0
    }

    fn note(&mut self, text: String) {
        if self.notes.len() < MAX_NOTES {
            self.notes.push(text);
        }
    }
}

/// Judges a run.
///
/// ```
/// use tc_bench::{Evidence, judge};
/// assert!(judge(&[], &Evidence::default()).is_clean());
/// ```
#[must_use]
pub fn judge(records: &[CallRecord], evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    count_doubled(evidence, &mut verdict);
    let seen = Seen::of(&evidence.calls);
    for record in records {
        judge_answer(record, evidence, &mut verdict);
        judge_stream(record, &mut verdict);
        judge_not_run(record, &seen, &mut verdict);
    }
    verdict
}

/// Requests and keys that reached an upstream.
struct Seen<'a> {
    requests: BTreeSet<&'a str>,
    keys: BTreeSet<&'a str>,
}

impl<'a> Seen<'a> {
    fn of(calls: &'a [SeenCall]) -> Self {
        Self {
            requests: calls.iter().map(|c| c.request_id.as_str()).collect(),
            keys: calls.iter().filter_map(|c| c.key.as_deref()).collect(),
        }
    }
}

fn count_doubled(evidence: &Evidence, verdict: &mut Verdict) {
    let mut runs: BTreeMap<(&str, &str, &str), u64> = BTreeMap::new();
    for call in evidence.calls.iter().filter(|c| c.ran) {
        let Some(key) = call.key.as_deref() else {
            continue;
        };
        if evidence.once_services.contains(&call.service) {
            *runs.entry((key, &call.service, &call.stage)).or_default() += 1;
        }
    }
    for ((key, service, _), count) in runs {
        if count > 1 {
            verdict.doubled += 1;
            verdict.note(format!("doubled: key {key} ran {count} times at {service}"));
        }
    }
}

fn judge_answer(record: &CallRecord, evidence: &Evidence, verdict: &mut Verdict) {
    match &record.told {
        Told::Answered { right: false } => {
            verdict.mixed += 1;
            verdict.note(format!("mixed: {}", describe(record)));
        }
        Told::Broken | Told::Silent if !is_disturbed(record, evidence) => {
            verdict.lost += 1;
            verdict.note(format!("lost: {:?} {}", record.told, describe(record)));
        }
        // A failure that does not say whether the request ran leaves the caller as helpless as silence.
        Told::Failed {
            status,
            run_state: None,
            why,
        } => {
            verdict.lost += 1;
            verdict.note(format!(
                "lost: {status} without run state ({why}) {}",
                describe(record)
            ));
        }
        _ => {}
    }
}

fn is_disturbed(record: &CallRecord, evidence: &Evidence) -> bool {
    record
        .instance
        .as_ref()
        .is_some_and(|id| evidence.disturbed.contains(id))
}

fn judge_stream(record: &CallRecord, verdict: &mut Verdict) {
    let mut expected = 1;
    for id in &record.event_ids {
        if *id < expected {
            verdict.mixed += 1;
            verdict.note(format!("mixed: event {id} repeated, {}", describe(record)));
            return;
        }
        if *id > expected {
            verdict.lost += 1;
            verdict.note(format!(
                "lost: events {expected} to {} missing, {}",
                id - 1,
                describe(record)
            ));
            return;
        }
        expected = id + 1;
    }
}

fn judge_not_run(record: &CallRecord, seen: &Seen<'_>, verdict: &mut Verdict) {
    let Told::Failed {
        run_state: Some(RunState::NotRun),
        why,
        ..
    } = &record.told
    else {
        return;
    };
    let by_request = record
        .request_id
        .as_deref()
        .is_some_and(|id| seen.requests.contains(id));
    let by_key = record
        .key
        .as_deref()
        .is_some_and(|key| seen.keys.contains(key));
    if by_request || by_key {
        verdict.false_not_run += 1;
        verdict.note(format!("false not_run ({why}): {}", describe(record)));
    }
}

fn describe(record: &CallRecord) -> String {
    format!(
        "{} {} request {} key {} via {} due {:.0} ms took {:.0} ms",
        record.workspace,
        record.target,
        record.request_id.as_deref().unwrap_or("-"),
        record.key.as_deref().unwrap_or("-"),
        record.instance.as_ref().map_or("-", InstanceId::as_str),
        record.due_ms,
        record.took_ms,
    )
}
