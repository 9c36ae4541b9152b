//! Operators who apply at the same moment.

use std::{sync::Barrier, thread, time::Duration};

use tc_operator::Exit;
use tc_protocol::wire::{CONFIG_KIND, CONFIG_NAME, ConfigObject};

use crate::world::World;

const APPLIES_EACH: u32 = 50;
/// Every so many applies also edit the file that both edit.
const SHARED_EVERY: u32 = 5;
/// Every so many applies lose an answer of the platform.
const LOST_EVERY: u32 = 7;
/// Time of a call to the platform: long enough that reads and writes of the two operators overlap.
const CALL_TIME: Duration = Duration::from_millis(3);
const OPERATORS: [&str; 2] = ["nadia", "omar"];
const SHARED: &str = "90-shared.toml";

/// Outcome of one apply as reported to its operator.
#[derive(Clone, Debug)]
struct Told {
    own: String,
    shared: Option<String>,
    exit: Exit,
}

// Symptom: a change that an operator saw accepted is not in force a few seconds later.
// Sequence: two operators apply folders of their own at the same moment, again and again; some answers are lost.
// Cause: a write based on what was read before the other's write, or a merge that takes ignorance for a change.
#[test]
fn no_accepted_apply_of_two_racing_operators_is_lost() {
    let world = World::new();
    world.platform.faults().set_rate_limits(None);
    world.platform.faults().set_slow(CALL_TIME);
    world.write(&format!("fleet/{SHARED}"), "[policy]\nshard_size = 4\n");
    world.expect(Exit::Done, "config apply fleet --platform 127.0.0.1:9400");
    let start = Barrier::new(OPERATORS.len());
    let told: Vec<Vec<Told>> = thread::scope(|scope| {
        let operators = OPERATORS.map(|name| {
            let (world, start) = (&world, &start);
            scope.spawn(move || {
                start.wait();
                apply_many(world, name)
            })
        });
        operators
            .map(|operator| operator.join().expect("joined"))
            .into()
    });
    let history = world.platform.history(CONFIG_KIND, CONFIG_NAME);
    let history: Vec<ConfigObject> = history
        .into_iter()
        .map(|(_, value)| serde_json::from_value(value).expect("a configuration object"))
        .collect();
    for (name, told) in OPERATORS.iter().zip(&told) {
        judge_own(name, told, &history);
        judge_shared(told, &history);
    }
    judge_revisions(&history);
    let all: Vec<&Told> = told.iter().flatten().collect();
    assert_eq!(all.len(), 100);
    let accepted = all.iter().filter(|t| t.exit == Exit::Done).count();
    assert!(
        accepted >= 80,
        "only applies of the shared file may be refused: {accepted}"
    );
}

/// Fifty applies of one operator from one folder.
///
/// After a refusal the operator throws the edits away and pulls into a new folder, as the message tells.
fn apply_many(world: &World, name: &str) -> Vec<Told> {
    let mut folder = pull(world, name, 0);
    let mut all = Vec::new();
    for i in 1..=APPLIES_EACH {
        let told = apply_once(world, name, &folder, i);
        if told.exit != Exit::Done {
            folder = pull(world, name, i);
        }
        all.push(told);
    }
    all
}

fn pull(world: &World, name: &str, i: u32) -> String {
    let folder = format!("{name}-{i}");
    let line = format!("config show --platform 127.0.0.1:9400 --files {folder}");
    world.expect(Exit::Done, &line);
    folder
}

/// Edits the operator's own file, now and then the shared one too, and applies.
fn apply_once(world: &World, name: &str, folder: &str, i: u32) -> Told {
    let own = format!("[workspaces.lintas.limits]\nconcurrency = {i}\n# {name}\n");
    world.write(&format!("{folder}/50-{name}.toml"), &own);
    let edits_shared = i.is_multiple_of(SHARED_EVERY);
    let shared = edits_shared.then(|| format!("[policy]\nshard_size = {i}\n# {name}\n"));
    if let Some(text) = &shared {
        world.write(&format!("{folder}/{SHARED}"), text);
    }
    if i.is_multiple_of(LOST_EVERY) {
        world.platform.faults().lose_answers(1);
    }
    let line = format!("config apply {folder} --platform 127.0.0.1:9400 --as {name}");
    let finished = world.run(&line);
    let known = match finished.exit {
        Exit::Done => true,
        // Only the shared file is changed by both.
        Exit::Conflict => edits_shared && finished.err.contains(SHARED),
        Exit::OutcomeUnknown => edits_shared,
        _ => false,
    };
    assert!(known, "{line}: {finished:?}");
    let exit = finished.exit;
    Told { own, shared, exit }
}

/// Accepted texts of the operator's own file come into force in order, and never an older one after a newer one.
fn judge_own(name: &str, told: &[Told], history: &[ConfigObject]) {
    let file = format!("50-{name}.toml");
    let mut in_force: Vec<&str> = history
        .iter()
        .filter_map(|object| object.files.get(&file).map(|file| file.text.as_str()))
        .collect();
    in_force.dedup();
    let written: Vec<&str> = told.iter().map(|t| t.own.as_str()).collect();
    let mut rest = written.iter();
    for text in &in_force {
        assert!(
            rest.any(|written| written == text),
            "{file} went back to {text}"
        );
    }
    for told in told {
        let is_in_force = in_force.contains(&told.own.as_str());
        match told.exit {
            Exit::Done => assert!(is_in_force, "accepted and lost: {told:?}"),
            Exit::Conflict => assert!(!is_in_force, "refused and in force: {told:?}"),
            _ => {}
        }
    }
}

/// Accepted texts of the shared file were in force, and none came back after another had replaced it.
fn judge_shared(told: &[Told], history: &[ConfigObject]) {
    let mut in_force: Vec<&str> = history
        .iter()
        .map(|object| object.files[SHARED].text.as_str())
        .collect();
    in_force.dedup();
    for told in told {
        let Some(text) = &told.shared else { continue };
        let times = in_force.iter().filter(|t| *t == text).count();
        match told.exit {
            Exit::Done => assert_eq!(times, 1, "accepted: {told:?}"),
            Exit::Conflict => assert_eq!(times, 0, "refused: {told:?}"),
            _ => assert!(times <= 1, "unknown: {told:?}"),
        }
    }
}

fn judge_revisions(history: &[ConfigObject]) {
    for pair in history.windows(2) {
        assert_eq!(pair[1].revision, pair[0].revision + 1);
    }
}
