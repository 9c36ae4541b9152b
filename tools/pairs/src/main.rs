//! `pairs`: see the library.

use std::{fs, path::PathBuf};

use miette::{IntoDiagnostic, Result, miette};
use pairs::{Comparison, Line, Plan, compare, play_all};

const HELP: &str = "\
Plays days in pairs on two checkouts and prints what changed.

pairs --bench PROGRAM --before CHECKOUT --after CHECKOUT --site FILE --days A,B,.. [options]

  --seeds FROM..TO    seeds of each day, both included (1..5)
  --jobs N            days at the same time (4)
  --processor-time    let processor time count: two runs of one seed then differ
  --all               print every figure, not only worth and those that changed clearly
  --json FILE         write all figures there
  --why TEXT          reason for the journal
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
    let plan = plan(&mut args)?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(miette!("unknown arguments: {rest:?}"));
    }
    let pairs = play_all(&plan).into_diagnostic()?;
    let compared = compare(&pairs);
    print(&compared, output.all);
    if let Some(file) = output.json {
        let text = serde_json::to_string_pretty(&compared).into_diagnostic()?;
        fs::write(file, text).into_diagnostic()?;
    }
    Ok(())
}

fn plan(args: &mut pico_args::Arguments) -> Result<Plan> {
    let days: String = args.value_from_str("--days").into_diagnostic()?;
    let seeds: Option<String> = args.opt_value_from_str("--seeds").into_diagnostic()?;
    let jobs: Option<usize> = args.opt_value_from_str("--jobs").into_diagnostic()?;
    let why: Option<String> = args.opt_value_from_str("--why").into_diagnostic()?;
    Ok(Plan {
        bench: args.value_from_str("--bench").into_diagnostic()?,
        before: args.value_from_str("--before").into_diagnostic()?,
        after: args.value_from_str("--after").into_diagnostic()?,
        site: args.value_from_str("--site").into_diagnostic()?,
        days: days.split(',').map(str::to_owned).collect(),
        seeds: seeds_of(seeds.as_deref().unwrap_or("1..5"))?,
        jobs: jobs.unwrap_or(4),
        with_processor_time: args.contains("--processor-time"),
        why: why.unwrap_or_else(|| "pairs".to_owned()),
    })
}

fn seeds_of(text: &str) -> Result<Vec<u64>> {
    let wrong = || miette!("--seeds is {text:?}, not FROM..TO");
    let (from, to) = text.split_once("..").ok_or_else(wrong)?;
    let from: u64 = from.parse().map_err(|_| wrong())?;
    let to: u64 = to.parse().map_err(|_| wrong())?;
    if from > to {
        return Err(wrong());
    }
    Ok((from..=to).collect())
}

fn print(compared: &Comparison, all: bool) {
    for (day, lines) in &compared.by_day {
        let worth = lines.iter().find(|line| line.figure == "worth");
        if let Some(worth) = worth {
            println!("{}", row(day, worth));
        }
    }
    println!();
    for line in &compared.all {
        let is_shown = all || line.figure == "worth" || line.is_clear();
        if is_shown {
            println!("{}", row(&line.figure, line));
        }
    }
}

fn row(name: &str, line: &Line) -> String {
    let error = line
        .error
        .map_or_else(|| "-".to_owned(), |error| format!("{error:.4}"));
    let mark = if line.is_clear() { " *" } else { "" };
    format!(
        "{name:44} {:9.4} -> {:9.4}  {:+.4} ± {error} ({}){mark}",
        line.before, line.after, line.change, line.pairs
    )
}
