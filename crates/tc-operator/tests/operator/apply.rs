//! Applying a folder: what is brought into force, what stays, what is refused.

use tc_operator::Exit;

use crate::world::{World, file_names};

const APPLY: &str = "config apply fleet --platform 127.0.0.1:9400 --as nadia";
const APPLY_OTHER: &str = "config apply other --platform 127.0.0.1:9400 --as omar";
const PULL_OTHER: &str = "config show --platform 127.0.0.1:9400 --files other";
const POLICY: &str = "fleet/30-policy.toml";
const OTHER_POLICY: &str = "other/30-policy.toml";
const MORE: &str = "[policy]\nshard_size = 6\n";
const LESS: &str = "[policy]\nshard_size = 2\n";

/// A world where two operators have folders that stand on revision 1.
fn two_operators() -> World {
    let world = World::new();
    world.expect(Exit::Done, APPLY);
    world.expect(Exit::Done, PULL_OTHER);
    world
}

#[test]
fn a_folder_is_brought_into_force_once() {
    let world = World::new();
    let first = world.expect(Exit::Done, APPLY);
    assert!(
        first
            .out
            .contains("accepted: revision 1, changed 10-services.toml, 20-workspaces.toml"),
        "{first:?}"
    );
    let again = world.expect(Exit::Done, APPLY);
    assert!(
        again.out.contains("nothing to change: revision 1"),
        "{again:?}"
    );
    let object = world.in_force();
    assert_eq!((object.revision, object.applied_by.as_str()), (1, "nadia"));
}

#[test]
fn files_that_nobody_else_changed_are_taken() {
    let world = two_operators();
    world.write(POLICY, MORE);
    world.write("other/20-workspaces.toml", "[workspaces]\n");
    world.expect(Exit::Done, APPLY);
    let other = world.expect(Exit::Done, APPLY_OTHER);
    assert!(
        other
            .err
            .contains("30-policy.toml stays as another operator brought it into force"),
        "{other:?}"
    );
    let object = world.in_force();
    assert_eq!(object.files["30-policy.toml"].text, MORE);
    assert_eq!(object.files["20-workspaces.toml"].text, "[workspaces]\n");
    assert_eq!(object.files["30-policy.toml"].revision, 2);
    assert_eq!(object.files["20-workspaces.toml"].revision, 3);
}

// Symptom: an accepted change is gone after the next apply of an operator who never saw it.
// Sequence: omar's folder lacks nadia's new file; omar applies; edits something else; applies again.
// Cause: a file missing from a folder looks removed unless the folder's note says that it never was there.
#[test]
fn a_change_that_a_folder_never_had_is_not_reverted_by_its_later_applies() {
    let world = two_operators();
    world.write(POLICY, MORE);
    world.expect(Exit::Done, APPLY);
    for weight in 2..5 {
        world.write(
            "other/40-weight.toml",
            &format!("[workspaces.lintas]\nweight = {weight}\n"),
        );
        world.expect(Exit::Done, APPLY_OTHER);
        assert_eq!(world.in_force().files["30-policy.toml"].text, MORE);
    }
}

#[test]
fn a_file_that_both_changed_differently_is_refused_by_name() {
    let world = two_operators();
    world.write(POLICY, MORE);
    world.write(OTHER_POLICY, LESS);
    world.write("other/40-weight.toml", "[workspaces.lintas]\nweight = 2\n");
    world.expect(Exit::Done, APPLY);
    let refused = world.expect(Exit::Conflict, APPLY_OTHER);
    assert!(refused.err.contains("30-policy.toml"), "{refused:?}");
    assert!(refused.err.contains("by nadia"), "{refused:?}");
    let object = world.in_force();
    assert_eq!(object.revision, 2, "nothing of the loser's is in force");
    assert!(!object.files.contains_key("40-weight.toml"));
    world.expect(Exit::Conflict, PULL_OTHER);
    assert_eq!(
        world.read(OTHER_POLICY),
        LESS,
        "a pull does not overwrite a change"
    );
    world.expect(
        Exit::Conflict,
        "config diff other --platform 127.0.0.1:9400",
    );
}

#[test]
fn the_same_change_by_both_is_no_conflict() {
    let world = two_operators();
    world.write(POLICY, MORE);
    world.write(OTHER_POLICY, MORE);
    world.expect(Exit::Done, APPLY);
    let other = world.expect(Exit::Done, APPLY_OTHER);
    assert!(other.out.contains("nothing to change"), "{other:?}");
}

#[test]
fn a_removed_file_is_removed_unless_it_was_changed_meanwhile() {
    let world = two_operators();
    world.write(POLICY, MORE);
    world.expect(Exit::Done, APPLY);
    world.expect(Exit::Done, PULL_OTHER);
    std::fs::remove_file(world.folder.join(OTHER_POLICY)).expect("removed");
    world.expect(Exit::Done, APPLY_OTHER);
    assert!(!world.in_force().files.contains_key("30-policy.toml"));

    world.write(POLICY, LESS);
    let refused = world.expect(Exit::Conflict, APPLY);
    assert!(refused.err.contains("30-policy.toml"), "{refused:?}");
}

