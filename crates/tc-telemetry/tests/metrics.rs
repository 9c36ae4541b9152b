//! Tests that metrics are rendered and described, that the table, the code and the operator pages agree, and that the
//! number of series is bounded.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::{Path, PathBuf},
};

use tc_telemetry::{LabelBound, METRICS, Metric, MetricKind, init_metrics};

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
        "a second recorder would lose the values of the first one"
    );
}

#[test]
fn the_table_is_sorted_and_has_no_duplicates() {
    assert!(METRICS.is_sorted_by(|a, b| a.name < b.name));
}

/// Kind and labels of a metric.
type Signature = (MetricKind, BTreeSet<String>);

#[test]
fn the_table_and_the_code_have_the_same_metrics_with_the_same_labels() {
    let in_code = metrics_in_code();
    let in_table: BTreeMap<String, BTreeSet<Signature>> = METRICS
        .iter()
        .map(|m| (m.name.to_owned(), BTreeSet::from([signature(m)])))
        .collect();
    for (name, signatures) in &in_code {
        assert_eq!(in_table.get(name), Some(signatures), "{name} in the table");
    }
    for name in in_table.keys() {
        assert!(in_code.contains_key(name), "no code reports {name}");
    }
}

fn signature(metric: &Metric) -> Signature {
    let labels = metric.labels.iter().map(|label| label.name.to_owned());
    (metric.kind, labels.collect())
}

/// Guards against series that take more than a small part of an instance's memory, in the largest fleet that users
/// described.
#[test]
fn series_stay_bounded_at_the_largest_configuration() {
    const WORKSPACES: u64 = 610;
    const SERVICES: u64 = 40;
    const STAGES: u64 = 60;
    const MAX_SERIES: u64 = 20_000;
    let max_values = |bound| match bound {
        LabelBound::FixedSet(count) => u64::from(count),
        LabelBound::Services => SERVICES,
        LabelBound::Stages => STAGES,
        LabelBound::Workspaces => WORKSPACES,
    };
    let series_of_metric = |m: &Metric| {
        m.labels
            .iter()
            .map(|l| max_values(l.bound))
            .product::<u64>()
    };
    let series: u64 = METRICS.iter().map(series_of_metric).sum();
    assert!(series < MAX_SERIES, "{series} series");
    for metric in METRICS {
        let by_workspace = metric
            .labels
            .iter()
            .any(|l| l.bound == LabelBound::Workspaces);
        let is_histogram = metric.kind == MetricKind::Histogram;
        assert!(
            !(by_workspace && is_histogram),
            "{} would have a histogram for each workspace",
            metric.name
        );
    }
}

#[test]
fn the_page_lists_exactly_the_table() {
    let page = page("metrics.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `tc_"))
        .collect();
    let expected: Vec<String> = METRICS.iter().map(row).collect();
    assert_eq!(
        rows,
        expected,
        "docs/operators/metrics.md must have these rows:\n{}",
        expected.join("\n")
    );
}

/// Formats the row of a metric on the page.
fn row(metric: &Metric) -> String {
    let kind = format!("{:?}", metric.kind).to_lowercase();
    let unit = format!("{:?}", metric.unit).to_lowercase();
    let labels: Vec<String> = metric
        .labels
        .iter()
        .map(|l| format!("`{}`", l.name))
        .collect();
    let name = metric.name;
    format!(
        "| `{name}` | {kind} | {unit} | {} | {} |",
        labels.join(", "),
        metric.summary
    )
}

