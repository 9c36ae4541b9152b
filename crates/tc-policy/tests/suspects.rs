//! Requests that crash upstreams are quarantined after two crashes, and no innocent request is refused.

use std::{collections::BTreeSet, time::Duration};

use bolero::generator::produce;
use tc_policy::{SuspectPolicy, Suspects, Trial};
use tc_protocol::{Fingerprint, Incarnation, MonoTime, UpstreamId};

const CULPRIT: Fingerprint = Fingerprint(0);

const fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn upstream(number: usize) -> UpstreamId {
    format!("generate-{number}").into()
}

fn is_quarantined(suspects: &mut Suspects, now: MonoTime, fp: Fingerprint) -> bool {
    matches!(suspects.try_trial(now, fp), Trial::Quarantined { .. })
}

/// Guards against innocent requests that are refused, and a culprit that crashes one upstream after another: one
/// request crashes every upstream it runs on and is sent again together with its neighbours, which are distributed at
/// random over a few upstreams. Several requests were then in flight in the same two crashes, so counting crashes
/// cannot tell them apart.
#[test]
fn at_most_two_upstreams_crash_and_no_innocent_is_refused() {
    let input = produce::<Vec<u8>>().with().len(1..400_usize);
    tc_fuzz::check(2_000, input, |choices: &Vec<u8>| {
        let mut suspects = Suspects::new(2);
        let mut choices = choices.iter().copied().cycle().take(4_000);
        let mut choose = |below: usize| usize::from(choices.next().unwrap_or(0)) % below;
        let requests = 2 + choose(8);
        let mut running: Vec<BTreeSet<Fingerprint>> = vec![BTreeSet::new(); 3];
        // The first crash, with all requests in flight together.
        let all: Vec<Fingerprint> = (0..requests as u64).map(Fingerprint).collect();
        let mut now = at(1);
        suspects.record_crash(now, &upstream(9), Incarnation(1), &all);
        let mut crash_count = 1;
        for step in 0..200 {
            now = at(10 * step + 10);
            let fp = Fingerprint(choose(requests) as u64);
            let place = choose(running.len());
            let runs_already = running.iter().any(|r| r.contains(&fp));
            if runs_already {
                for on in &mut running {
                    on.remove(&fp);
                }
                suspects.end_trial(now, fp);
                suspects.clear(now, fp);
                continue;
            }
            match suspects.try_trial(now, fp) {
                Trial::Quarantined { .. } => assert_eq!(fp, CULPRIT, "an innocent is refused"),
                Trial::Busy { .. } => {}
                Trial::Run if fp == CULPRIT => {
                    let mut in_flight = std::mem::take(&mut running[place]);
                    in_flight.insert(fp);
                    crash_count += 1;
                    let in_flight: Vec<Fingerprint> = in_flight.into_iter().collect();
                    // Two entries report the crash, each with its own calls, and one of them does so twice.
                    let (some, others) = in_flight.split_at(in_flight.len() / 2);
                    let incarnation = Incarnation(crash_count);
                    for reported in [some, others, some] {
                        suspects.record_crash(now, &upstream(place), incarnation, reported);
                    }
                }
                Trial::Run => {
                    running[place].insert(fp);
                }
            }
        }
        assert!(crash_count <= 2, "{crash_count} upstreams crashed");
        for fp in all.into_iter().filter(|&fp| fp != CULPRIT) {
            assert!(!is_quarantined(&mut suspects, now, fp), "{fp} is innocent");
        }
    });
}

#[test]
fn same_crash_counts_once() {
    let mut suspects = Suspects::new(2);
    for _ in 0..5 {
        suspects.record_crash(at(1), &upstream(1), Incarnation(1), &[CULPRIT]);
    }
    assert!(suspects.is_suspect(CULPRIT));
    assert_eq!(suspects.try_trial(at(2), CULPRIT), Trial::Run);
    suspects.record_crash(at(3), &upstream(1), Incarnation(2), &[CULPRIT]);
    assert!(is_quarantined(&mut suspects, at(4), CULPRIT));
    assert_eq!(suspects.quarantined().collect::<Vec<_>>(), [CULPRIT]);
}

#[test]
fn success_clears_despite_a_late_report_of_the_same_crash() {
    let (mut suspects, innocent) = (Suspects::new(2), Fingerprint(7));
    suspects.record_crash(at(1), &upstream(1), Incarnation(1), &[CULPRIT, innocent]);
    assert_eq!(suspects.try_trial(at(2), innocent), Trial::Run);
    suspects.clear(at(3), innocent);
    suspects.record_crash(at(4), &upstream(1), Incarnation(1), &[CULPRIT, innocent]);
    assert!(!suspects.is_suspect(innocent));
    assert!(suspects.is_suspect(CULPRIT));
}

/// Guards against a suspect that is refused as busy for good: its trial runs at an entry that crashes, so the end of
/// the trial is never reported and the trial would not expire.
#[test]
fn trial_without_a_reported_end_expires() {
    let mut suspects = Suspects::new(2);
    suspects.record_crash(at(1), &upstream(1), Incarnation(1), &[CULPRIT]);
    assert_eq!(suspects.try_trial(at(2), CULPRIT), Trial::Run);
    assert!(matches!(
        suspects.try_trial(at(3), CULPRIT),
        Trial::Busy { .. }
    ));
    assert_eq!(suspects.try_trial(at(40_000), CULPRIT), Trial::Run);
}

#[test]
fn adopted_quarantine_is_enforced() {
    let mut suspects = Suspects::new(2);
    suspects.adopt_quarantine(at(1), CULPRIT);
    assert!(is_quarantined(&mut suspects, at(2), CULPRIT));
    suspects.record_crash(
        at(3),
        &upstream(1),
        Incarnation(1),
        &[CULPRIT, Fingerprint(7)],
    );
    assert!(
        !suspects.is_suspect(Fingerprint(7)),
        "the crash is attributed"
    );
}

