//! `explain` from log lines.

use tc_operator::Exit;

use crate::world::World;

#[test]
fn decisions_on_a_request_are_found_in_logs_in_their_order() {
    let world = World::new();
    let finished = world.expect(Exit::Done, "explain 85a329663e983a89 --logs instances.log");
    let rows: Vec<&str> = finished.out.lines().skip(2).collect();
    assert_eq!(rows.len(), 2, "{}", finished.out);
    assert!(rows[0].contains("an upstream answers") && rows[0].contains("upstream=i-003c4dae1d"));
    assert!(rows[1].starts_with("3731.0") && rows[1].contains("last_event=189"));
    let other = finished.out.contains("upstream=i-1 ");
    assert!(!other, "a line of another request: {}", finished.out);
}

#[test]
fn an_instance_and_logs_give_one_type() {
    let world = World::new();
    let sources = [
        ("85a329663e983a89", "--logs instances.log"),
        ("kl-a-1-19b0c5-2f", "--admin 127.0.0.1:9300"),
    ];
    for (id, source) in sources {
        let finished = world.expect(Exit::Done, &format!("explain {id} {source} --json"));
        let read: Result<tc_protocol::Explanation, _> = serde_json::from_str(&finished.out);
        let read = read.unwrap_or_else(|error| panic!("{source}: {error}: {}", finished.out));
        assert_eq!(read.request.to_string(), id);
        assert!(!read.steps.is_empty());
    }
}

#[test]
fn a_request_that_no_line_names_is_said_to_be_missing() {
    let world = World::new();
    let finished = world.expect(Exit::Failed, "explain 77 --logs instances.log");
    let told = "no line of instances.log is about request 77";
    assert!(finished.err.contains(told), "{}", finished.err);
    world.write("empty.log", "");
    world.expect(Exit::Failed, "explain 77 --logs empty.log");
    world.expect(Exit::Failed, "explain 77 --logs nowhere.log");
}
