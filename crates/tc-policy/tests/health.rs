//! Tests lowered concurrency, ejection, probes and readmission of slow, hanging and failing upstreams.

mod support;

use std::time::Duration;

use support::{answered, at, busy, granted, home, ms, release, request};
use tc_policy::{HeldPermit, Home, HomeEvent, PermitDecision};
use tc_protocol::{
    Fingerprint, Incarnation, MonoTime, Outcome, PermitId, RefusalReason, wire::LoadReport,
};

/// Median service time of the service.
const MEDIAN: Duration = ms(100);

/// Runs `calls` calls one after another, all with the same outcome, and returns the time afterwards.
///
/// Stops at the first call that is queued.
fn run_calls(
    home: &mut Home,
    mut now: MonoTime,
    calls: u32,
    outcome: Outcome,
    took: Duration,
) -> MonoTime {
    for _ in 0..calls {
        let permit = match home.request_permit(now, request("a")) {
            PermitDecision::Granted { permit, .. } => permit,
            PermitDecision::Queued(key) => {
                assert!(home.cancel(now, key));
                return now;
            }
            other => panic!("neither granted nor queued: {other:?}"),
        };
        now = now.after(took);
        home.release(now, &release(permit, outcome, took));
    }
    now
}

fn home_with_median(slots: u32, may_eject: bool) -> Home {
    let mut home = home(slots);
    home.set_service_median(at(1), Some(100.0), may_eject);
    home
}

/// Guards against a slow, hanging or failing upstream that keeps getting its share of calls, and against ejecting a
/// healthy one. Each case runs twenty calls with the same outcome.
#[test]
fn outliers_are_ejected_and_others_are_not() {
    let table = [
        ("usual", Outcome::Answered, MEDIAN, false),
        ("a bit slow", Outcome::Answered, ms(150), false),
        ("ten times slower", Outcome::Answered, ms(1_000), true),
        ("hangs, hedged away", Outcome::Cancelled, ms(350), true),
        ("hangs, timed out", Outcome::TimedOut, ms(2_000), true),
        ("fails at once", Outcome::Failed, ms(1), true),
        ("dies", Outcome::Died, ms(10), true),
        ("calls are wrong", Outcome::Rejected, ms(1), false),
        ("hedges that lost early", Outcome::Cancelled, ms(50), false),
        ("permits not used", Outcome::Unused, ms(0), false),
    ];
    for (what, outcome, took, ejected) in table {
        let mut home = home_with_median(8, true);
        let now = run_calls(&mut home, at(1), 20, outcome, took);
        assert_eq!(home.summary(now).ejected, ejected, "{what}");
        let mut home = home_with_median(8, false);
        let now = run_calls(&mut home, at(1), 20, outcome, took);
        let summary = home.summary(now);
        assert!(!summary.ejected, "{what}: ejected though it may not be");
        let lowered = summary.concurrency < 8;
        assert_eq!(
            lowered, ejected,
            "{what}: concurrency {}",
            summary.concurrency
        );
    }
}

#[test]
fn concurrency_is_lowered_before_ejection() {
    let mut home = home_with_median(8, true);
    let now = run_calls(&mut home, at(1), 8, Outcome::Answered, ms(1_000));
    let summary = home.summary(now);
    assert!(!summary.ejected);
    assert_eq!(summary.concurrency, 4);
}

#[test]
fn one_probe_at_a_time_until_readmission() {
    let mut home = home_with_median(8, true);
    let ejected = run_calls(&mut home, at(1), 20, Outcome::Failed, ms(1));
    let mut elsewhere = request("a");
    elsewhere.may_redirect = true;
    let verdict = home.request_permit(ejected, elsewhere.clone());
    assert!(
        matches!(verdict, PermitDecision::Redirect { .. }),
        "{verdict:?}"
    );

    // A failed probe delays the next one.
    let first = ejected.after(ms(600));
    let probe = granted(&mut home, first, elsewhere.clone());
    let verdict = home.request_permit(first, elsewhere.clone());
    assert!(
        matches!(verdict, PermitDecision::Redirect { .. }),
        "second probe: {verdict:?}"
    );
    home.release(first, &release(probe, Outcome::Failed, ms(1)));
    let before_next_probe = first.after(ms(600));
    assert!(matches!(
        home.request_permit(before_next_probe, elsewhere.clone()),
        PermitDecision::Redirect { .. }
    ));

    // After two successful probes the upstream is readmitted with a concurrency of 1, which then grows.
    let mut now = first.after(ms(1_100));
    for _ in 0..2 {
        let probe = granted(&mut home, now, elsewhere.clone());
        assert!(home.summary(now).ejected);
        now = now.after(MEDIAN);
        home.release(now, &answered(probe, MEDIAN));
    }
    assert!(!home.summary(now).ejected);
    assert_eq!(home.summary(now).concurrency, 1);
    let now = run_calls(&mut home, now, 200, Outcome::Answered, MEDIAN);
    assert!(home.summary(now).concurrency >= 2);
}