#[test]
fn alerts_use_metrics_and_labels_that_exist() {
    let page = page("alerts.md");
    let mut expressions = 0;
    for block in page.split("```promql\n").skip(1) {
        let expression = block.split("```").next().unwrap();
        let found = referenced_metrics(expression);
        assert!(!found.is_empty(), "no metric in {expression}");
        for (name, labels) in found {
            let base = ["_bucket", "_sum", "_count"]
                .iter()
                .find_map(|end| name.strip_suffix(end));
            let metric = METRICS.iter().find(|m| {
                m.name == name || (m.kind == MetricKind::Histogram && base == Some(m.name))
            });
            let metric = metric.unwrap_or_else(|| panic!("no metric {name} for {expression}"));
            for label in labels {
                assert!(
                    metric.labels.iter().any(|l| l.name == label),
                    "{name} has no label {label}"
                );
            }
        }
        expressions += 1;
    }
    assert!(expressions >= 10, "{expressions} expressions");
}

/// Returns the metrics that an expression reads, each with the labels in its selector.
fn referenced_metrics(expression: &str) -> Vec<(String, Vec<String>)> {
    let is_name = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let mut found = Vec::new();
    for (at, _) in expression.match_indices("tc_") {
        if expression[..at].ends_with(is_name) {
            continue;
        }
        let rest = &expression[at..];
        let end = rest.find(|c| !is_name(c)).unwrap_or(rest.len());
        let selector = rest[end..]
            .strip_prefix('{')
            .and_then(|rest| rest.split('}').next());
        let pairs = selector
            .unwrap_or_default()
            .split(',')
            .filter(|pair| !pair.is_empty());
        let labels = pairs.map(|pair| pair.split(['=', '!']).next().unwrap().trim().to_owned());
        found.push((rest[..end].to_owned(), labels.collect()));
    }
    found
}

fn page(name: &str) -> String {
    fs::read_to_string(workspace().join("docs/operators").join(name)).unwrap()
}

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the metrics that macros report in the sources of the binary and the crates.
fn metrics_in_code() -> BTreeMap<String, BTreeSet<Signature>> {
    let mut found = BTreeMap::new();
    read_sources(&workspace().join("src"), &mut found);
    for entry in fs::read_dir(workspace().join("crates")).unwrap() {
        read_sources(&entry.unwrap().path().join("src"), &mut found);
    }
    assert!(found.len() > 10, "{found:?}");
    found
}

fn read_sources(path: &Path, found: &mut BTreeMap<String, BTreeSet<Signature>>) {
    if path.is_dir() {
        for entry in fs::read_dir(path).unwrap() {
            read_sources(&entry.unwrap().path(), found);
        }
    } else if path.extension().is_some_and(|e| e == "rs") {
        let text = fs::read_to_string(path).unwrap();
        let macros = [
            ("counter!(", MetricKind::Counter),
            ("gauge!(", MetricKind::Gauge),
            ("histogram!(", MetricKind::Histogram),
        ];
        for (call, kind) in macros {
            for (at, _) in text.match_indices(call) {
                // describe_counter! and the other describe macros report no value.
                if !text[..at].ends_with('_') {
                    let (name, labels) = parse_arguments(&text[at + call.len()..]);
                    let name = name.unwrap_or_else(|| {
                        panic!("a metric without a literal name in {}", path.display())
                    });
                    found.entry(name).or_default().insert((kind, labels));
                }
            }
        }
    }
}

/// Returns the name and labels in a macro's arguments: the leading literal, and the literals before each arrow.
fn parse_arguments(text: &str) -> (Option<String>, BTreeSet<String>) {
    let mut depth = 1;
    let end = text.find(|c| {
        depth += match c {
            '(' => 1,
            ')' => -1,
            _ => 0,
        };
        depth == 0
    });
    let inside = text[..end.unwrap_or(text.len())].trim_start();
    let name = inside
        .strip_prefix('"')
        .and_then(|rest| rest.split('"').next());
    let before_arrows = inside.split("=>").collect::<Vec<_>>();
    let labels = before_arrows[..before_arrows.len() - 1]
        .iter()
        .filter_map(|part| part.trim_end().strip_suffix('"')?.rsplit('"').next());
    (name.map(str::to_owned), labels.map(str::to_owned).collect())
}
