//! Checks that `docs/PROOFS.md` names only existing tests and scenarios, and that every row states what is not proved.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

/// Number of guarantees and failures listed in the users' brief, one row each.
const EXPECTED_ROWS: usize = 17;

/// Heading of the section on refusals of routed requests.
const REFUSALS: &str = "## Refusals of routed requests";

/// Number of rows in that section.
const EXPECTED_REFUSALS: usize = 20;

/// Heading of the section on later lines of the platform's pages.
const LATER_LINES: &str = "## Later lines of the platform's pages";

/// Number of rows in that section.
const EXPECTED_LATER_LINES: usize = 7;

struct Row {
    subject: String,
    tests: Vec<String>,
    scenarios: Vec<String>,
    not_proved: String,
}

#[test]
fn every_row_names_tests_scenarios_and_what_is_not_proved() {
    let rows = parse_rows();
    assert_eq!(rows.len(), EXPECTED_ROWS);
    for row in &rows {
        assert!(!row.tests.is_empty(), "row names no test: {}", row.subject);
        assert!(
            !row.scenarios.is_empty(),
            "row names no scenario: {}",
            row.subject
        );
        assert!(
            !row.not_proved.is_empty(),
            "row does not state what is not proved: {}",
            row.subject
        );
    }
}

// Guards against a guarantee that appears covered by a test that no longer runs. This happens when a test or scenario is
// renamed or removed and the page, which nothing else compares with the code, keeps the old name.
#[test]
fn every_named_test_and_scenario_exists() {
    let scenarios = scenario_names();
    for row in parse_rows() {
        for test in &row.tests {
            assert!(
                is_active_test(test),
                "test {test} does not exist or is ignored, named by row: {}",
                row.subject
            );
        }
        for name in &row.scenarios {
            assert!(
                scenarios.contains(name),
                "scenario {name} does not exist, named by row: {}",
                row.subject
            );
        }
    }
}

fn workspace_root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

/// Returns the page up to the section on refusals.
fn promises() -> String {
    let page = read(&workspace_root().join("docs/PROOFS.md"));
    let sections = page.split_once(REFUSALS);
    let (promises, _) = sections.expect("the page has a section on refusals");
    promises.to_owned()
}

/// Returns the cells of the table rows of a section, without its header row.
fn section_rows(heading: &str) -> Vec<Vec<String>> {
    let page = read(&workspace_root().join("docs/PROOFS.md"));
    let (_, rest) = page.split_once(heading).expect("the page has the section");
    let section = rest.split("\n## ").next().unwrap_or_default();
    let rows = section.lines().filter(|line| line.starts_with("| "));
    let cells = |row: &str| {
        let row = row.strip_prefix('|')?.strip_suffix('|')?;
        Some(row.split('|').map(|cell| cell.trim().to_owned()).collect())
    };
    rows.skip(1)
        .map(|row| cells(row).unwrap_or_else(|| panic!("not a table row: {row}")))
        .collect()
}

// Guards against a refusal that appears covered by a test that no longer runs.
#[test]
fn every_refusal_names_existing_tests() {
    let rows = section_rows(REFUSALS);
    assert_eq!(rows.len(), EXPECTED_REFUSALS);
    for row in rows {
        let [_, _, _, tests] = &row[..] else {
            panic!("table row does not have four cells: {row:?}");
        };
        assert_tests_exist(tests, "platform/tests/gateway/");
    }
}

// Guards against a line of the platform's pages that appears covered by a test that no longer runs.
#[test]
fn every_later_line_names_existing_tests() {
    let rows = section_rows(LATER_LINES);
    assert_eq!(rows.len(), EXPECTED_LATER_LINES);
    for row in rows {
        let [_, tests, _] = &row[..] else {
            panic!("table row does not have three cells: {row:?}");
        };
        assert_tests_exist(tests, "");
    }
}

/// Panics if a cell names no test, or one that does not exist or is ignored. `folder` precedes each name.
fn assert_tests_exist(cell: &str, folder: &str) {
    let tests = backticked_names(cell);
    assert!(!tests.is_empty(), "cell names no test");
    for test in tests {
        let path = format!("{folder}{test}");
        assert!(
            is_active_test(&path),
            "test {path} does not exist or is ignored"
        );
    }
}

/// Parses the rows of the page's tables, without the header rows.
fn parse_rows() -> Vec<Row> {
    let promises = promises();
    let lines = promises.lines().filter(|line| line.starts_with("| "));
    lines
        .filter(|line| !line.ends_with("| not proved |"))
        .map(|line| {
            let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
            let [subject, tests, scenarios, not_proved] = cells[..] else {
                panic!("table row does not have four cells: {line}");
            };
            Row {
                subject: subject.to_owned(),
                tests: backticked_names(tests),
                scenarios: backticked_names(scenarios),
                not_proved: not_proved.to_owned(),
            }
        })
        .collect()
}

/// Splits a cell into its backticked names. Panics on a word that is not in backticks.
fn backticked_names(cell: &str) -> Vec<String> {
    cell.split_whitespace()
        .map(|word| {
            let name = word.strip_prefix('`').and_then(|w| w.strip_suffix('`'));
            name.unwrap_or_else(|| panic!("word is not in backticks: {word}"))
                .to_owned()
        })
        .collect()
}

/// Returns whether `crate/tests/file.rs::name` is a test function that is not ignored. The crate is one in `crates`, or
/// `platform`.
fn is_active_test(test: &str) -> bool {
    let Some((path, name)) = test.split_once("::") else {
        return false;
    };
    let root = workspace_root();
    let mut paths = [root.join("crates").join(path), root.join(path)].into_iter();
    let Some(path) = paths.find(|path| path.is_file()) else {
        return false;
    };
    let code = read(&path);
    let signature = format!("fn {name}()");
    let Some(position) = code.find(&signature) else {
        return false;
    };
    // Skips the text before `fn` on the line of the signature, such as `async`.
    let attributes: Vec<&str> = code[..position]
        .lines()
        .rev()
        .skip(usize::from(!code[..position].ends_with('\n')))
        .take_while(|line| line.starts_with("#["))
        .collect();
    let marks_test = |line: &&str| line.starts_with("#[test]") || line.starts_with("#[tokio::test");
    let marks_ignored = |line: &&str| line.contains("ignore");
    attributes.iter().any(marks_test) && !attributes.iter().any(marks_ignored)
}

/// Returns the names of the scenarios registered in `tc-bench`.
fn scenario_names() -> BTreeSet<String> {
    let scenario_dir = workspace_root().join("crates/tc-bench/src/scenario");
    let list = read(&scenario_dir.join("mod.rs"));
    let modules = list
        .lines()
        .filter_map(|line| line.trim().strip_suffix("::SCENARIO,"));
    modules
        .map(|module| {
            let file: PathBuf = scenario_dir.join(format!("{module}.rs"));
            let text = read(&file);
            let name = text
                .lines()
                .find_map(|line| line.trim().strip_prefix("name: \""));
            let name = name.and_then(|rest| rest.strip_suffix("\","));
            name.unwrap_or_else(|| panic!("{}: scenario name not found", file.display()))
                .to_owned()
        })
        .collect()
}
