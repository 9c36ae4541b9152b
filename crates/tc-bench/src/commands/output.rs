//! Tables and verdicts on the terminal.

use crate::measure::RunReport;

/// Prints a run: its figures, its claims and what the judge noted.
pub(super) fn print_run(report: &RunReport) {
    println!(
        "{} ({}, seed {}): {} requests, attainment {:.2} %",
        report.scenario,
        report.policy,
        report.seed,
        report.requests,
        report.attainment * 100.0
    );
    for (ending, count) in &report.endings {
        println!("  {count:>7}  {ending}");
    }
    print_workspaces(report);
    print_stages(report);
    for claim in &report.claims {
        let word = if claim.pass { "PASS" } else { "FAIL" };
        println!("  {word}  {}: {}", claim.text, claim.measured);
    }
    for note in &report.notes {
        println!("  note  {note}");
    }
}

fn print_workspaces(report: &RunReport) {
    println!(
        "  {:<22} {:>8} {:>9} {:>9} {:>9}",
        "workspace", "requests", "attained", "p50 ms", "p99 ms"
    );
    for (name, result) in &report.by_workspace {
        println!(
            "  {name:<22} {:>8} {:>7.2} % {:>9.1} {:>9.1}{}",
            result.requests,
            result.attainment * 100.0,
            result.p50_ms,
            result.p99_ms,
            if result.bursting { "  bursting" } else { "" }
        );
    }
}

fn print_stages(report: &RunReport) {
    println!(
        "  {:<22} {:>8} {:>9} {:>9} {:>9}",
        "stage", "calls", "tokens", "busy ms", "wasted ms"
    );
    for (name, cost) in &report.cost_by_stage {
        println!(
            "  {name:<22} {:>8} {:>9} {:>9.0} {:>9.0}",
            cost.calls, cost.tokens, cost.ms, cost.wasted_ms
        );
    }
}

/// Prints two runs beside each other.
pub(super) fn print_pair(home: &RunReport, baseline: &RunReport) {
    println!("{:<34} {:>12} {:>12}", home.scenario, "home", "baseline");
    for (name, a, b) in figures(home, baseline) {
        println!("{name:<34} {a:>12} {b:>12}");
    }
}

/// The figures compared, each in words for both runs.
pub(super) fn figures(home: &RunReport, baseline: &RunReport) -> Vec<(String, String, String)> {
    let mut rows = Vec::new();
    let mut row = |name: &str, show: &dyn Fn(&RunReport) -> String| {
        rows.push((name.to_owned(), show(home), show(baseline)));
    };
    let percent = |share: f64| format!("{:.2} %", share * 100.0);
    row("attainment", &|r| percent(r.attainment));
    row("goodput / capacity", &|r| percent(r.goodput_ratio));
    row("wasted cost", &|r| percent(r.wasted_ratio));
    row("extra calls", &|r| percent(r.extra_calls_ratio));
    row("first token p95 ms", &|r| {
        format!("{:.1}", r.first_token_p95_ms)
    });
    row("recovery ms", &|r| format!("{:.0}", r.recovery_ms));
    row("doubled", &|r| r.doubled.to_string());
    row("lost", &|r| r.lost.to_string());
    row("mixed", &|r| r.mixed.to_string());
    row("false not run", &|r| r.false_not_run.to_string());
    for name in home.by_workspace.keys() {
        row(&format!("{name} attainment"), &|r| {
            percent(r.by_workspace.get(name).map_or(0.0, |w| w.attainment))
        });
        row(&format!("{name} p99 ms"), &|r| {
            format!("{:.0}", r.by_workspace.get(name).map_or(0.0, |w| w.p99_ms))
        });
    }
    rows
}