#[test]
fn waiting_requests_are_dropped_or_sent_as_probes() {
    let mut home = home_with_median(1, true);
    let mut running = granted(&mut home, at(1), request("a"));
    let mut now = at(1);
    for _ in 0..3 {
        home.release(now, &release(running, Outcome::Failed, ms(1)));
        now = now.after(ms(1));
        running = granted(&mut home, now, request("a"));
    }
    let mut movable = request("a");
    movable.may_redirect = true;
    let PermitDecision::Queued(movable) = home.request_permit(now, movable) else {
        panic!("one slot, one running");
    };
    let PermitDecision::Queued(fixed) = home.request_permit(now, request("a")) else {
        panic!("one slot, one running");
    };
    home.release(now, &release(running, Outcome::Failed, ms(1)));
    assert!(home.summary(now).ejected);
    let events = home.poll(now);
    let [
        HomeEvent::Dropped {
            request, reason, ..
        },
    ] = events[..]
    else {
        panic!("one is dropped: {events:?}");
    };
    assert_eq!((request, reason), (movable, RefusalReason::NoUpstream));
    let wake = home.next_wake().expect("the probe is due some time");
    let events = home.poll(wake);
    assert!(
        matches!(events[..], [HomeEvent::Granted { request, .. }] if request == fixed),
        "{events:?}"
    );
}

#[test]
fn restarted_upstream_is_readmitted() {
    let mut home = home_with_median(8, true);
    let report = |incarnation| LoadReport {
        incarnation: Incarnation(incarnation),
        slots: 8,
        ..LoadReport::default()
    };
    home.record_load_report(at(1), &report(1));
    let now = run_calls(&mut home, at(1), 20, Outcome::Died, ms(10));
    assert!(home.summary(now).ejected);
    home.record_load_report(now, &report(2));
    assert!(!home.summary(now).ejected);
}

/// Guards against a home that grants more calls than an upstream has free slots, although the upstream reports its
/// load. This happens if only the home's own permits are counted while other calls run there too. Both reports are
/// delayed.
#[test]
fn foreign_load_lowers_concurrency_after_two_reports() {
    let mut home = home(8);
    let permits: Vec<_> = (0..4)
        .map(|_| granted(&mut home, at(1), request("a")))
        .collect();
    let report = LoadReport {
        running: 7,
        slots: 8,
        age_ms: 300,
        ..LoadReport::default()
    };
    home.record_load_report(at(1_000), &report);
    assert_eq!(home.summary(at(1_000)).concurrency, 8);
    home.record_load_report(at(1_200), &report);
    assert_eq!(home.summary(at(1_200)).concurrency, 5);
    // The home's own calls that were running at the time of the report, and have ended since, are not foreign.
    for permit in permits {
        home.release(at(1_300), &answered(permit, ms(1_300)));
    }
    let ours = LoadReport {
        running: 4,
        ..report.clone()
    };
    home.record_load_report(at(1_400), &ours);
    assert_eq!(home.summary(at(1_400)).concurrency, 8);
    // A reported number of slots below the configured one applies immediately.
    home.record_load_report(
        at(1_500),
        &LoadReport {
            slots: 3,
            running: 0,
            ..report
        },
    );
    assert_eq!(home.summary(at(1_500)).concurrency, 3);
}

#[test]
fn saturation_lowers_the_concurrency_and_recovery_raises_it() {
    let mut home = home(16);
    let mut now = run_calls(&mut home, at(1), 40, Outcome::Answered, ms(20));
    assert_eq!(home.summary(now).concurrency, 16);
    // With more than 4 concurrent calls, each takes ten times as long.
    let mut lowest = 16;
    for _ in 0..40 {
        let batch: Vec<_> = (0..home.summary(now).concurrency)
            .map(|_| granted(&mut home, now, request("a")))
            .collect();
        let took = if batch.len() > 4 { ms(200) } else { ms(20) };
        now = now.after(took);
        for permit in batch {
            home.release(now, &answered(permit, took));
        }
        lowest = lowest.min(home.summary(now).concurrency);
    }
    assert!(lowest <= 6, "still {lowest} concurrent calls");
    for _ in 0..40 {
        let batch: Vec<_> = (0..home.summary(now).concurrency)
            .map(|_| granted(&mut home, now, request("a")))
            .collect();
        now = now.after(ms(20));
        for permit in batch {
            home.release(now, &answered(permit, ms(20)));
        }
    }
    assert_eq!(home.summary(now).concurrency, 16);
}

