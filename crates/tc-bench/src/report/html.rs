//! One self-contained page of runs.

use std::collections::BTreeMap;

use super::plot::{comparison_svg, timeline_svg};
use crate::{error::BenchError, measure::RunReport};

const STYLE: &str = "body{font:15px sans-serif;max-width:60em;margin:2em auto;padding:0 1em}\
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.15em .7em;border-bottom:1px solid #ccc;text-align:right}\
td:first-child,th:first-child{text-align:left}.fail{color:#b00;font-weight:bold}svg{max-width:100%}";

/// Makes the page; runs of one scenario under both policies are shown beside each other.
///
/// # Errors
/// When a plot cannot be drawn.
///
/// ```
/// let run = tc_bench::RunReport { scenario: "steady".into(), ..Default::default() };
/// assert!(tc_bench::page(&[run]).unwrap().contains("<h2>steady</h2>"));
/// ```
pub fn page(runs: &[RunReport]) -> Result<String, BenchError> {
    let mut by_scenario: BTreeMap<&str, Vec<&RunReport>> = BTreeMap::new();
    for run in runs {
        by_scenario.entry(&run.scenario).or_default().push(run);
    }
    let mut html = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>tanagercroft runs</title>\
         <style>{STYLE}</style><h1>tanagercroft runs</h1>"
    );
    for (scenario, runs) in by_scenario {
        html += &tagged("h2", scenario);
        html += &figures_table(&runs);
        let last = |policy: &str| runs.iter().rfind(|r| r.policy == policy);
        if let (Some(home), Some(baseline)) = (last("home"), last("baseline")) {
            html += &comparison_svg(home, baseline)?;
        }
        for run in runs {
            html += &section(run)?;
        }
    }
    Ok(html + "</html>\n")
}

fn section(run: &RunReport) -> Result<String, BenchError> {
    let mut html = format!("<h3>{} policy, seed {}</h3>", escape(&run.policy), run.seed);
    html += &claims_table(run);
    if !run.timeline.is_empty() {
        html += &timeline_svg(run)?;
    }
    html += &workspace_table(run);
    html += &stage_table(run);
    html += &curve_table(run);
    html += &control_table(run);
    Ok(html)
}

fn figures_table(runs: &[&RunReport]) -> String {
    let percent = |share: f64| format!("{:.2} %", share * 100.0);
    let rows = runs.iter().map(|r| {
        vec![
            r.policy.clone(),
            r.requests.to_string(),
            percent(r.attainment),
            percent(r.goodput_ratio),
            percent(r.wasted_ratio),
            percent(r.extra_calls_ratio),
            format!("{:.3}", r.added_latency_p50_ms),
            format!("{:.1}", r.first_token_p95_ms),
            format!("{:.0}", r.recovery_ms),
            format!("{}/{}/{}/{}", r.doubled, r.lost, r.mixed, r.false_not_run),
        ]
    });
    let head = [
        "policy",
        "requests",
        "attainment",
        "goodput / capacity",
        "wasted",
        "extra calls",
        "added p50 ms",
        "first token p95 ms",
        "recovery ms",
        "doubled/lost/mixed/false not run",
    ];
    table(&head, rows)
}

fn claims_table(run: &RunReport) -> String {
    let rows = run.claims.iter().map(|c| {
        let word = if c.pass { "held" } else { "failed" };
        vec![c.text.clone(), c.measured.clone(), word.to_owned()]
    });
    table(&["claim", "measured", ""], rows).replace("<td>failed", "<td class=\"fail\">failed")
}

fn workspace_table(run: &RunReport) -> String {
    let rows = run.by_workspace.iter().map(|(name, w)| {
        vec![
            format!("{name}{}", if w.bursting { " (bursting)" } else { "" }),
            w.requests.to_string(),
            format!("{:.2} %", w.attainment * 100.0),
            format!("{:.1}", w.p50_ms),
            format!("{:.1}", w.p99_ms),
        ]
    });
    table(
        &["workspace", "requests", "attainment", "p50 ms", "p99 ms"],
        rows,
    )
}

fn stage_table(run: &RunReport) -> String {
    let rows = run.cost_by_stage.iter().map(|(name, c)| {
        vec![
            name.clone(),
            c.calls.to_string(),
            c.tokens.to_string(),
            format!("{:.0}", c.ms),
            format!("{:.0}", c.wasted_ms),
        ]
    });
    table(&["stage", "calls", "tokens", "busy ms", "wasted ms"], rows)
}

fn curve_table(run: &RunReport) -> String {
    let rows = run
        .latency_curve
        .iter()
        .map(|(q, ms)| vec![format!("p{}", q * 100.0), format!("{ms:.1}")]);
    table(&["quantile", "ms"], rows)
}

fn control_table(run: &RunReport) -> String {
    let mut all: Vec<(String, &crate::measure::ControlCost)> = run
        .control_by_instances
        .iter()
        .map(|(n, c)| (format!("{n} instances"), c))
        .collect();
    if all.is_empty() {
        all.push(("mean of instances".to_owned(), &run.control));
    }
    let rows = all.into_iter().map(|(name, c)| {
        let calls: f64 = c.platform_calls_per_s.values().sum();
        vec![
            name,
            format!("{:.0}", c.bytes_per_s),
            format!("{:.2}", c.cpu_percent),
            format!("{:.1}", c.rss_mb),
            format!("{calls:.2}"),
        ]
    });
    table(
        &[
            "per instance",
            "gossip bytes/s sent",
            "CPU %",
            "RSS MB",
            "platform calls/s",
        ],
        rows,
    )
}

fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let mut html = String::from("<table><tr>");
    for cell in head {
        html += &tagged("th", cell);
    }
    html += "</tr>";
    for row in rows {
        html += "<tr>";
        for cell in row {
            html += &tagged("td", &cell);
        }
        html += "</tr>";
    }
    html + "</table>"
}

fn tagged(tag: &str, text: &str) -> String {
    format!("<{tag}>{}</{tag}>", escape(text))
}

/// Names and measured words come from files, so they must not become markup.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
