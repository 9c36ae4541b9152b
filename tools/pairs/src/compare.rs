//! Computes paired differences and their standard errors.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::play::Pair;

/// Change of one figure over a set of pairs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FigureChange {
    /// Name of the figure.
    pub figure: String,
    /// Number of pairs that have the figure on both sides.
    pub pairs: usize,
    /// Mean without the change.
    pub before: f64,
    /// Mean with the change.
    pub after: f64,
    /// Mean of the differences.
    pub change: f64,
    /// Standard error of the mean difference; `None` with fewer than two pairs.
    pub error: Option<f64>,
}

impl FigureChange {
    /// Returns whether the change exceeds twice its standard error.
    #[must_use]
    pub fn is_significant(&self) -> bool {
        self.error
            .is_some_and(|error| self.change.abs() > 2.0 * error)
    }
}

/// Changes of all figures, over all days and per day.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Changes over all pairs.
    pub all: Vec<FigureChange>,
    /// Changes per day, by the day's name.
    pub by_day: BTreeMap<String, Vec<FigureChange>>,
}

/// Computes the change of every figure over all pairs and per day.
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
        all: figure_changes(&all),
        by_day: by_day
            .into_iter()
            .map(|(day, pairs)| (day, figure_changes(&pairs)))
            .collect(),
    }
}

fn figure_changes(pairs: &[&Pair]) -> Vec<FigureChange> {
    let names: BTreeSet<&String> = pairs
        .iter()
        .flat_map(|pair| pair.before.keys().chain(pair.after.keys()))
        .collect();
    names
        .into_iter()
        .map(|name| figure_change(pairs, name))
        .filter(|change| change.pairs > 0)
        .collect()
}

fn figure_change(pairs: &[&Pair], figure: &str) -> FigureChange {
    let values: Vec<(f64, f64)> = pairs
        .iter()
        .filter_map(|pair| Some((*pair.before.get(figure)?, *pair.after.get(figure)?)))
        .collect();
    let differences: Vec<f64> = values
        .iter()
        .map(|(before, after)| after - before)
        .collect();
    FigureChange {
        figure: figure.to_owned(),
        pairs: values.len(),
        before: mean(values.iter().map(|(before, _)| *before)),
        after: mean(values.iter().map(|(_, after)| *after)),
        change: mean(differences.iter().copied()),
        error: standard_error(&differences),
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
    let average = mean(values.iter().copied());
    let squared_deviations: f64 = values.iter().map(|value| (value - average).powi(2)).sum();
    Some((squared_deviations / (count - 1) as f64 / count as f64).sqrt())
}
