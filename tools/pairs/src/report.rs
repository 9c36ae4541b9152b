//! Reads the figures of one day from the benchmark report.

use std::collections::BTreeMap;

use serde::Deserialize;

/// Figures by name, such as `worth` or `class lyric-sheet`.
pub type Figures = BTreeMap<String, f64>;

#[derive(Deserialize)]
struct Report {
    #[serde(rename = "G")]
    worth: f64,
    served: f64,
    refused: f64,
    failed: f64,
    /// Name, weight and value of each part of the score.
    parts: Vec<(String, f64, f64)>,
    /// Name, amount and score deduction of each price.
    prices: Vec<(String, f64, f64)>,
    classes: Vec<Group>,
    zones: Vec<Group>,
    #[serde(default)]
    breaks: BTreeMap<String, serde_json::Value>,
    fault: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct Group {
    name: String,
    in_aim: f64,
    late: f64,
    worth: f64,
}

/// Parses the report of one day.
///
/// ```
/// let text = r#"{"G":0.5,"served":0.8,"refused":0.1,"failed":0.1,"parts":[["whole day",0.4,0.7]],
///     "prices":[["machine-seconds",5.0,0.01]],"classes":[],"zones":[],"fault":null}"#;
/// let figures = pairs::figures(text).unwrap();
/// assert_eq!(figures["worth"], 0.5);
/// assert_eq!(figures["price machine-seconds"], 0.01);
/// ```
///
/// # Errors
///
/// Returns an error if the text is not a valid report.
pub fn figures(text: &str) -> Result<Figures, serde_json::Error> {
    let report: Report = serde_json::from_str(text)?;
    let mut figures = Figures::from([
        ("worth".to_owned(), report.worth),
        ("served".to_owned(), report.served),
        ("refused".to_owned(), report.refused),
        ("failed".to_owned(), report.failed),
        ("rules broken".to_owned(), report.breaks.len() as f64),
        (
            "faults".to_owned(),
            f64::from(u8::from(report.fault.is_some())),
        ),
    ]);
    for (name, _, value) in report.parts {
        figures.insert(format!("part {name}"), value);
    }
    for (name, _, deduction) in report.prices {
        figures.insert(format!("price {name}"), deduction);
    }
    for (kind, groups) in [("class", report.classes), ("domain", report.zones)] {
        for group in groups {
            let name = format!("{kind} {}", group.name);
            figures.insert(format!("{name}, in time"), group.in_aim);
            figures.insert(format!("{name}, late"), group.late);
            figures.insert(name, group.worth);
        }
    }
    Ok(figures)
}