#[test]
fn request_is_redirected_if_it_would_start_clearly_later_here() {
    let mut home = home(1);
    let now = run_calls(&mut home, at(1), 8, Outcome::Answered, MEDIAN);
    granted(&mut home, now, request("a"));
    // Slack, shortest wait elsewhere, whether the request is redirected.
    let table = [
        (50, None, true),
        (1_000, None, false),
        (1_000, Some(90), false),
        (1_000, Some(10), true),
    ];
    for (slack, elsewhere, redirected) in table {
        home.set_shortest_wait_elsewhere(now, elsewhere.map(ms));
        let mut new = request("a");
        new.slack = ms(slack);
        new.may_redirect = true;
        let verdict = home.request_permit(now, new);
        if let PermitDecision::Queued(key) = verdict {
            assert!(home.cancel(now, key));
        }
        let was_redirected = matches!(verdict, PermitDecision::Redirect { wait } if wait >= MEDIAN);
        assert_eq!(
            was_redirected, redirected,
            "slack {slack}, elsewhere {elsewhere:?}: {verdict:?}"
        );
    }
}

/// Guards against a healthy upstream that is ejected, or whose concurrency is lowered, because it caches the prefixes
/// of a workspace whose calls take ten times as long as usual. This happens if service times are compared with the
/// service's median alone, and not with the time expected for each call.
#[test]
fn long_calls_expected_to_be_long_are_not_outliers() {
    for outcome in [Outcome::Answered, Outcome::Cancelled] {
        let mut home = home_with_median(8, true);
        let mut now = at(1);
        for call in 0..100 {
            let long = call >= 20;
            let mut new = request(if long { "long" } else { "short" });
            new.estimate.busy_ms = if long { 1_000.0 } else { 100.0 };
            let took = ms(if long { 1_000 } else { 100 });
            let permit = granted(&mut home, now, new);
            now = now.after(took);
            home.release(now, &release(permit, outcome, took));
        }
        let summary = home.summary(now);
        assert!(!summary.ejected, "{outcome:?}");
        assert_eq!(summary.concurrency, 8, "{outcome:?}");
    }
}

/// Guards against bad requests of one workspace making the service unavailable to all others. If failures are counted
/// per call, the upstream looks as if it failed. Here, all calls of one workspace fail, ten times as many as those of
/// the other, which are answered.
#[test]
fn failures_of_one_workspace_do_not_eject_the_upstream() {
    let mut home = home_with_median(8, true);
    let mut now = at(1);
    for call in 0..300 {
        let bad = call % 11 != 0;
        let permit = granted(&mut home, now, request(if bad { "bad" } else { "good" }));
        now = now.after(ms(10));
        let outcome = if bad {
            Outcome::Failed
        } else {
            Outcome::Answered
        };
        home.release(now, &release(permit, outcome, ms(10)));
        let summary = home.summary(now);
        assert!(!summary.ejected, "after {call} calls");
        assert_eq!(summary.concurrency, 8, "after {call} calls");
    }
    // If the other workspace's calls fail too, the upstream is at fault.
    for call in 0..8 {
        let new = request(if call % 2 == 0 { "bad" } else { "good" });
        if let PermitDecision::Granted { permit, .. } = home.request_permit(now, new) {
            home.release(now, &release(permit, Outcome::Failed, ms(10)));
        }
    }
    assert!(home.summary(now).ejected);
}

/// Guards against an upstream that refuses a call because it is full, although its home granted the permit.
///
/// Probes of an ejected upstream were started regardless of the calls in flight. An upstream with one slot fails and
/// is ejected, and an adopted permit of an earlier home fills the slot. Then a probe is due while a request arrives
/// or waits.
#[test]
fn probe_waits_for_a_free_slot() {
    let mut home = home_with_median(1, true);
    let now = run_calls(&mut home, at(1), 20, Outcome::Died, ms(10));
    assert!(home.summary(now).ejected);
    let adopted = HeldPermit {
        permit: PermitId(900),
        entry: "entry-2".into(),
        workspace: "b".into(),
        expires_in: ms(60_000),
        estimate: busy(100.0),
        fingerprint: Fingerprint(2),
    };
    home.adopt(now, adopted);

    let probe_due = now.after(ms(20_000));
    let mut patient = request("a");
    patient.slack = ms(5_000);
    let PermitDecision::Queued(waiting) = home.request_permit(probe_due, patient) else {
        panic!("granted above the slots");
    };
    assert_eq!(home.poll(probe_due), []);
    let wake = home.next_wake().expect("the request's slack ends");
    assert!(wake > probe_due, "nothing to do before the slot is free");

    let freed = probe_due.after(ms(100));
    home.release(freed, &answered(PermitId(900), MEDIAN));
    let events = home.poll(freed);
    assert!(
        matches!(events[..], [HomeEvent::Granted { request, .. }] if request == waiting),
        "{events:?}"
    );
}
