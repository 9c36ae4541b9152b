//! `docs/PROOFS.md` names only tests and scenarios that exist, and says of each promise what is not proved.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Promises and failures of the users' brief.
const ROWS: usize = 17;

struct Row {
    what: String,
    tests: Vec<String>,
    scenarios: Vec<String>,
    not_proved: String,
}

#[test]
fn every_promise_and_failure_has_its_checks() {
    let rows = rows();
    assert_eq!(rows.len(), ROWS);
    for row in &rows {
        assert!(!row.tests.is_empty(), "no test: {}", row.what);
        assert!(!row.scenarios.is_empty(), "no scenario: {}", row.what);
        assert!(
            !row.not_proved.is_empty(),
            "not said what is open: {}",
            row.what
        );
    }
}

// Symptom: a promise looks proved by a test that nobody runs.
// Sequence: a test or scenario is renamed, or goes; the page keeps its name.
// Cause: a page that nothing compares with the code.
#[test]
fn every_named_check_exists() {
    let scenarios = scenarios();
    for row in rows() {
        for test in &row.tests {
            assert!(is_test(test), "{test} does not exist: {}", row.what);
        }
        for name in &row.scenarios {
            assert!(scenarios.contains(name), "no scenario {name}: {}", row.what);
        }
    }
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// The rows of the page's tables, without their heads.
fn rows() -> Vec<Row> {
    let page = read(&root().join("docs/PROOFS.md"));
    let lines = page.lines().filter(|line| line.starts_with("| "));
    lines
        .filter(|line| !line.ends_with("| not proved |"))
        .map(|line| {
            let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
            let [what, tests, scenarios, not_proved] = cells[..] else {
                panic!("not four cells: {line}");
            };
            Row {
                what: what.to_owned(),
                tests: quoted(tests),
                scenarios: quoted(scenarios),
                not_proved: not_proved.to_owned(),
            }
        })
        .collect()
}

/// The words of a cell, each in backticks; anything else in it is a mistake.
fn quoted(cell: &str) -> Vec<String> {
    cell.split_whitespace()
        .map(|word| {
            let name = word.strip_prefix('`').and_then(|w| w.strip_suffix('`'));
            name.unwrap_or_else(|| panic!("not in backticks: {word}"))
                .to_owned()
        })
        .collect()
}

/// Whether `crate/tests/file.rs::name` is a function that the test harness runs.
fn is_test(test: &str) -> bool {
    let Some((path, name)) = test.split_once("::") else {
        return false;
    };
    let path = root().join("crates").join(path);
    if !path.is_file() {
        return false;
    }
    let code = read(&path);
    let signature = format!("fn {name}()");
    let Some(at) = code.find(&signature) else {
        return false;
    };
    // The last line is what stands before `fn` on its own line.
    let attributes: Vec<&str> = code[..at]
        .lines()
        .rev()
        .skip(usize::from(!code[..at].ends_with('\n')))
        .take_while(|line| line.starts_with("#["))
        .collect();
    let runs = |line: &&str| line.starts_with("#[test]") || line.starts_with("#[tokio::test");
    let ignored = |line: &&str| line.contains("ignore");
    attributes.iter().any(runs) && !attributes.iter().any(ignored)
}

/// Names of the scenarios that `tc-bench` lists.
fn scenarios() -> BTreeSet<String> {
    let folder = root().join("crates/tc-bench/src/scenario");
    let list = read(&folder.join("mod.rs"));
    let modules = list
        .lines()
        .filter_map(|line| line.trim().strip_suffix("::SCENARIO,"));
    modules
        .map(|module| {
            let file: PathBuf = folder.join(format!("{module}.rs"));
            let text = read(&file);
            let name = text
                .lines()
                .find_map(|line| line.trim().strip_prefix("name: \""));
            let name = name.and_then(|rest| rest.strip_suffix("\","));
            name.unwrap_or_else(|| panic!("{}: no name", file.display()))
                .to_owned()
        })
        .collect()
}
