//! Contract of the platform: conditional writes, lists, watches, the size limit and the instance list.

mod common;

use std::time::Duration;

use common::{Call, answer, any, create, value};
use http::{Method, StatusCode};
use serde_json::json;
use tc_protocol::wire::{InstanceList, ListedInstance, ListedState, MAX_OBJECT_BYTES, ObjectList};
use tc_stand_ins::{Platform, RateLimits};

const PATH: &str = "/objects/lease/generate";

/// A call on one object whose state is given, and what must come of it.
struct Case {
    name: &'static str,
    /// Versions written before, the last of which is in force.
    writes: u64,
    call: Call,
    status: StatusCode,
    /// Version in the answer.
    version: Option<u64>,
    /// Version in force afterwards.
    then: Option<u64>,
}

fn put(pre: (&'static str, &str)) -> Call {
    Call::put(PATH, pre, &value(9))
}

fn delete(pre: (&'static str, &str)) -> Call {
    Call::new(Method::DELETE, PATH).header(pre.0, pre.1)
}

fn sized(bytes: usize) -> Call {
    let text = "x".repeat(bytes - 2);
    Call::new(Method::PUT, PATH)
        .header("if-none-match", "*")
        .body(format!("\"{text}\""))
}

#[rustfmt::skip]
fn cases() -> Vec<Case> {
    let case = |name, writes, call, status: u16, version, then| Case {
        name, writes, call, status: StatusCode::from_u16(status).unwrap(), version, then,
    };
    let raw = |body: &'static [u8]| Call::new(Method::PUT, PATH).header("if-none-match", "*").body(body);
    vec![
        case("read of nothing",           0, Call::get(PATH),                          404, None,    None),
        case("read",                      2, Call::get(PATH),                          200, Some(2), Some(2)),
        case("create",                    0, put(("if-none-match", "*")),              200, Some(1), Some(1)),
        case("create over an object",     1, put(("if-none-match", "*")),              412, Some(1), Some(1)),
        case("update",                    2, put(("if-match", "\"2\"")),               200, Some(3), Some(3)),
        case("update of an old version",  2, put(("if-match", "\"1\"")),               412, Some(2), Some(2)),
        case("update of nothing",         0, put(("if-match", "\"1\"")),               412, None,    None),
        case("write without precondition", 1, Call::new(Method::PUT, PATH).body("1"),  428, None,    Some(1)),
        case("malformed version",         1, put(("if-match", "1")),                   400, None,    Some(1)),
        case("not JSON",                  0, raw(b"{"),                                400, None,    None),
        case("not UTF-8",                 0, raw(b"\"\xff\""),                         400, None,    None),
        case("largest value",             0, sized(MAX_OBJECT_BYTES),                  200, Some(1), Some(1)),
        case("too large a value",         0, sized(MAX_OBJECT_BYTES + 1),              413, None,    None),
        case("delete",                    2, delete(("if-match", "\"2\"")),            204, None,    None),
        case("delete of an old version",  2, delete(("if-match", "\"1\"")),            412, Some(2), Some(2)),
        case("watch that is behind",      2, Call::get(&format!("{PATH}?watch=1")),    200, Some(2), Some(2)),
        case("watch that sees no change", 2, Call::get(&format!("{PATH}?watch=2&timeout_ms=20")), 304, None, Some(2)),
        case("watch of a deleted object", 0, Call::get(&format!("{PATH}?watch=7")),    404, None,    None),
        case("watch of no number",        1, Call::get(&format!("{PATH}?watch=x")),    400, None,    Some(1)),
        case("other method",              1, Call::new(Method::POST, PATH),            405, None,    Some(1)),
        case("other path",                1, Call::get("/elsewhere"),                  404, None,    Some(1)),
    ]
}

#[tokio::test]
async fn calls_on_one_object() {
    for case in cases() {
        let platform = Platform::start(any()).await.unwrap();
        let address = platform.address();
        if case.writes > 0 {
            create(address, PATH, &value(1)).await;
        }
        for version in 1..case.writes {
            let etag = format!("\"{version}\"");
            let write = Call::put(PATH, ("if-match", &etag), &value(version + 1));
            assert_eq!(answer(address, &write).await.status, StatusCode::OK);
        }
        let reply = answer(address, &case.call).await;
        assert_eq!(reply.status, case.status, "{}", case.name);
        assert_eq!(reply.version(), case.version, "{}", case.name);
        let then = platform.object("lease", "generate");
        assert_eq!(then.map(|(version, _)| version), case.then, "{}", case.name);
    }
}

#[tokio::test]
async fn versions_rise_over_all_objects_and_the_past_is_kept() {
    let platform = Platform::start(any()).await.unwrap();
    let address = platform.address();
    assert_eq!(create(address, PATH, &value(1)).await, 1);
    assert_eq!(create(address, "/objects/claim/0", &value(2)).await, 2);
    let delete = Call::new(Method::DELETE, PATH).header("if-match", "\"1\"");
    answer(address, &delete).await;
    assert!(create(address, PATH, &value(3)).await > 2);
    let history = platform.history("lease", "generate");
    let values: Vec<_> = history.into_iter().map(|(_, value)| value).collect();
    assert_eq!(values, [value(1), value(3)]);
}

#[tokio::test]
async fn a_list_has_the_objects_of_its_kind_by_name() {
    let platform = Platform::start(any()).await.unwrap();
    let address = platform.address();
    for path in [
        "/objects/b/z",
        "/objects/b/a",
        "/objects/a/x",
        "/objects/bb/y",
    ] {
        create(address, path, &json!(path)).await;
    }
    let list = answer(address, &Call::get("/objects/b")).await;
    let list: ObjectList = serde_json::from_slice(&list.body).unwrap();
    let names: Vec<_> = list.items.iter().map(|item| &*item.name).collect();
    assert_eq!(names, ["a", "z"]);
    assert_eq!(list.items[1].value, json!("/objects/b/z"));
    assert_eq!(platform.calls()["list b"], 1);
    assert_eq!(platform.calls()["put b"], 2);
}

#[tokio::test]
async fn a_watch_of_version_0_answers_on_creation() {
    let platform = Platform::start(any()).await.unwrap();
    let address = platform.address();
    let watch = Call::get(&format!("{PATH}?watch=0&timeout_ms=5000"));
    let watching = tokio::spawn(async move { answer(address, &watch).await });
    common::until("the watch came", || {
        platform.calls().contains_key("watch lease")
    })
    .await;
    create(address, "/objects/lease/other", &value(1)).await;
    assert!(!watching.is_finished());
    let version = create(address, PATH, &value(2)).await;
    let reply = watching.await.unwrap();
    assert_eq!((reply.version(), reply.json()), (Some(version), value(2)));
}

#[tokio::test]
async fn calls_above_the_rates_are_told_when_to_come_again() {
    let platform = Platform::start(any()).await.unwrap();
    let limits = RateLimits {
        writes_per_s: 0.01,
        reads_per_s: 0.01,
    };
    platform.faults().set_rate_limits(Some(limits));
    let address = platform.address();
    create(address, PATH, &value(1)).await;
    let second = Call::put(PATH, ("if-match", "\"1\""), &value(2));
    for (call, allowed) in [
        (&second, false),
        (&Call::get(PATH), true),
        (&Call::get(PATH), false),
    ] {
        let reply = answer(address, call).await;
        let refused = reply.status == StatusCode::TOO_MANY_REQUESTS;
        assert_eq!(refused, !allowed);
        assert_eq!(reply.header("retry-after").is_some(), refused);
    }
    platform.faults().set_rate_limits(None);
    assert_eq!(answer(address, &second).await.status, StatusCode::OK);
}

#[tokio::test]
async fn the_instance_list_shows_the_past() {
    let platform = Platform::start(any()).await.unwrap();
    let instance = |state| ListedInstance {
        id: "kl-a-1".into(),
        service: None,
        address: any(),
        failure_domain: "kl-a".into(),
        region: "kl".into(),
        state,
    };
    platform.put_instance(instance(ListedState::Live));
    tokio::time::sleep(Duration::from_millis(1_050)).await;
    platform.put_instance(instance(ListedState::Leaving));
    let cases = [
        (Duration::ZERO, 2, Some(ListedState::Leaving)),
        (Duration::from_secs(1), 1, Some(ListedState::Live)),
        (Duration::from_mins(10), 0, None),
    ];
    for (lag, version, state) in cases {
        platform.faults().set_list_lag(lag);
        let list = answer(platform.address(), &Call::get("/instances")).await;
        let list: InstanceList = serde_json::from_slice(&list.body).unwrap();
        assert_eq!(list.version, version);
        assert_eq!(list.instances.first().map(|listed| listed.state), state);
    }
    platform.faults().set_list_lag(Duration::ZERO);
    platform.remove_instance("kl-a-1");
    let list = answer(platform.address(), &Call::get("/instances")).await;
    assert_eq!(list.json()["instances"], json!([]));
}
