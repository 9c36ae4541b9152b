//! The page on what callers may be told, against the problems that there are.

use std::{collections::BTreeMap, iter};

use tc_protocol::ProblemKind;

use crate::examples::page;

/// The kind after this one. It names every kind, so that a new one does not compile before it is here and, by the
/// test, on the page.
const fn next(kind: ProblemKind) -> Option<ProblemKind> {
    use ProblemKind as K;
    Some(match kind {
        K::BadRequest => K::Unauthorized,
        K::Unauthorized => K::Forbidden,
        K::Forbidden => K::NotFound,
        K::NotFound => K::MethodNotAllowed,
        K::MethodNotAllowed => K::TooLarge,
        K::TooLarge => K::HeadersTooLarge,
        K::HeadersTooLarge => K::KeyRequired,
        K::KeyRequired => K::KeyReused,
        K::KeyReused => K::OverLimit,
        K::OverLimit => K::CannotFinish,
        K::CannotFinish => K::Overloaded,
        K::Overloaded => K::DeadlineExceeded,
        K::DeadlineExceeded => K::UpstreamFailed,
        K::UpstreamFailed => K::Quarantined,
        K::Quarantined => K::OutcomeUnknown,
        K::OutcomeUnknown => K::StoreUnavailable,
        K::StoreUnavailable => K::NotReady,
        K::NotReady => K::Internal,
        K::Internal => return None,
    })
}

#[test]
fn the_page_has_every_problem_with_its_status() {
    let kinds = iter::successors(Some(ProblemKind::BadRequest), |kind| next(*kind));
    let expected: BTreeMap<String, String> = kinds
        .map(|kind| (format!("`{}`", kind.as_str()), kind.status().to_string()))
        .collect();
    let page = page("callers.md");
    let table = page.lines().skip_while(|line| !line.starts_with("| kind "));
    let rows = table.skip(2).take_while(|line| line.starts_with('|'));
    let listed: Vec<Vec<&str>> = rows
        .map(|row| row.split('|').map(str::trim).collect())
        .collect();
    let found: BTreeMap<String, String> = listed
        .iter()
        .map(|cells| (cells[1].to_owned(), cells[2].to_owned()))
        .collect();
    assert_eq!(found, expected);
    assert_eq!(listed.len(), expected.len(), "a kind stands there twice");
    for cells in &listed {
        assert!(
            ["`not_run`", "any", "`unknown`, `ran`"].contains(&cells[3]),
            "{cells:?}"
        );
        assert!(cells[5].len() > 10, "{cells:?} says nothing to do");
    }
}
