//! Applies whose answer is lost while another operator goes on.

use std::{thread, time::Duration};

use tc_operator::Exit;
use tc_protocol::wire::CONFIG_KIND;

use crate::world::{Finished, World};

const APPLY: &str = "config apply fleet --platform 127.0.0.1:9400 --as nadia";
const PULL_OTHER: &str = "config show --platform 127.0.0.1:9400 --files other";
const WORKSPACES: &str = "20-workspaces.toml";
/// Time of a call while nadia reads back: omar needs a fraction of it for what he does meanwhile.
const CALL_TIME: Duration = Duration::from_millis(600);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Has nadia edit the workspaces and apply with `fault` switched on, and omar act while she reads back.
fn overtaken_while_reading_back(
    fault: impl FnOnce(&World),
    omar_acts: impl FnOnce(&World),
) -> (World, Finished) {
    let world = World::new();
    world.expect(Exit::Done, APPLY);
    world.expect(Exit::Done, PULL_OTHER);
    let edited = world.read(&format!("fleet/{WORKSPACES}")) + "weight = 7\n";
    world.write(&format!("fleet/{WORKSPACES}"), &edited);
    fault(&world);
    world.platform.faults().set_slow(CALL_TIME);
    let read = || world.platform.calls()[&format!("get {CONFIG_KIND}")];
    // One call reads before the write, the next reads back.
    let reads_back = read() + 2;
    let finished = thread::scope(|scope| {
        let nadia = scope.spawn(|| world.run(APPLY));
        while read() < reads_back {
            thread::sleep(POLL_INTERVAL);
        }
        world.platform.faults().set_slow(Duration::ZERO);
        omar_acts(&world);
        nadia.join().expect("joined")
    });
    (world, finished)
}

fn omar_edits(world: &World, name: &str, text: &str) {
    world.write(&format!("other/{name}"), text);
    world.expect(
        Exit::Done,
        "config apply other --platform 127.0.0.1:9400 --as omar",
    );
}

fn omar_edits_twice(world: &World) {
    omar_edits(world, "40-omar.toml", "[policy]\nshard_size = 5\n");
    omar_edits(world, "40-omar.toml", "[policy]\nshard_size = 6\n");
}

fn lose_answer(world: &World) {
    world.platform.faults().lose_answers(1);
}

fn lose_request(world: &World) {
    world.platform.faults().lose_requests(1);
}

// Symptom: an accepted apply is reported as failed.
// Sequence: the write takes effect; its answer is lost; another operator changes another file before the read back.
// Cause: the object in force is not the one that was written, though it stands on it.
#[test]
fn a_write_that_others_built_on_is_accepted() {
    let (world, nadia) = overtaken_while_reading_back(lose_answer, omar_edits_twice);
    assert_eq!(nadia.exit, Exit::Done, "{nadia:?}");
    let object = world.in_force();
    assert_eq!(object.revision, 4, "it was not written again");
    assert_eq!(object.files[WORKSPACES].revision, 2);
    assert!(object.files[WORKSPACES].text.contains("weight = 7"));
}

// Symptom: an apply is reported as accepted and is not in force.
// Sequence: the request is lost on its way; other operators change other files before the read back.
// Cause: a revision above the written one was taken for a sign that the write was accepted.
#[test]
fn a_write_that_never_took_effect_is_made_again() {
    let (world, nadia) = overtaken_while_reading_back(lose_request, omar_edits_twice);
    assert_eq!(nadia.exit, Exit::Done, "{nadia:?}");
    let object = world.in_force();
    assert_eq!(object.files[WORKSPACES].revision, 4);
    assert!(object.files[WORKSPACES].text.contains("weight = 7"));
    assert!(object.files["40-omar.toml"].text.contains("shard_size = 6"));
}

// Symptom: an operator is told something about an apply that nobody can know.
// Sequence: the answer is lost; another operator pulls and changes the same file before the read back.
// Cause: the file in force tells nothing any more about the one that may have been in force before it.
#[test]
fn a_write_that_others_replaced_is_called_unknown() {
    let (world, nadia) = overtaken_while_reading_back(lose_answer, |world| {
        world.expect(Exit::Done, PULL_OTHER);
        let pulled = world.read(&format!("other/{WORKSPACES}"));
        omar_edits(
            world,
            WORKSPACES,
            &pulled.replace("weight = 7", "weight = 8"),
        );
    });
    assert_eq!(nadia.exit, Exit::OutcomeUnknown, "{nadia:?}");
    assert!(
        world.in_force().files[WORKSPACES]
            .text
            .contains("weight = 8")
    );
}
