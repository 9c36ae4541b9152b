//! The JSON keys of a run and the page made of runs.

mod common;

use common::{call, right};
use tc_bench::{CallRecord, Claim, Evidence, RunReport, judge, page};

/// Keys by which runs compare; another tool may read them.
const KEYS: [&str; 18] = [
    "scenario",
    "policy",
    "seed",
    "attainment",
    "by_workspace",
    "cost_by_stage",
    "doubled",
    "lost",
    "mixed",
    "false_not_run",
    "goodput_ratio",
    "wasted_ratio",
    "extra_calls_ratio",
    "added_latency_p50_ms",
    "first_token_p95_ms",
    "between_tokens_p95_ms",
    "recovery_ms",
    "control",
];

fn run(policy: &str) -> RunReport {
    let records: Vec<CallRecord> = (0..40)
        .map(|at| CallRecord {
            request_id: Some(format!("r-{at}")),
            first_token_ms: Some(3.0),
            between_tokens_ms: vec![1.0, 2.0],
            ..right("small-a", f64::from(at) * 100.0, 20.0)
        })
        .collect();
    let calls: Vec<_> = (0..40)
        .map(|at| call(&format!("r-{at}"), "encode", 4.0))
        .collect();
    let verdict = judge(&records, &Evidence::default());
    RunReport {
        scenario: "steady".to_owned(),
        policy: policy.to_owned(),
        ..RunReport::of(&records, &calls, verdict, "")
    }
}

#[test]
fn json_has_the_same_keys_in_every_run() {
    let full = serde_json::to_value(run("home")).unwrap();
    let empty = serde_json::to_value(RunReport::default()).unwrap();
    for key in KEYS {
        assert!(full.get(key).is_some() && empty.get(key).is_some(), "{key}");
    }
    let workspace = &full["by_workspace"]["small-a"];
    for key in ["attainment", "p50_ms", "p99_ms", "bursting"] {
        assert!(workspace.get(key).is_some(), "{key}");
    }
    let stage = &full["cost_by_stage"]["encode"];
    for key in ["calls", "tokens", "ms", "wasted_ms"] {
        assert!(stage.get(key).is_some(), "{key}");
    }
    for key in [
        "bytes_per_s",
        "cpu_percent",
        "rss_mb",
        "platform_calls_per_s",
    ] {
        assert!(full["control"].get(key).is_some(), "{key}");
    }
    let back: RunReport = serde_json::from_value(full).unwrap();
    assert_eq!(back, run("home"));
}

#[test]
fn one_failed_claim_fails_the_run() {
    let claim = |pass| Claim {
        text: "a".to_owned(),
        measured: "1".to_owned(),
        pass,
    };
    for (claims, passed) in [
        (vec![], true),
        (vec![claim(true)], true),
        (vec![claim(true), claim(false)], false),
    ] {
        let report = RunReport {
            claims,
            ..RunReport::default()
        };
        assert_eq!(report.passed(), passed);
    }
}

#[test]
fn page_shows_both_policies_and_escapes_names() {
    let mut home = run("home");
    home.claims = vec![Claim {
        text: "1 < 2 & <b>".to_owned(),
        measured: "no".to_owned(),
        pass: false,
    }];
    let html = page(&[home, run("baseline")]).unwrap();
    for part in [
        "<h2>steady</h2>",
        "home policy",
        "baseline policy",
        "attainment over time",
        "latency of whole answers",
        "1 &lt; 2 &amp; &lt;b&gt;",
        "class=\"fail\"",
    ] {
        assert!(html.contains(part), "{part}");
    }
    assert_eq!(html.matches("<svg").count(), 3);
    assert!(!html.contains("<script") && !html.contains("src="));
}
