//! One choice at a time.

use tc_policy::EnginePlanner;
use tc_protocol::routing::{EngineRequest, RunProgress};

use crate::common::{ask, at, candidates, choose, id, ms, planner, read, spec, time_of};

#[test]
fn prompts_that_share_a_part_go_where_it_is_kept_while_that_engine_is_free() {
    let mut planner = planner(&["a", "a", "a"]);
    let keeper = read(&mut planner, at(100), &ask(&[(1, 5_000), (2, 500)]));
    let next = choose(&mut planner, at(200), &ask(&[(1, 5_000), (3, 500)]));
    assert_eq!(next.upstream, keeper);
    assert_eq!(next.fetch_from, None);
}

/// Symptom: long prompts that share a part are answered seconds late while other engines have nothing to read.
/// Sequence: one of 40,000 tokens is being read where the part is kept; the next one of its family comes.
/// Cause: the engine that keeps the part was chosen whatever it had to read.
#[test]
fn a_busy_keeper_is_left_for_another_engine_that_fetches_what_it_keeps() {
    let mut planner = planner(&["a", "a", "a"]);
    let keeper = read(&mut planner, at(100), &ask(&[(1, 5_000), (2, 500)]));
    let long = choose(&mut planner, at(200), &ask(&[(1, 5_000), (3, 40_000)]));
    assert_eq!(long.upstream, keeper);
    let next = choose(&mut planner, at(210), &ask(&[(1, 5_000), (4, 500)]));
    assert_ne!(next.upstream, keeper);
    assert_eq!(next.fetch_from, Some(keeper));
}

#[test]
fn a_part_that_is_being_read_cannot_be_fetched_yet() {
    let mut planner = planner(&["a", "a"]);
    let first = choose(&mut planner, at(100), &ask(&[(1, 5_000), (2, 500)]));
    let mut other = ask(&[(1, 5_000), (3, 500)]);
    other.excluded = vec![first.upstream.clone()];
    assert_eq!(choose(&mut planner, at(110), &other).fetch_from, None);
    let mut planner = self::planner_after_first_event();
    let again = choose(&mut planner.0, at(200), &planner.1);
    assert!(again.fetch_from.is_some());
}

/// A planner whose first engine has read a shared part, and an ask that must go to another one.
fn planner_after_first_event() -> (EnginePlanner, EngineRequest) {
    let mut planner = planner(&["a", "a"]);
    let first = choose(&mut planner, at(100), &ask(&[(1, 5_000), (2, 500)]));
    planner.note(at(190), first.run, RunProgress::FirstEvent(time_of(5_500)));
    let mut other = ask(&[(1, 5_000), (3, 500)]);
    other.excluded = vec![first.upstream];
    (planner, other)
}

/// Symptom: parts are fetched from an engine that has nothing. Sequence: the run that was to read them failed, or the engine
/// was born again and has another life. Cause: what a run or a life before would have left is taken to be kept.
#[test]
fn what_was_not_read_or_belongs_to_a_life_before_is_not_kept() {
    let (mut planner, other) = planner_after_first_event();
    let mut left = candidates(&["a", "a"]);
    left.retain(|engine| !other.excluded.contains(&engine.id));
    planner.set_engines(spec(), &left);
    assert_eq!(choose(&mut planner, at(200), &other).fetch_from, None);

    let mut planner = self::planner(&["a", "a"]);
    let failed = choose(&mut planner, at(100), &ask(&[(1, 5_000), (2, 500)]));
    planner.note(at(150), failed.run, RunProgress::Failed);
    let next = choose(&mut planner, at(5_000), &ask(&[(1, 5_000), (3, 500)]));
    assert_eq!(next.fetch_from, None);
}

#[test]
fn an_engine_that_failed_pauses_while_there_is_another() {
    let mut planner = planner(&["a", "a"]);
    let failed = choose(&mut planner, at(100), &ask(&[(1, 500)]));
    planner.note(at(110), failed.run, RunProgress::Failed);
    for part in 0..6 {
        let choice = choose(&mut planner, at(120), &ask(&[(10 + part, 500)]));
        assert_ne!(choice.upstream, failed.upstream);
    }
    planner.set_engines(spec(), &[]);
    assert_eq!(planner.choose(at(120), &ask(&[(30, 500)])), None);
}

#[test]
fn large_inputs_decide_between_engines_that_are_equally_free() {
    let mut planner = planner(&["a", "b", "c"]);
    for part in 0..9 {
        let mut ask = ask(&[(100 + part, 2_000)]);
        ask.inputs = vec![("b".into(), 2_000_000)];
        let choice = choose(&mut planner, at(100 + part * 1_000), &ask);
        assert_eq!(choice.upstream, id(1));
        let run = choice.run;
        let read = at(150 + part * 1_000);
        planner.note(read, run, RunProgress::FirstEvent(ms(50)));
        planner.note(read, run, RunProgress::Ended);
    }
}

#[test]
fn full_engines_are_left_out_while_others_have_places() {
    let mut planner = planner(&["a", "a"]);
    let mut chosen = std::collections::HashMap::new();
    for part in 0..16 {
        let choice = choose(&mut planner, at(100), &ask(&[(50 + part, 100)]));
        *chosen.entry(choice.upstream).or_insert(0) += 1;
    }
    assert_eq!(chosen.values().max(), Some(&8), "{chosen:?}");
    assert!(
        planner.choose(at(100), &ask(&[(99, 100)])).is_some(),
        "it says itself that it is full"
    );
}

#[test]
fn runs_without_news_are_forgotten_when_their_time_is_over() {
    let mut planner = planner(&["a"]);
    choose(&mut planner, at(100), &ask(&[(1, 500)]));
    assert_eq!(planner.size(), (1, 1));
    let last = choose(&mut planner, at(12_000), &ask(&[(2, 500)]));
    assert_eq!(planner.size(), (1, 1));
    planner.note(at(12_100), last.run, RunProgress::Ended);
    planner.note(at(12_100), last.run, RunProgress::Ended);
    planner.note(at(12_100), 77, RunProgress::Failed);
    assert_eq!(planner.size(), (0, 1));
}
