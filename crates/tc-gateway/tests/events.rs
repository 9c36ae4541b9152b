//! Tests that event streams are split correctly wherever the chunks are cut.

use bolero::generator::produce;
use tc_gateway::EventSplitter;

fn events(count: u64, line_end: &str) -> String {
    let event = |id| format!("id: {id}{line_end}data: {{\"t\":{id}}}{line_end}{line_end}");
    let events: Vec<String> = (1..=count).map(event).collect();
    events.concat()
}

/// Events come out complete and in order, with nothing added, however the stream is cut into chunks.
#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    tc_fuzz::check(
        20_000,
        produce::<(bool, Vec<u8>)>(),
        |(carriage_returns, cuts)| {
            let text = events(6, if *carriage_returns { "\r\n" } else { "\n" });
            let mut splitter = EventSplitter::default();
            let (mut rest, mut cuts, mut passed, mut ids) =
                (text.as_bytes(), cuts.iter(), Vec::new(), Vec::new());
            while !rest.is_empty() {
                let length = usize::from(*cuts.next().unwrap_or(&255)).clamp(1, rest.len());
                let (chunk, after) = rest.split_at(length);
                rest = after;
                assert!(splitter.push(chunk));
                while let Some(event) = splitter.take_event() {
                    ids.extend(event.id);
                    passed.extend_from_slice(&event.bytes);
                }
            }
            assert_eq!(ids, [1, 2, 3, 4, 5, 6]);
            assert_eq!(passed, text.as_bytes());
            assert!(!splitter.has_partial_event());
        },
    );
}

#[test]
fn arbitrary_bytes_are_neither_added_nor_lost() {
    tc_fuzz::check(5_000, produce::<Vec<Vec<u8>>>(), |chunks| {
        let mut splitter = EventSplitter::default();
        let (mut given, mut passed) = (0, 0);
        for chunk in chunks {
            given += chunk.len();
            splitter.push(chunk);
            while let Some(event) = splitter.take_event() {
                passed += event.bytes.len();
            }
        }
        assert!(passed <= given);
        assert_eq!(splitter.has_partial_event(), passed < given);
    });
}

#[test]
fn an_oversized_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = vec![b'x'; 1 << 16];
    let taken = (0..64).take_while(|_| splitter.push(&chunk)).count();
    assert_eq!(taken, 16, "an event may have at most 1 MiB");
}
