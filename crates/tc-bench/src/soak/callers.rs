//! Callers that keep connections open and write down all that they were told.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tc_platform_adapter::outside::{CallerRequest, Resumption, request_text};
use tc_protocol::routing::RouteKind;

use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use super::{
    crashes::{CULPRIT_PART, CULPRIT_PATH, Culprit},
    responses::read_answer,
};

/// The workspace's key.
pub(super) const KEY: &str = "key-of-the-soak";
/// Time for which a caller waits for its answer.
pub(super) const DEADLINE: Duration = Duration::from_secs(2);
/// Additional time for which it listens: an answer that arrives then is late, not lost.
const LISTENS_ON: Duration = Duration::from_millis(800);
/// Longest time for a new connection.
const CONNECT_TIME: Duration = Duration::from_millis(500);
/// Pause of a caller between two requests.
const PAUSE_MS: u64 = 40;
/// Families of prompts that share a part.
const PROMPT_FAMILIES: u64 = 16;
/// Number of times that a caller resumes a stream in a new request.
const MAX_RESUMPTIONS: usize = 2;
/// Pieces of a staged request.
const PIECES: u32 = 3;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Kind {
    /// Its route.
    pub(super) route: &'static str,
    pub(super) repeat: RouteKind,
    pub(super) staged: bool,
}

/// All kinds; their routes are in every configuration.
pub(super) const KINDS: [Kind; 6] = [
    Kind {
        route: "plain",
        repeat: RouteKind::NonIdempotent,
        staged: false,
    },
    Kind {
        route: "safe",
        repeat: RouteKind::Idempotent,
        staged: false,
    },
    Kind {
        route: "stream",
        repeat: RouteKind::Stream,
        staged: false,
    },
    Kind {
        route: "resume",
        repeat: RouteKind::ResumableStream,
        staged: false,
    },
    Kind {
        route: "staged",
        repeat: RouteKind::Stream,
        staged: true,
    },
    Kind {
        route: "staged-resume",
        repeat: RouteKind::ResumableStream,
        staged: true,
    },
];

/// Requests that callers of a soak send, and their targets.
#[derive(Clone)]
pub(super) struct Calling {
    pub(super) seed: u64,
    pub(super) key: &'static str,
    /// Additional pause of a caller whose request was refused.
    pub(super) pause_after_refusal: Duration,
    pub(super) instances: Vec<SocketAddr>,
    pub(super) kinds: &'static [Kind],
    pub(super) deadline: Duration,
    pub(super) end: Instant,
    pub(super) tellings: Tellings,
}

/// A stream that a caller resumes in a new request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Resumed {
    /// The request that brought the first event.
    pub(super) began: String,
    /// The last event that the caller has.
    pub(super) after_event: u64,
}

/// Answer that a caller received.
#[derive(Clone, Debug)]
pub(super) struct Told {
    pub(super) request: String,
    pub(super) route: String,
    pub(super) key: String,
    pub(super) repeat: RouteKind,
    /// The stream that the request resumes.
    pub(super) resumed: Option<Resumed>,
    pub(super) instance: usize,
    pub(super) sent: Instant,
    pub(super) ended: Instant,
    pub(super) deadline: Duration,
    /// 0 when no head of an answer came.
    pub(super) status: u16,
    /// Request that the answer names.
    pub(super) names: Option<String>,
    /// Whether an upstream made it.
    pub(super) sealed: bool,
    pub(super) body: String,
    /// Whether it came to its proper end.
    pub(super) whole: bool,
}

pub(super) fn is_served(told: &Told) -> bool {
    told.status == 200 && told.whole
}

/// Returns true if the answer says that the request has not run for want of room.
pub(super) fn is_refused(told: &Told) -> bool {
    matches!(told.status, 429 | 503)
}

/// Records that several tasks add to, in the order in which they were added.
#[derive(Clone)]
pub(super) struct Shared<T>(Arc<Mutex<Vec<T>>>);

/// All that callers were told so far.
pub(super) type Tellings = Shared<Told>;

impl<T> Default for Shared<T> {
    fn default() -> Self {
        Self(Arc::default())
    }
}

impl<T: Clone> Shared<T> {
    pub(super) fn add(&self, record: T) {
        self.lock().push(record);
    }

    pub(super) fn all(&self) -> Vec<T> {
        self.lock().clone()
    }

