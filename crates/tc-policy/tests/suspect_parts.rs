//! Parts of prompts that crash upstreams are quarantined, and requests with the other parts run.

use std::{collections::BTreeSet, time::Duration};

use bolero::generator::produce;
use tc_policy::{SuspectPolicy, Suspects};
use tc_protocol::{Fingerprint, Incarnation, MonoTime};

const CULPRIT: Fingerprint = Fingerprint(1);
/// In every prompt.
const ROOT: Fingerprint = Fingerprint(2);

const fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(ms)
}

fn suspects() -> Suspects {
    Suspects::with_policy(SuspectPolicy {
        crashes_to_quarantine: 3,
        crashes_to_quarantine_part: 4,
        crashes_to_trial: 2,
        needs_lone_crash: false,
        trial_delay: Duration::ZERO,
        quarantine_duration: Some(std::time::Duration::from_mins(10)),
    })
}

fn crash(suspects: &mut Suspects, number: u64, parts: &[Fingerprint]) {
    let upstream = format!("gen-{number}").as_str().into();
    suspects.record_crash_with_parts(at(number), &upstream, Incarnation(1), parts);
}

/// Guards against sound requests that are refused, and a part that goes on crashing upstreams: other requests are in flight
/// at its crashes, one upstream crashes for another reason, and not all sound parts complete answers between crashes.
#[test]
fn culprit_is_refused_after_a_few_crashes_and_sound_prompts_never() {
    let input = produce::<Vec<u8>>().with().len(1..200_usize);
    tc_fuzz::check(2_000, input, |choices: &Vec<u8>| {
        let mut suspects = suspects();
        let mut choices = choices.iter().copied().cycle();
        let mut choose = |below: u64| u64::from(choices.next().unwrap_or(0)) % below;
        let unrelated = choose(8);
        let mut crashes = 0;
        let mut number = 0;
        while crashes < 8 {
            number += 1;
            let mut parts = vec![ROOT];
            parts.extend((0..choose(3)).map(|_| Fingerprint(10 + choose(6))));
            if number == unrelated {
                crash(&mut suspects, number, &parts);
                continue;
            }
            let prompt = [ROOT, Fingerprint(10 + choose(6)), CULPRIT];
            if suspects.has_quarantined_part(&prompt) {
                break;
            }
            crashes += 1;
            parts.extend(prompt);
            crash(&mut suspects, number, &parts);
            // All but one sound part complete an answer, and often the root does not.
            let completed = (10..16).filter(|middle| middle % 6 != number % 6);
            completed.for_each(|middle| suspects.clear(at(number), Fingerprint(middle)));
            if choose(3) == 0 {
                suspects.clear(at(number), ROOT);
            }
            for middle in 10..16 {
                let sound = [ROOT, Fingerprint(middle)];
                assert!(
                    !suspects.has_quarantined_part(&sound),
                    "{middle} is refused"
                );
            }
        }
        assert!(crashes <= 7, "{crashes} crashes");
    });
}

/// Guards against the order of reports deciding who is refused: instances receive the same evidence in any order.
#[test]
fn merged_evidence_does_not_depend_on_its_order() {
    let (mut first, mut second) = (suspects(), suspects());
    let crashes: Vec<(u64, Vec<Fingerprint>)> = (0..6)
        .map(|number| (number, vec![ROOT, CULPRIT, Fingerprint(10 + number % 3)]))
        .collect();
    for (number, parts) in &crashes {
        crash(&mut first, *number, parts);
    }
    first.clear(at(7), ROOT);
    for (number, parts) in crashes.iter().rev() {
        let instance = &mut suspects();
        crash(instance, *number, parts);
        for part in parts {
            let evidence = instance.evidence_of(at(8), *part).expect("a crash");
            second.merge(at(8), &evidence);
        }
    }
    second.merge(at(8), &first.evidence_of(at(8), ROOT).expect("crashes"));
    let sets = |suspects: &Suspects| suspects.quarantined_parts().cloned().collect::<Vec<_>>();
    assert_eq!(sets(&first), [BTreeSet::from([CULPRIT])]);
    assert_eq!(sets(&first), sets(&second));
}

/// Guards against parts that are refused because a request with them is sent again and again.
#[test]
fn request_that_crashes_upstreams_takes_the_blame_from_its_parts() {
    let mut suspects = suspects();
    let request = Fingerprint(99);
    for number in 0..5 {
        let upstream = format!("gen-{number}").as_str().into();
        suspects.record_crash(at(number), &upstream, Incarnation(1), &[request]);
        crash(&mut suspects, number, &[ROOT, CULPRIT]);
    }
    assert!(suspects.is_quarantined(request));
    assert!(!suspects.has_quarantined_part(&[ROOT, CULPRIT]));
}

/// Guards against a culprit that is never refused without the part that it came with first.
#[test]
fn culprit_is_refused_without_its_first_companion() {
    let mut suspects = suspects();
    for number in 0..4 {
        crash(&mut suspects, number, &[ROOT, CULPRIT]);
    }
    assert!(suspects.has_quarantined_part(&[ROOT, CULPRIT]));
    assert!(!suspects.has_quarantined_part(&[ROOT]));
    let mut runs = 0;
    while !suspects.has_quarantined_part(&[CULPRIT]) {
        runs += 1;
        assert!(runs <= 3, "the rules allow three runs");
        crash(&mut suspects, 10 + runs, &[CULPRIT]);
    }
    assert!(!suspects.has_quarantined_part(&[ROOT]));
}
