//! Tests of lists and watches on connections that stop responding.

use std::{net::SocketAddr, time::Duration};

use http::Method;
use serde_json::{Value, json};
use tc_platform::{
    Freshness, KindDialect, ListPage, Purpose, Store, StoreSettings, WatchPage, WatchResult,
};
use tc_protocol::StoreRevision;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

const TIMEOUT: Duration = Duration::from_secs(2);

const fn at(number: u64) -> StoreRevision {
    StoreRevision { era: 0, number }
}

const DIALECT: KindDialect = KindDialect {
    list_path: |kind, _, _| format!("/{kind}"),
    read_era: |_| 0,
    read_list: |_, _| {
        Some(ListPage {
            items: Vec::new(),
            has_more: false,
            revision: at(1),
            unreadable: Vec::new(),
            last_name: None,
            bytes: 0,
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

/// Answers the first request on a connection, then keeps it open without responding.
async fn answer_first_request(mut stream: TcpStream) {
    let mut buf = [0; 4_096];
    let _ = stream.read(&mut buf).await;
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    let _ = stream.write_all(answer).await;
    sleep(Duration::from_mins(1)).await;
}

async fn start_server_answering_once_per_connection() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_first_request(stream));
        }
    });
    address
}

/// Guards against lists that wait for an answer on a pooled connection that no longer responds.
#[tokio::test]
async fn list_does_not_wait_on_an_unresponsive_pooled_connection() {
    let store = Store::new(StoreSettings {
        address: start_server_answering_once_per_connection().await,
        calls_per_s: 1_000.0,
        timeout: TIMEOUT,
    });
    let watch = store.watch_kind(Purpose::Config, &DIALECT, "kind", at(1), Duration::ZERO);
    watch.await.expect("the first call is answered");
    for _ in 0..3 {
        let asked = Instant::now();
        let list = store.list_kind(Purpose::Config, &DIALECT, "kind", Freshness::Current);
        list.await.expect("a new connection is answered");
        assert!(asked.elapsed() < TIMEOUT / 4, "{:?}", asked.elapsed());
    }
}

/// Guards against a watch that goes on from a number of an earlier era, and misses changes under numbers that were
/// assigned again.
#[tokio::test]
async fn watch_from_an_earlier_era_is_answered_with_history_gone() {
    let store = Store::new(StoreSettings {
        address: start_server_answering_once_per_connection().await,
        calls_per_s: 1_000.0,
        timeout: TIMEOUT,
    });
    let earlier = StoreRevision { era: 1, number: 1 };
    let watch = store.watch_kind(Purpose::Config, &DIALECT, "kind", earlier, Duration::ZERO);
    assert_eq!(watch.await, Ok(WatchResult::HistoryGone));
}
