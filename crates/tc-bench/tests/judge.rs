//! The judge on made-up records: each broken promise is found, and nothing else.

mod common;

use common::{call, record, right};
use tc_bench::{CallRecord, Ended, Evidence, SeenCall, Told, Verdict, judge};
use tc_protocol::RunState;

fn failed(run_state: Option<RunState>) -> Told {
    Told::Failed {
        status: 503,
        run_state,
        why: "overloaded".to_owned(),
    }
}

fn told(told: Told) -> CallRecord {
    record("small-a", 0.0, 10.0, told)
}

fn stream(ids: &[u64]) -> CallRecord {
    CallRecord {
        event_ids: ids.to_vec(),
        ..right("small-a", 0.0, 10.0)
    }
}

fn with_request(record: CallRecord, id: &str) -> CallRecord {
    CallRecord {
        request_id: Some(id.to_owned()),
        ..record
    }
}

fn with_key(record: CallRecord, key: &str) -> CallRecord {
    CallRecord {
        key: Some(key.to_owned()),
        ..record
    }
}

fn once_call(key: &str, service: &str, ran: bool) -> SeenCall {
    SeenCall {
        service: service.to_owned(),
        key: Some(key.to_owned()),
        ran,
        ..call("r-1", "", 5.0)
    }
}

/// Judges with `billing` non-idempotent and `kl-2-i2` disturbed; counts as (doubled, lost, mixed, false not run).
fn counts(records: &[CallRecord], calls: Vec<SeenCall>) -> (u64, u64, u64, u64) {
    let evidence = Evidence {
        calls,
        once_services: ["billing".to_owned()].into(),
        disturbed: ["kl-2-i2".into()].into(),
    };
    let verdict: Verdict = judge(records, &evidence);
    let counts = (
        verdict.doubled,
        verdict.lost,
        verdict.mixed,
        verdict.false_not_run,
    );
    assert_eq!(verdict.is_clean(), counts == (0, 0, 0, 0));
    assert_eq!(verdict.notes.is_empty(), verdict.is_clean());
    counts
}

#[test]
fn answers_and_failures() {
    let disturbed = |t: Told| CallRecord {
        instance: Some("kl-2-i2".into()),
        ..told(t)
    };
    let cases = [
        ("right answer", right("small-a", 0.0, 10.0), (0, 0, 0, 0)),
        (
            "answer of another input",
            told(Told::Answered { right: false }),
            (0, 0, 1, 0),
        ),
        ("no answer", told(Told::Silent), (0, 1, 0, 0)),
        ("broken connection", told(Told::Broken), (0, 1, 0, 0)),
        (
            "broken connection of a killed instance",
            disturbed(Told::Broken),
            (0, 0, 0, 0),
        ),
        (
            "no answer of a paused instance",
            disturbed(Told::Silent),
            (0, 0, 0, 0),
        ),
        (
            "wrong answer of a killed instance",
            disturbed(Told::Answered { right: false }),
            (0, 0, 1, 0),
        ),
        (
            "truthful failure",
            told(failed(Some(RunState::Unknown))),
            (0, 0, 0, 0),
        ),
        (
            "failure without run state",
            told(failed(None)),
            (0, 1, 0, 0),
        ),
        ("never sent", told(Told::NotSent), (0, 0, 0, 0)),
    ];
    for (name, record, expected) in cases {
        assert_eq!(counts(&[record], Vec::new()), expected, "{name}");
    }
}

#[test]
fn streams() {
    let cases: [(&[u64], _); 6] = [
        (&[], (0, 0, 0, 0)),
        (&[1, 2, 3], (0, 0, 0, 0)),
        (&[1, 3], (0, 1, 0, 0)),
        (&[2, 3], (0, 1, 0, 0)),
        (&[1, 2, 2, 3], (0, 0, 1, 0)),
        (&[1, 2, 1], (0, 0, 1, 0)),
    ];
    for (ids, expected) in cases {
        assert_eq!(counts(&[stream(ids)], Vec::new()), expected, "{ids:?}");
    }
}

#[test]
fn not_run() {
    let refused = || told(failed(Some(RunState::NotRun)));
    let arrived_only = SeenCall {
        ran: false,
        ended: Ended::Otherwise,
        ..call("r-1", "encode", 0.0)
    };
    let cases = [
        (
            "never seen",
            with_request(refused(), "r-2"),
            vec![call("r-1", "encode", 5.0)],
            0,
        ),
        (
            "ran",
            with_request(refused(), "r-1"),
            vec![call("r-1", "encode", 5.0)],
            1,
        ),
        (
            "arrived without running",
            with_request(refused(), "r-1"),
            vec![arrived_only],
            1,
        ),
        (
            "ran under another request id",
            with_key(with_request(refused(), "r-2"), "k"),
            vec![once_call("k", "billing", true)],
            1,
        ),
        (
            "told unknown",
            with_request(told(failed(Some(RunState::Unknown))), "r-1"),
            vec![call("r-1", "encode", 5.0)],
            0,
        ),
    ];
    for (name, record, calls, expected) in cases {
        assert_eq!(counts(&[record], calls), (0, 0, 0, expected), "{name}");
    }
}

#[test]
fn doubled_keys() {
    let cases = [
        ("one run", vec![once_call("k", "billing", true)], 0),
        (
            "two runs",
            vec![
                once_call("k", "billing", true),
                once_call("k", "billing", true),
            ],
            1,
        ),
        (
            "three runs are one doubled key",
            vec![once_call("k", "billing", true); 3],
            1,
        ),
        (
            "refused before it ran, then ran",
            vec![
                once_call("k", "billing", false),
                once_call("k", "billing", true),
            ],
            0,
        ),
        (
            "two keys",
            vec![
                once_call("k", "billing", true),
                once_call("l", "billing", true),
            ],
            0,
        ),
        (
            "an idempotent service may repeat",
            vec![
                once_call("k", "lookup", true),
                once_call("k", "lookup", true),
            ],
            0,
        ),
    ];
    for (name, calls, expected) in cases {
        assert_eq!(counts(&[], calls), (expected, 0, 0, 0), "{name}");
    }
}