#[test]
fn a_folder_without_a_note_is_refused_until_the_operator_names_the_revision() {
    let world = two_operators();
    world.write("new/10.toml", LESS);
    let line = "config apply new --platform 127.0.0.1:9400";
    let refused = world.expect(Exit::Conflict, line);
    assert!(refused.err.contains("--force-base 1"), "{refused:?}");
    world.expect(Exit::Conflict, &format!("{line} --force-base 7"));
    world.expect(Exit::Done, &format!("{line} --force-base 1"));
    let names: Vec<_> = world.in_force().files.into_keys().collect();
    assert_eq!(names, ["10.toml"]);
}

#[test]
fn a_folder_of_another_platform_is_refused() {
    let (first, second) = (World::new(), World::new());
    first.expect(Exit::Done, APPLY);
    second.expect(Exit::Done, APPLY);
    let note = first.read("fleet/.tanagercroft-base");
    second.write("fleet/.tanagercroft-base", &note);
    second.write(POLICY, MORE);
    let refused = second.expect(Exit::Conflict, APPLY);
    assert!(refused.err.contains("another platform"), "{refused:?}");
    second.write("fleet/.tanagercroft-base", "{\"revision\": ");
    second.expect(Exit::InvalidConfig, APPLY);
}

#[test]
fn a_pull_makes_a_folder_equal_to_what_is_in_force() {
    let world = two_operators();
    world.write(POLICY, MORE);
    std::fs::remove_file(world.folder.join("fleet/20-workspaces.toml")).expect("removed");
    world.expect(Exit::Done, APPLY);
    world.expect(Exit::Done, PULL_OTHER);
    let names = file_names(&world.folder.join("other"));
    assert_eq!(names, ["10-services.toml", "30-policy.toml"]);
    let none = world.expect(Exit::Done, "config diff other --platform 127.0.0.1:9400");
    assert!(
        none.out.contains("no difference from revision 2"),
        "{none:?}"
    );
}

#[test]
fn what_is_put_together_is_validated_whole() {
    let world = two_operators();
    world.write(
        "fleet/40-new.toml",
        "[pipelines.new]\ndeadline_ms = 90\nstages = [{ name = \"e\", service = \"encode\" }]\n",
    );
    world.expect(Exit::Done, APPLY);
    let services = world
        .read("other/10-services.toml")
        .replace("[services.encode]", "[services.embed]");
    world.write(
        "other/10-services.toml",
        &services.replace("service = \"encode\"", "service = \"embed\""),
    );
    let refused = world.expect(Exit::InvalidConfig, APPLY_OTHER);
    assert!(refused.err.contains("40-new.toml"), "{refused:?}");
    assert_eq!(world.in_force().revision, 2);
}

#[test]
fn files_that_only_json_makes_too_large_are_refused() {
    let world = World::new();
    world.write("fleet/90-notes.toml", &"#\n".repeat(440_000));
    world.expect(Exit::Done, "config check fleet");
    let refused = world.expect(Exit::InvalidConfig, APPLY);
    assert!(refused.err.contains("1000000 bytes"), "{refused:?}");
}

// Symptom: an operator is told that an apply failed, applies again, and a second revision appears.
// Sequence: the platform accepts the write and the connection breaks before its answer.
// Cause: a lost answer says nothing about the write; only the object does.
#[test]
fn a_lost_answer_is_read_back() {
    let world = World::new();
    for (edit, revision) in [(MORE, 1), (LESS, 2)] {
        world.write(POLICY, edit);
        world.platform.faults().lose_answers(1);
        let accepted = world.expect(Exit::Done, APPLY);
        assert!(
            accepted
                .out
                .contains(&format!("accepted: revision {revision}")),
            "{accepted:?}"
        );
        assert_eq!(world.in_force().revision, revision);
    }
}

#[test]
fn a_platform_that_fails_writes_leaves_everything_as_it_is() {
    let world = two_operators();
    world.write(POLICY, MORE);
    world.platform.faults().fail_writes(true);
    let failed = world.run(APPLY);
    let truthful = [Exit::Unreachable, Exit::OutcomeUnknown].contains(&failed.exit);
    assert!(truthful, "{failed:?}");
    assert_eq!(world.in_force().revision, 1);
    world.platform.faults().fail_writes(false);
    world.expect(Exit::Done, APPLY);
    assert_eq!(world.in_force().revision, 2);
}

#[test]
fn a_wait_names_the_instances_that_are_behind() {
    let world = World::new();
    world.expect(Exit::Done, APPLY);
    // This instance reports the revision of a platform of its own.
    let elsewhere = World::new();
    let line = format!(
        "config apply fleet --platform 127.0.0.1:9400 --wait --wait-limit-s 0 --admin {}",
        elsewhere.admin
    );
    let behind = world.expect(Exit::Failed, &line);
    assert!(behind.err.contains("revision 1 is accepted"), "{behind:?}");
    assert!(behind.err.contains("kl-a-1"), "{behind:?}");
    assert!(
        !behind.err.contains("kl-a-2"),
        "a dead instance is not waited for: {behind:?}"
    );
}
