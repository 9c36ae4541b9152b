//! Answers of the upstreams of a soak.

use std::time::Duration;

use tc_platform_adapter::outside::{
    ForwardedRequest, chunk, sealed_headers, stream_end, stream_head_with,
};
use tc_stand_ins::{Received, Script, Step, whole_answer};

/// Events of a whole stream.
pub(super) const EVENTS: u64 = 8;
/// Pause between two events, and time of a plain request.
const WORK: Duration = Duration::from_millis(20);
/// The same of a slow upstream.
const SLOW_WORK: Duration = Duration::from_millis(250);
/// The same for answers that take long, by request.
const LONG_WORK: [Duration; 3] = [
    Duration::from_millis(130),
    Duration::from_millis(170),
    Duration::from_millis(220),
];

/// Pace of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Pace {
    #[default]
    Usual,
    Slow,
    /// Times of the usual pace, in percent.
    Percent(u32),
    /// Streams take seconds, by request, and plain answers are written in two parts.
    Long,
}

impl Pace {
    fn work(self, id: &str) -> Duration {
        match self {
            Self::Usual => WORK,
            Self::Slow => SLOW_WORK,
            Self::Percent(percent) => WORK * percent / 100,
            Self::Long => LONG_WORK[sum(id) as usize % LONG_WORK.len()],
        }
    }
}

/// Returns true for one in three requests.
pub(super) fn is_held(id: &str) -> bool {
    sum(id).is_multiple_of(3)
}

fn sum(id: &str) -> u32 {
    id.bytes().map(u32::from).sum()
}

pub(super) fn plain(req: &Received, sent: &ForwardedRequest, headers: &str, pace: Pace) -> Script {
    let work = pace.work(&sent.id);
    let mut script = vec![Step::Pause(work)];
    let headers = sealed_headers(req) + headers;
    let body = plain_body(&sent.id);
    for step in whole_answer(200, &headers, &body) {
        match step {
            Step::Write(text) if pace == Pace::Long => {
                let (head, rest) = text.split_at(text.len() - body.len() / 2);
                script.push(Step::Write(head.to_owned()));
                script.push(Step::Pause(work));
                script.push(Step::Write(rest.to_owned()));
            }
            step => script.push(step),
        }
    }
    script
}

/// Body of a plain answer.
pub(super) fn plain_body(id: &str) -> String {
    format!("answer to {id}")
}

/// Data of an event, which names the version of its engine.
pub(super) fn event_data(id: &str, event: u64, version: &str) -> String {
    format!("{id}.{event}@{version}")
}

pub(super) fn stream(
    req: &Received,
    sent: &ForwardedRequest,
    version: &str,
    headers: &str,
    pace: Pace,
) -> Script {
    let work = pace.work(&sent.id);
    let mut script = vec![stream_head_with(req, headers)];
    for event in sent.resume_after + 1..=EVENTS {
        let data = event_data(&sent.id, event, version);
        script.push(Step::Pause(work));
        script.push(chunk(&format!("id: {event}\ndata: {data}\n\n")));
    }
    script.push(stream_end());
    script
}
