//! Lists of thousands of objects.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::Method;
use serde_json::{Value, json};
use tc_platform::{
    Freshness, KindDialect, ListPage, Purpose, Store, StoreError, StoreSettings, StoredObject,
    WatchPage,
};
use tc_protocol::StoreRevision;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::sleep,
};

const PAGE_OBJECTS: usize = 200;
/// Time without a new call after which the store answers all waiting calls.
const QUIET_TIME: Duration = Duration::from_millis(20);

/// Marks an object in the body of a page that cannot be decoded.
const ODD_SUFFIX: &str = "!";

/// Objects are named by numbers; a page's body is its names, and a last line that tells whether more follow.
const fn at(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

const DIALECT: KindDialect = KindDialect {
    list_path: |kind, after, _| format!("/{kind}/{}", after.unwrap_or("0")),
    read_era: |headers| u16::from(headers.contains_key("restored")),
    read_list: |era, body| {
        let text = std::str::from_utf8(body).ok()?;
        let (names, more) = text.rsplit_once('\n')?;
        let names: Vec<&str> = names.lines().filter(|name| !name.is_empty()).collect();
        let (odd, named): (Vec<&str>, Vec<&str>) =
            names.iter().partition(|name| name.ends_with(ODD_SUFFIX));
        let items = named.into_iter().map(|name| StoredObject {
            name: name.into(),
            revision: at(1),
            value: Arc::default(),
        });
        Some(ListPage {
            items: items.collect(),
            has_more: more == "more",
            revision: StoreRevision { era, number: 7 },
            unreadable: odd.iter().map(|name| format!("{name} is odd")).collect(),
            last_name: names
                .last()
                .map(|name| name.trim_end_matches(ODD_SUFFIX).into()),
            bytes: body.len(),
        })
    },
    watch_path: |kind, _, _| format!("/{kind}"),
    read_watch: |_, _| {
        Some(WatchPage {
            events: Vec::new(),
            revision: at(1),
            unreadable: Vec::new(),
        })
    },
    create: |kind, _, _| (Method::POST, format!("/{kind}"), json!({})),
    replace: |kind, _, _: &Value| (Method::PUT, format!("/{kind}"), json!({})),
    history_gone: 410,
};

fn name(number: usize) -> Arc<str> {
    format!("{number:06}").into()
}

fn names(numbers: impl Iterator<Item = usize>) -> BTreeSet<Arc<str>> {
    numbers.map(name).collect()
}

/// A store that answers all waiting calls together, so that the rounds of answers show how many calls follow each other.
struct RoundStore {
    address: SocketAddr,
    calls: Arc<AtomicUsize>,
    rounds: watch::Receiver<usize>,
}

impl RoundStore {
    /// Starts a store with the objects 1 to `objects`.
    async fn start(objects: usize) -> Self {
        Self::start_restored(objects, usize::MAX).await
    }

    /// Starts a store that is restored before it answers pages that begin after the object `restored_after`.
    async fn start_restored(objects: usize, restored_after: usize) -> Self {
        Self::start_with(objects, restored_after, |_| false).await
    }

    /// Starts a store of which some objects cannot be decoded.
    async fn start_with(objects: usize, restored_after: usize, is_odd: fn(usize) -> bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let calls = Arc::<AtomicUsize>::default();
        let (round, rounds) = watch::channel(0);
        let (counted, answered) = (Arc::clone(&calls), rounds.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counted.fetch_add(1, Ordering::Relaxed);
                let answered = answered.clone();
                tokio::spawn(answer(stream, objects, restored_after, is_odd, answered));
            }
        });
        let counted = Arc::clone(&calls);
        tokio::spawn(async move {
            let mut calls_answered = 0;
            loop {
                let before = counted.load(Ordering::Relaxed);
                sleep(QUIET_TIME).await;
                if counted.load(Ordering::Relaxed) == before && before > calls_answered {
                    calls_answered = before;
                    round.send_modify(|rounds| *rounds += 1);
                }
            }
        });
        Self {
            address,
            calls,
            rounds,
        }
    }

    fn client(&self) -> Store {
        Store::new(StoreSettings {
            address: self.address,
            calls_per_s: 1_000_000.0,
            timeout: Duration::from_secs(10),
        })
    }
}

