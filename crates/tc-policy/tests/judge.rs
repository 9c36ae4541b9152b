//! Whether a chain of stages is begun, and as what, at the home of its first stage.

use std::time::Duration;

use tc_policy::{Begun, ChainJudge, HomeOutlook, PiecesByDue};
use tc_protocol::{
    Fingerprint, MonoTime,
    routing::{RouteStage, StageChain},
};

const CALL: Duration = Duration::from_millis(200);
const AIM: Duration = Duration::from_secs(1);

const fn at(ms: u64) -> MonoTime {
    MonoTime::from_millis(10_000 + ms)
}

fn chain(fingerprint: u64) -> StageChain {
    let stage = |service: &str, depends_on| RouteStage {
        service: service.into(),
        depends_on,
        result_bytes: 8_000,
    };
    StageChain {
        fingerprint: Fingerprint(fingerprint),
        stages: vec![stage("first", vec![]), stage("second", vec![0])],
        pieces: vec![1, 6],
        until_latency_target: AIM,
        remaining: 4 * AIM,
    }
}

fn judge(judge: &mut ChainJudge, now: MonoTime, fingerprint: u64) -> Result<Begun, Duration> {
    judge.judge(now, &chain(fingerprint), 0, 0, &[CALL, CALL])
}

/// A home that makes 600 pieces a second and has this many waiting that can be in time.
fn outlook(waiting: u32) -> HomeOutlook {
    let mut in_time = PiecesByDue::default();
    in_time.add(Duration::from_millis(100), waiting);
    HomeOutlook {
        own: Duration::from_millis(300),
        in_time,
        waiting,
        pieces_per_s: 600.0,
        free: 0.02,
        ..HomeOutlook::default()
    }
}

fn told(second: u32) -> ChainJudge {
    let mut judge = ChainJudge::default();
    judge.note(at(0), &"first".into(), outlook(0));
    judge.note(at(0), &"second".into(), outlook(second));
    judge
}

#[test]
fn a_chain_is_begun_when_the_last_of_its_homes_has_time_for_it() {
    let begun = judge(&mut told(0), at(0), 1).expect("nothing waits");
    assert!(!begun.is_late_return);
    assert_eq!(begun.in_time_for, Duration::from_millis(700));
    assert!(judge(&mut told(900), at(0), 1).is_err());
}

/// Symptom: in a burst of five seconds every request is refused once and answered late. Sequence: a request is refused and comes
/// again when it was told to; others come for the first time. Cause: who comes again counts as new, and takes the place of one
/// that can still be in time.
#[test]
fn who_comes_again_after_a_refusal_counts_from_when_he_came_first() {
    let mut home = told(900);
    assert!(judge(&mut home, at(0), 1).is_err());
    home.note(at(400), &"second".into(), outlook(0));
    home.note(at(400), &"first".into(), outlook(0));
    let again = judge(&mut home, at(300), 1).expect("there is time");
    assert!(!again.is_late_return);
    assert_eq!(again.in_time_for, Duration::from_millis(400));

    let mut home = told(900);
    assert!(judge(&mut home, at(0), 1).is_err());
    let free = HomeOutlook {
        free: 1.0,
        ..outlook(0)
    };
    home.note(at(1_200), &"second".into(), free.clone());
    home.note(at(1_200), &"first".into(), free);
    let again = judge(&mut home, at(1_200), 1).expect("there are places left");
    assert!(again.is_late_return);
    assert_eq!(again.in_time_for, Duration::ZERO);
}

#[test]
fn another_request_is_not_taken_for_one_that_was_refused() {
    let mut home = told(900);
    assert!(judge(&mut home, at(0), 1).is_err());
    home.note(at(400), &"second".into(), outlook(0));
    let other = judge(&mut home, at(400), 2).expect("there is time");
    assert!(!other.is_late_return);
    // A refusal stands for one return only, and not for ever.
    let mut home = told(900);
    assert!(judge(&mut home, at(0), 1).is_err());
    let late = at(9_000);
    home.note(late, &"second".into(), outlook(0));
    home.note(late, &"first".into(), outlook(0));
    assert!(
        !judge(&mut home, late, 1)
            .expect("there is time")
            .is_late_return
    );
}