    pub(super) fn last(&self) -> Option<T> {
        self.lock().last().cloned()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<T>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends requests one after the other until the end, each to an instance by chance; connections are kept while they work.
pub(super) async fn call_until(number: u64, calling: Calling) {
    let Calling {
        seed,
        instances,
        kinds,
        end,
        ..
    } = &calling;
    let mut rng = SmallRng::seed_from_u64(seed ^ number.rotate_left(32));
    let mut kept: Vec<Option<TcpStream>> = instances.iter().map(|_| None).collect();
    let mut count = 0_u64;
    while Instant::now() < *end {
        count += 1;
        let kind = kinds[rng.random_range(0..kinds.len())];
        let instance = rng.random_range(0..instances.len());
        let id = format!("s{seed:x}-{number}-{count}");
        let connection = kept[instance].take();
        let attempt = Attempt {
            kind,
            id: &id,
            key: calling.key,
            deadline: calling.deadline,
            resumed: None,
            culprit: None,
        };
        let told = call(
            kind.route,
            attempt,
            instance,
            instances[instance],
            connection,
        )
        .await;
        if let Some((told, connection)) = told {
            kept[instance] = connection;
            calling.tellings.add(told.clone());
            if is_refused(&told) {
                sleep(calling.pause_after_refusal).await;
            }
            resume(told, kind, &calling, &mut rng).await;
        }
        sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
    }
}

/// Resumes a stream that broke, each time at an instance by chance.
async fn resume(mut told: Told, kind: Kind, calling: &Calling, rng: &mut SmallRng) {
    let Calling {
        instances,
        tellings,
        ..
    } = calling;
    let began = told.request.clone();
    let mut after_event = 0;
    for number in 0..MAX_RESUMPTIONS {
        after_event = last_event(&told.body).unwrap_or(after_event);
        let broke = told.status == 200 && !told.whole || number > 0 && told.status != 200;
        if kind.repeat != RouteKind::ResumableStream || !broke || after_event == 0 {
            return;
        }
        let instance = rng.random_range(0..instances.len());
        let id = format!("{began}-r{number}");
        let resumed = Some(Resumed {
            began: began.clone(),
            after_event,
        });
        let attempt = Attempt {
            kind,
            id: &id,
            key: calling.key,
            deadline: calling.deadline,
            resumed,
            culprit: None,
        };
        let Some((next, _)) = call(kind.route, attempt, instance, instances[instance], None).await
        else {
            return;
        };
        tellings.add(next.clone());
        told = next;
    }
}

/// Returns the last event of a body that came whole.
fn last_event(body: &str) -> Option<u64> {
    let (whole, _) = body.rsplit_once("\n\n")?;
    let mut ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.next_back()?.parse().ok()
}

/// One request of a caller.
pub(super) struct Attempt<'a> {
    pub(super) kind: Kind,
    pub(super) id: &'a str,
    pub(super) key: &'a str,
    pub(super) deadline: Duration,
    pub(super) resumed: Option<Resumed>,
    /// Crashes the upstream that runs the request.
    pub(super) culprit: Option<Culprit>,
}

/// Makes one request; `None` when no connection could be had. Gives the connection back if it can be used again.
pub(super) async fn call(
    route: &str,
    attempt: Attempt<'_>,
    instance: usize,
    address: SocketAddr,
    connection: Option<TcpStream>,
) -> Option<(Told, Option<TcpStream>)> {
    let Attempt {
        kind,
        id,
        key,
        deadline,
        resumed,
        culprit,
    } = attempt;
    let mut stream = match connection {
        Some(stream) => stream,
        None => timeout(CONNECT_TIME, TcpStream::connect(address))
            .await
            .ok()?
            .ok()?,
    };
    let mut shared_parts = Vec::new();
    if kind.repeat.is_stream() {
        shared_parts.push(family_of(id));
    }
    if culprit == Some(Culprit::Part) {
        shared_parts.push(CULPRIT_PART);
    }
    let text = request_text(&CallerRequest {
        route,
        id,
        key,
        deadline,
        pieces: kind.staged.then_some(PIECES),
        path: if culprit == Some(Culprit::Request) {
            CULPRIT_PATH
        } else {
            id
        },
        shared_parts: &shared_parts,
        resumption: resumed.as_ref().map(|resumed| Resumption {
            began: &resumed.began,
            after_event: resumed.after_event,
        }),
    });
    let sent = Instant::now();
    let mut told = Told {
        request: id.to_owned(),
        route: route.to_owned(),
        key: key.to_owned(),
        repeat: kind.repeat,
        resumed,
        instance,
        sent,
        ended: sent,
        deadline,
        status: 0,
        names: None,
        sealed: false,
        body: String::new(),
        whole: false,
    };
    let mut keep = false;
    if stream.write_all(text.as_bytes()).await.is_ok() {
        keep = read_answer(&mut stream, &mut told, sent + deadline + LISTENS_ON).await;
    }
    told.ended = Instant::now();
    Some((told, keep.then_some(stream)))
}

/// Returns one of a few families of prompts.
fn family_of(id: &str) -> u64 {
    let sum: u64 = id.bytes().map(u64::from).sum();
    sum % PROMPT_FAMILIES
}