/// Answers one request on a connection with the next round.
async fn answer(
    mut stream: TcpStream,
    objects: usize,
    restored_after: usize,
    is_odd: fn(usize) -> bool,
    mut rounds: watch::Receiver<usize>,
) {
    rounds.mark_unchanged();
    let mut buf = [0; 4_096];
    let count = stream.read(&mut buf).await.unwrap();
    let head = std::str::from_utf8(&buf[..count]).unwrap();
    let path = head.split(' ').nth(1).unwrap();
    let after: usize = path.rsplit('/').next().unwrap().parse().unwrap();
    rounds.changed().await.unwrap();
    let end = (after + PAGE_OBJECTS).min(objects);
    let suffix = |n| if is_odd(n) { ODD_SUFFIX } else { "" };
    let names = (after + 1..=end).map(|n| format!("{n:06}{}\n", suffix(n)));
    let mut body: String = ["\n".to_owned()].into_iter().chain(names).collect();
    body.push_str(if end < objects { "more" } else { "end" });
    let era = if after >= restored_after {
        "restored: 1\r\n"
    } else {
        ""
    };
    let length = body.len();
    let head = format!("HTTP/1.1 200 OK\r\n{era}content-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
}

/// Returns the calls and the rounds of answers that a list takes, of which all objects are known.
async fn cost_of_list(objects: usize) -> (usize, usize) {
    let server = RoundStore::start(objects).await;
    let known = names(1..=objects);
    let store = server.client();
    let list = store.list_known_kind(Purpose::Registry, &DIALECT, "kind", &known);
    let list = list.await.unwrap();
    let listed: Vec<Arc<str>> = list.items.into_iter().map(|object| object.name).collect();
    assert!(listed.iter().eq(known.iter()), "all in order, once each");
    assert!(list.has_more, "it took more than one page");
    let rounds = *server.rounds.borrow();
    (server.calls.load(Ordering::Relaxed), rounds)
}

/// Guards against a list that takes longer than the age at which a confirmation has to be renewed, because its pages are
/// read one after the other.
#[tokio::test]
async fn time_of_a_list_does_not_grow_with_the_number_of_objects() {
    for objects in [1_000, 10_000, 20_000] {
        let (calls, rounds) = cost_of_list(objects).await;
        assert!(rounds <= 14, "{objects} objects: {rounds} calls in a row");
        let fewest = objects.div_ceil(PAGE_OBJECTS);
        assert!(calls <= fewest + fewest / 10, "{objects} objects: {calls}");
    }
}

/// Guards against objects that are missed or listed twice because the known names are not those that exist.
#[tokio::test]
async fn known_names_do_not_change_what_is_listed() {
    let all: Vec<Arc<str>> = (1..=6_000).map(name).collect();
    let few = names(5_990..=5_995);
    let gone = names((1..=6_000).chain(9_000..=14_000));
    let sparse = names((1..=6_000).step_by(2));
    let early = names((1..=900_000).step_by(150));
    for known in [BTreeSet::new(), few, gone, sparse, early] {
        let server = RoundStore::start(6_000).await;
        let store = server.client();
        let list = store.list_known_kind(Purpose::Registry, &DIALECT, "kind", &known);
        let list = list.await.unwrap();
        let listed = list.items.iter().map(|object| &object.name);
        assert!(listed.eq(&all), "{} known names", known.len());
        assert_eq!(list.revision, at(7));
    }
    let server = RoundStore::start(6_000).await;
    let store = server.client();
    let list = store.list_kind(Purpose::Registry, &DIALECT, "kind", Freshness::Current);
    assert_eq!(list.await.unwrap().items.len(), all.len());
}

/// Guards against a list whose pages are from before and after a restore of the store, which shows a state that never
/// was.
#[tokio::test]
async fn list_that_spans_a_restore_fails() {
    for known in [BTreeSet::new(), names(1..=6_000)] {
        let server = RoundStore::start_restored(6_000, 4_000).await;
        let store = server.client();
        let list = store.list_known_kind(Purpose::Registry, &DIALECT, "kind", &known);
        assert_eq!(list.await.err(), Some(StoreError::Restored));
    }
}

/// Guards against a list that ends before a page of objects of another writer: every upstream after them was dropped, as
/// the part before them was taken for the whole list.
#[tokio::test]
async fn a_page_of_objects_that_cannot_be_decoded_does_not_end_a_list() {
    let is_odd = |n: usize| (401..=600).contains(&n) || n == 1_000;
    let server = RoundStore::start_with(1_000, usize::MAX, is_odd).await;
    let store = server.client();
    let list = store.list_kind(Purpose::Registry, &DIALECT, "kind", Freshness::Current);
    let list = list.await.unwrap();
    assert_eq!((list.items.len(), list.unreadable.len()), (799, 201));
    let known = names(1..=6_000);
    let store = server.client();
    let list = store.list_known_kind(Purpose::Registry, &DIALECT, "kind", &known);
    assert_eq!(list.await.unwrap().items.len(), 799);
}