#[test]
fn a_lifted_fingerprint_runs_and_is_quarantined_again_after_as_many_crashes() {
    let mut suspects = Suspects::new(2);
    let crash = |suspects: &mut Suspects, number| {
        suspects.record_crash(at(1), &upstream(number), Incarnation(1), &[CULPRIT]);
    };
    crash(&mut suspects, 0);
    crash(&mut suspects, 1);
    assert!(is_quarantined(&mut suspects, at(1), CULPRIT));
    suspects.lift(at(2), CULPRIT);
    assert!(!suspects.is_suspect(CULPRIT));
    assert_eq!(suspects.quarantined().count(), 0);
    crash(&mut suspects, 2);
    assert_eq!(suspects.try_trial(at(2), CULPRIT), Trial::Run);
    crash(&mut suspects, 3);
    assert!(is_quarantined(&mut suspects, at(2), CULPRIT));
    suspects.lift(at(2), Fingerprint(99));
    assert!(is_quarantined(&mut suspects, at(2), CULPRIT));
}

/// Guards against requests that queue for each other after a single crash because each must run alone: forty requests
/// are in flight on an upstream that crashes for another reason, and their callers send them again.
#[test]
fn with_trials_from_the_second_crash_neighbours_of_one_crash_run_at_once() {
    let mut suspects = Suspects::with_policy(SuspectPolicy {
        crashes_to_quarantine: 3,
        crashes_to_quarantine_part: 4,
        crashes_to_trial: 2,
        needs_lone_crash: false,
        trial_delay: Duration::ZERO,
        quarantine_duration: Some(Duration::from_mins(10)),
    });
    let all: Vec<Fingerprint> = (0..40).map(Fingerprint).collect();
    suspects.record_crash(at(1), &upstream(1), Incarnation(1), &all);
    for &fp in &all {
        assert_eq!(suspects.try_trial(at(2), fp), Trial::Run);
    }
    // The culprit crashes the next upstream; from then on it runs alone, and not at all after the third crash.
    suspects.record_crash(at(3), &upstream(2), Incarnation(1), &[CULPRIT]);
    assert_eq!(suspects.try_trial(at(4), CULPRIT), Trial::Run);
    let second = suspects.try_trial(at(5), CULPRIT);
    assert!(matches!(second, Trial::Busy { .. }), "{second:?}");
    suspects.record_crash(at(6), &upstream(3), Incarnation(1), &[CULPRIT]);
    assert!(is_quarantined(&mut suspects, at(7), CULPRIT));
    assert!(is_quarantined(&mut suspects, at(590_000), CULPRIT));
    assert_eq!(suspects.try_trial(at(600_007), CULPRIT), Trial::Run);
}

const TRIAL_DELAY: Duration = Duration::from_millis(250);

fn with_lone_crashes() -> Suspects {
    Suspects::with_policy(SuspectPolicy {
        crashes_to_quarantine: 3,
        crashes_to_quarantine_part: 4,
        crashes_to_trial: 2,
        needs_lone_crash: true,
        trial_delay: TRIAL_DELAY,
        quarantine_duration: Some(Duration::from_mins(10)),
    })
}

/// Guards against a request that is refused because an outage broke several of its runs, and against a trial during the outage,
/// which would look like one more crash by it.
#[test]
fn an_outage_alone_quarantines_no_request() {
    let mut suspects = with_lone_crashes();
    for number in 0..4 {
        suspects.record_crash(at(1), &upstream(number), Incarnation(1), &[CULPRIT]);
    }
    assert!(!is_quarantined(&mut suspects, at(2), CULPRIT));
    assert!(matches!(
        suspects.try_trial(at(2), CULPRIT),
        Trial::Busy { .. }
    ));
    assert_eq!(suspects.try_trial(at(252), CULPRIT), Trial::Run);
    assert!(matches!(
        suspects.try_trial(at(253), CULPRIT),
        Trial::Busy { .. }
    ));
    suspects.clear(at(300), CULPRIT);
    assert!(!suspects.is_suspect(CULPRIT));
}

/// Guards against instances that go on running a request because they do not know that it crashed an upstream alone.
#[test]
fn a_lone_crash_quarantines_on_every_instance() {
    let (mut here, mut there) = (with_lone_crashes(), with_lone_crashes());
    for number in 0..2 {
        here.record_crash(at(1), &upstream(number), Incarnation(1), &[CULPRIT]);
    }
    for evidence in here.evidence_to_send(at(2), 8) {
        there.merge(at(2), &evidence);
    }
    here.record_lone_crash(at(260), &upstream(2), Incarnation(1), CULPRIT);
    assert!(is_quarantined(&mut here, at(261), CULPRIT));
    for evidence in here.evidence_to_send(at(262), 8) {
        there.merge(at(262), &evidence);
    }
    assert!(is_quarantined(&mut there, at(263), CULPRIT));
}

/// Guards against a request that is never refused because its evidence was full before it ran alone.
#[test]
fn a_lone_crash_counts_after_many_others() {
    let (mut here, mut there) = (with_lone_crashes(), with_lone_crashes());
    for number in 0..20 {
        for suspects in [&mut here, &mut there] {
            suspects.record_crash(at(1), &upstream(number), Incarnation(1), &[CULPRIT]);
        }
    }
    here.record_lone_crash(at(260), &upstream(20), Incarnation(1), CULPRIT);
    assert!(is_quarantined(&mut here, at(261), CULPRIT));
    for evidence in here.evidence_to_send(at(262), 8) {
        there.merge(at(262), &evidence);
    }
    assert!(is_quarantined(&mut there, at(263), CULPRIT));
}
