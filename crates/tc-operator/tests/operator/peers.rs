//! Commands against instances that break off or talk nonsense.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use tc_operator::Exit;

use crate::world::World;

/// Listens and answers each connection's first bytes with `answer`, then closes it.
fn instance_that_answers(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let _ = stream.read(&mut [0; 4096]);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

const CLOSED: &str = "";
const GARBAGE: &str = "SSH-2.0-OpenSSH_9.6\r\n";
const CUT_OFF: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{";
const HTML: &str = "HTTP/1.1 500 Oops\r\ncontent-length: 6\r\n\r\n<html>";
const OTHER_JSON: &str = "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\n{\"a\":[]}";

// Symptom: an operator is told that nothing was done, and an upstream is drained all the same.
// Sequence: the instance carries the order out and dies before its answer.
// Cause: a broken connection was taken for an unreachable instance.
#[test]
fn a_broken_answer_is_never_called_nothing_done() {
    let world = World::new();
    let cases = [
        (CLOSED, Exit::Unreachable, Exit::OutcomeUnknown),
        (GARBAGE, Exit::Unreachable, Exit::OutcomeUnknown),
        (CUT_OFF, Exit::Unreachable, Exit::OutcomeUnknown),
        (HTML, Exit::Failed, Exit::Failed),
    ];
    for (answer, read, write) in cases {
        let address = instance_that_answers(answer);
        world.expect(read, &format!("status --admin {address}"));
        world.expect(write, &format!("drain upstream gen-1 --admin {address}"));
    }
}

#[test]
fn an_answer_of_another_shape_is_an_error() {
    let world = World::new();
    let address = instance_that_answers(OTHER_JSON);
    let finished = world.expect(Exit::Unreachable, &format!("status --admin {address}"));
    assert!(
        finished.err.contains("cannot be understood"),
        "{finished:?}"
    );
}

#[test]
fn an_instance_whose_port_is_taken_says_which() {
    let mut world = World::new();
    let key = "a-fleet-key-of-the-test".to_owned();
    world
        .variables
        .insert("TANAGERCROFT_FLEET_KEY".to_owned(), key);
    // The world's admin interface has this port already.
    let line = "serve --instance-id a --failure-domain d --log off --listen 127.0.0.1:9300 \
                --fleet-listen 127.0.0.1:1 --admin-listen 127.0.0.1:0 --platform 127.0.0.1:9400";
    let finished = world.expect(Exit::Failed, line);
    let says = "cannot listen on 127.0.0.1:9300";
    assert!(finished.err.contains(says), "{finished:?}");
}

// Symptom: an operator is told to check a name that is right.
// Sequence: --admin has the port of callers, which answers 404 with a problem of its own.
// Cause: the status alone was taken for an answer about the name.
#[test]
fn a_port_that_is_no_admin_interface_is_called_so() {
    const PROBLEM: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 14\r\n\r\n{\"status\":404}";
    let world = World::new();
    for line in ["status", "explain some-request", "drain upstream gen-1"] {
        let address = instance_that_answers(PROBLEM);
        let finished = world.expect(Exit::Failed, &format!("{line} --admin {address}"));
        assert!(
            finished.err.contains("admin interface"),
            "{line}: {finished:?}"
        );
        assert!(
            finished.err.contains("--admin-listen"),
            "{line}: {finished:?}"
        );
    }
    let unknown = world.expect(Exit::Failed, "explain unknown --admin 127.0.0.1:9300");
    assert!(unknown.err.contains("x-request-id"), "{unknown:?}");
}
