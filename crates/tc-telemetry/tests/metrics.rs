//! Metrics: rendered, described, and none forgotten in the table.

use std::{collections::BTreeSet, fs, path::Path};

use tc_telemetry::{METRICS, init_metrics};

#[test]
fn metrics_are_rendered_with_their_description() {
    let handle = init_metrics().unwrap();
    metrics::counter!("tc_retries_total", "service" => "rerank").increment(2);
    metrics::histogram!("tc_stage_ms", "stage" => "encode").record(3.0);
    let text = handle.render();
    for part in [
        "# HELP tc_retries_total Calls repeated after a failure, by service.",
        "tc_retries_total{service=\"rerank\"} 2",
        "tc_stage_ms_bucket{stage=\"encode\",le=\"2\"} 0",
        "tc_stage_ms_bucket{stage=\"encode\",le=\"5\"} 1",
        "tc_stage_ms_count{stage=\"encode\"} 1",
    ] {
        assert!(text.contains(part), "{part:?} is missing in:\n{text}");
    }
    assert!(
        init_metrics().is_err(),
        "a second recorder would lose what the first one has"
    );
}

#[test]
fn the_table_is_sorted_and_has_no_doubles() {
    assert!(METRICS.is_sorted_by(|a, b| a.name < b.name));
}

#[test]
fn every_metric_in_the_code_is_in_the_table() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let mut used = BTreeSet::new();
    for entry in fs::read_dir(crates).unwrap() {
        collect(&entry.unwrap().path().join("src"), &mut used);
    }
    let known: BTreeSet<String> = METRICS.iter().map(|m| m.name.to_owned()).collect();
    let missing: Vec<_> = used.difference(&known).collect();
    assert!(
        used.len() > 10 && missing.is_empty(),
        "not in METRICS: {missing:?}"
    );
}

fn collect(path: &Path, used: &mut BTreeSet<String>) {
    if path.is_dir() {
        for entry in fs::read_dir(path).unwrap() {
            collect(&entry.unwrap().path(), used);
        }
    } else if path.extension().is_some_and(|e| e == "rs") {
        let text = fs::read_to_string(path).unwrap();
        for kind in ["counter!(", "gauge!(", "histogram!("] {
            for rest in text.split(kind).skip(1) {
                let name = rest
                    .trim_start()
                    .strip_prefix('"')
                    .and_then(|rest| rest.split('"').next());
                used.extend(
                    name.filter(|name| name.starts_with("tc_"))
                        .map(str::to_owned),
                );
            }
        }
    }
}
