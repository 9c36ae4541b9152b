//! Two operators race a hundred applies of the same folder.

use std::time::Duration;

use serde_json::Value;
use tc_protocol::wire::{CONFIG_KIND, CONFIG_NAME};

use super::{
    Scenario,
    settings::{Settings, percent},
};
use crate::{
    error::BenchError,
    load::{What, steady_flow},
    measure::RunReport,
    world::{Applied, ConfigFolder, World, standard_spec},
};

/// Applies of each operator.
const APPLIES: u32 = 50;
/// Every how manieth apply edits the file that both operators edit.
const SHARED_EVERY: u32 = 5;
const SHARED_FILE: &str = "70-shared.toml";
const OPERATORS: [&str; 2] = ["anna", "bianca"];
/// Longest the last accepted revision may take to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
const MIN_ATTAINMENT: f64 = 0.99;

pub(super) const SCENARIO: Scenario = Scenario {
    name: "config-race",
    about: "two operators race a hundred applies of one folder",
    run: |settings| Box::pin(run(settings)),
};

/// One apply and how it ended.
struct Attempt {
    file: String,
    text: String,
    applied: Applied,
}

async fn run(settings: Settings) -> Result<RunReport, BenchError> {
    let length = settings.length(10.0);
    let mut world = World::start(standard_spec(&settings.shape())?).await?;
    let flows = vec![steady_flow(
        "large-a",
        What::Pipeline("answer".into()),
        40.0,
        length,
    )];
    let run = world
        .run(
            "config-race",
            settings.seed,
            flows,
            &[],
            async |world, _| race(world).await,
        )
        .await;
    let mut report = run.report("");
    let attempts = run.fault?;
    let history = world.platform.history(CONFIG_KIND, CONFIG_NAME);
    let newest = history.last().map_or(0, |(_, value)| revision(value));
    let count = world.instances.len();
    let in_force = world.wait_revision(count, newest, IN_FORCE_LIMIT).await;
    report.claim_clean();
    claim_race(&mut report, &attempts, &history);
    report.claim(
        "the last accepted revision is in force everywhere within seconds",
        match &in_force {
            Ok(took) => format!(
                "revision {newest} {:.2} s after the race",
                took.as_secs_f64()
            ),
            Err(e) => e.to_string(),
        },
        in_force.is_ok(),
    );
    report.claim(
        "requests meanwhile attain at least 99 %",
        percent(report.attainment),
        report.attainment >= MIN_ATTAINMENT,
    );
    Ok(report)
}

async fn race(world: &mut World) -> Result<Vec<Attempt>, BenchError> {
    let (a, b) = tokio::join!(operator(world, OPERATORS[0]), operator(world, OPERATORS[1]));
    let mut attempts = a?;
    attempts.extend(b?);
    Ok(attempts)
}

/// One operator's applies from a folder of their own; after a conflict they take their edit back.
async fn operator(world: &World, name: &str) -> Result<Vec<Attempt>, BenchError> {
    let folder = ConfigFolder::create()?;
    folder.copy_from(&world.folder)?;
    let mut attempts = Vec::new();
    for number in 0..APPLIES {
        let shared = number % SHARED_EVERY == SHARED_EVERY - 1;
        let file = if shared {
            SHARED_FILE.to_owned()
        } else {
            format!("60-{name}.toml")
        };
        let text = edit(name, number, shared);
        let before = std::fs::read_to_string(folder.path().join(&file)).ok();
        folder.write(&file, &text)?;
        let applied = folder
            .apply(&world.binary, world.platform.address(), name)
            .await?;
        if applied != Applied::Done {
            take_back(&folder, &file, before)?;
        }
        attempts.push(Attempt {
            file,
            text,
            applied,
        });
    }
    Ok(attempts)
}

fn take_back(folder: &ConfigFolder, file: &str, before: Option<String>) -> Result<(), BenchError> {
    match before {
        Some(text) => folder.write(file, &text),
        None => std::fs::remove_file(folder.path().join(file))
            .map_err(|e| BenchError::file(folder.path(), &e)),
    }
}

/// An edit that no other apply makes; the comment tells whose it is.
fn edit(name: &str, number: u32, shared: bool) -> String {
    let key = if shared {
        "shard_size"
    } else {
        "queue_per_workspace"
    };
    let value = if shared { 4 + number } else { 200 + number };
    format!("# {name} {number}\n[policy]\n{key} = {value}\n")
}

fn claim_race(report: &mut RunReport, attempts: &[Attempt], history: &[(u64, Value)]) {
    let count =
        |wanted: fn(&Applied) -> bool| attempts.iter().filter(|a| wanted(&a.applied)).count();
    let accepted = count(|a| *a == Applied::Done);
    let told = count(|a| *a == Applied::Conflict);
    let failed: Vec<&Attempt> = attempts
        .iter()
        .filter(|a| matches!(a.applied, Applied::Failed(..)))
        .collect();
    report.claim(
        "every apply is accepted or told that another operator was first",
        match failed.first() {
            None => format!("{accepted} accepted, {told} told"),
            Some(a) => format!(
                "{accepted} accepted, {told} told, {} failed: {:?}",
                failed.len(),
                a.applied
            ),
        },
        failed.is_empty() && accepted > 0 && told > 0,
    );
    let missing = attempts
        .iter()
        .filter(|a| a.applied == Applied::Done && first_with(history, a).is_none())
        .count();
    let ghosts = attempts
        .iter()
        .filter(|a| a.applied == Applied::Conflict && first_with(history, a).is_some())
        .count();
    report.claim(
        "every accepted edit was in force, no refused one was",
        format!("{missing} accepted ones missing, {ghosts} refused ones in force"),
        missing == 0 && ghosts == 0,
    );
    let reverted = attempts.iter().filter(|a| is_reverted(history, a)).count();
    report.claim(
        "no accepted edit was reverted",
        reverted.to_string(),
        reverted == 0,
    );
    let rising = history
        .windows(2)
        .all(|pair| revision(&pair[1].1) == revision(&pair[0].1) + 1);
    report.claim(
        "revisions rise by one",
        format!("{} revisions", history.len()),
        rising,
    );
}

fn revision(object: &Value) -> u64 {
    object["revision"].as_u64().unwrap_or(0)
}

fn holds(object: &Value, attempt: &Attempt) -> bool {
    object["files"][&attempt.file]["text"].as_str() == Some(attempt.text.as_str())
}

/// Index of the first version that holds an attempt's edit.
fn first_with(history: &[(u64, Value)], attempt: &Attempt) -> Option<usize> {
    history
        .iter()
        .position(|(_, object)| holds(object, attempt))
}

/// Whether an edit, once gone from the configuration, gave way to an older text of its file.
fn is_reverted(history: &[(u64, Value)], attempt: &Attempt) -> bool {
    let Some(first) = first_with(history, attempt) else {
        return false;
    };
    let Some(gone) = history[first..]
        .iter()
        .position(|(_, o)| !holds(o, attempt))
    else {
        return false;
    };
    let later = &history[first + gone].1["files"][&attempt.file]["text"];
    later.is_null()
        || history[..first]
            .iter()
            .any(|(_, o)| o["files"][&attempt.file]["text"] == *later)
}
