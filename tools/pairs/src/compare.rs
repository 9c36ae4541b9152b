//! Means of differences and their standard errors.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::play::Pair;

/// How one figure changed over some pairs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Name of the figure.
    pub figure: String,
    /// How many pairs have it.
    pub pairs: usize,
    /// Its mean before.
    pub before: f64,
    /// Its mean after.
    pub after: f64,
    /// Mean of the differences.
    pub change: f64,
    /// Standard error of that mean; `None` for a single pair.
    pub error: Option<f64>,
}

impl Line {
    /// Whether the change is larger than twice its error.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.error
            .is_some_and(|error| self.change.abs() > 2.0 * error)
    }
}

/// All changed figures, over all days and by day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Over all pairs.
    pub all: Vec<Line>,
    /// By name of day.
    pub by_day: BTreeMap<String, Vec<Line>>,
}

/// Compares pairs.
///
/// ```
/// use pairs::{Figures, Pair, compare};
/// let pair = |seed, before, after| Pair {
///     day: "calm".into(),
///     seed,
///     before: Figures::from([("worth".into(), before)]),
///     after: Figures::from([("worth".into(), after)]),
/// };
/// let compared = compare(&[pair(1, 0.5, 0.6), pair(2, 0.4, 0.6)]);
/// let worth = &compared.all[0];
/// assert!((worth.change - 0.15).abs() < 1e-9);
/// assert!((worth.error.unwrap() - 0.05).abs() < 1e-9);
/// ```
#[must_use]
pub fn compare(pairs: &[Pair]) -> Comparison {
    let all: Vec<&Pair> = pairs.iter().collect();
    let mut by_day: BTreeMap<String, Vec<&Pair>> = BTreeMap::new();
    for pair in pairs {
        by_day.entry(pair.day.clone()).or_default().push(pair);
    }
    Comparison {
        all: lines(&all),
        by_day: by_day
            .into_iter()
            .map(|(day, pairs)| (day, lines(&pairs)))
            .collect(),
    }
}

fn lines(pairs: &[&Pair]) -> Vec<Line> {
    let names: BTreeSet<&String> = pairs
        .iter()
        .flat_map(|pair| pair.before.keys().chain(pair.after.keys()))
        .collect();
    names
        .into_iter()
        .map(|name| line(pairs, name))
        .filter(|line| line.pairs > 0)
        .collect()
}

fn line(pairs: &[&Pair], figure: &str) -> Line {
    let values: Vec<(f64, f64)> = pairs
        .iter()
        .filter_map(|pair| Some((*pair.before.get(figure)?, *pair.after.get(figure)?)))
        .collect();
    let changes: Vec<f64> = values
        .iter()
        .map(|(before, after)| after - before)
        .collect();
    Line {
        figure: figure.to_owned(),
        pairs: values.len(),
        before: mean(values.iter().map(|(before, _)| *before)),
        after: mean(values.iter().map(|(_, after)| *after)),
        change: mean(changes.iter().copied()),
        error: standard_error(&changes),
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len().max(1) as f64;
    values.sum::<f64>() / count
}

fn standard_error(values: &[f64]) -> Option<f64> {
    let count = values.len();
    if count < 2 {
        return None;
    }
    let middle = mean(values.iter().copied());
    let squares: f64 = values.iter().map(|value| (value - middle).powi(2)).sum();
    Some((squares / (count - 1) as f64 / count as f64).sqrt())
}
