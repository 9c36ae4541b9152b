//! Command line of `pairs`. The comparison itself is in the library.

use std::{fs, path::PathBuf};

use miette::{IntoDiagnostic, Result, miette};
use pairs::{Comparison, FigureChange, Plan, compare, run_all};

const HELP: &str = "\
Runs benchmark days on two checkouts and prints the figures that changed.

pairs --bench PROGRAM --before CHECKOUT --after CHECKOUT --site FILE --days A,B,.. [options]

  --seeds FROM..TO    seeds of each day, both inclusive (default 1..5)
  --jobs N            number of pairs run in parallel (default 4)
  --processor-time    include processor time, which makes two runs of one seed differ
  --all               print every figure, not only worth and significant changes
  --json FILE         write all figures to FILE as JSON
  --why TEXT          reason recorded in the journal
";

struct Output {
    json: Option<PathBuf>,
    all: bool,
}

fn main() -> Result<()> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let output = Output {
        json: args.opt_value_from_str("--json").into_diagnostic()?,
        all: args.contains("--all"),
    };
    let plan = parse_plan(&mut args)?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(miette!("unknown arguments: {rest:?}"));
    }
    let pairs = run_all(&plan).into_diagnostic()?;
    let comparison = compare(&pairs);
    print_comparison(&comparison, output.all);
    if let Some(file) = output.json {
        let text = serde_json::to_string_pretty(&comparison).into_diagnostic()?;
        fs::write(file, text).into_diagnostic()?;
    }
    Ok(())
}

fn parse_plan(args: &mut pico_args::Arguments) -> Result<Plan> {
    let days: String = args.value_from_str("--days").into_diagnostic()?;
    let seeds: Option<String> = args.opt_value_from_str("--seeds").into_diagnostic()?;
    let jobs: Option<usize> = args.opt_value_from_str("--jobs").into_diagnostic()?;
    let reason: Option<String> = args.opt_value_from_str("--why").into_diagnostic()?;
    Ok(Plan {
        bench: args.value_from_str("--bench").into_diagnostic()?,
        before: args.value_from_str("--before").into_diagnostic()?,
        after: args.value_from_str("--after").into_diagnostic()?,
        site: args.value_from_str("--site").into_diagnostic()?,
        days: days.split(',').map(str::to_owned).collect(),
        seeds: parse_seed_range(seeds.as_deref().unwrap_or("1..5"))?,
        jobs: jobs.unwrap_or(4),
        include_cpu_time: args.contains("--processor-time"),
        reason: reason.unwrap_or_else(|| "pairs".to_owned()),
    })
}

fn parse_seed_range(text: &str) -> Result<Vec<u64>> {
    let invalid_range =
        || miette!("invalid value {text:?} for --seeds: expected FROM..TO with FROM <= TO");
    let (from, to) = text.split_once("..").ok_or_else(invalid_range)?;
    let from: u64 = from.parse().map_err(|_| invalid_range())?;
    let to: u64 = to.parse().map_err(|_| invalid_range())?;
    if from > to {
        return Err(invalid_range());
    }
    Ok((from..=to).collect())
}

fn print_comparison(comparison: &Comparison, all: bool) {
    for (day, changes) in &comparison.by_day {
        let worth = changes.iter().find(|change| change.figure == "worth");
        if let Some(worth) = worth {
            println!("{}", format_row(day, worth));
        }
    }
    println!();
    for change in &comparison.all {
        let is_shown = all || change.figure == "worth" || change.is_significant();
        if is_shown {
            println!("{}", format_row(&change.figure, change));
        }
    }
}

fn format_row(name: &str, change: &FigureChange) -> String {
    let error = change
        .error
        .map_or_else(|| "-".to_owned(), |error| format!("{error:.4}"));
    let mark = if change.is_significant() { " *" } else { "" };
    format!(
        "{name:44} {:9.4} -> {:9.4}  {:+.4} ± {error} ({}){mark}",
        change.before, change.after, change.change, change.pairs
    )
}
