//! Contract of the admin interface.

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Empty};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};

use crate::world::{KNOWN_REQUEST, TOKEN, World};

struct Answer {
    status: StatusCode,
    headers: http::HeaderMap,
    body: String,
}

fn call(world: &World, method: &str, path: &str, authorization: Option<&str>) -> Answer {
    let mut req = Request::builder()
        .method(Method::from_bytes(method.as_bytes()).expect("a method"))
        .uri(format!("http://{}{path}", world.admin));
    if let Some(value) = authorization {
        req = req.header(header::AUTHORIZATION, value);
    }
    let req = req.body(Empty::<Bytes>::new()).expect("a request");
    world.block_on(async {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let (parts, body) = client.request(req).await.expect("an answer").into_parts();
        let body = body.collect().await.expect("a body").to_bytes();
        Answer {
            status: parts.status,
            headers: parts.headers,
            body: String::from_utf8(body.to_vec()).expect("UTF-8"),
        }
    })
}

/// Method, path, status, and a part of the body.
#[rustfmt::skip]
const CASES: &[(&str, &str, u16, &str)] = &[
    ("GET", "/admin/status", 200, "\"lowest_revision\":0"),
    ("GET", "/admin/upstreams", 200, "\"service_ms\":41.5"),
    ("GET", "/admin/workspaces", 200, "\"wasted_ms\":41.5"),
    ("GET", "/admin/explain/kl-a-1-19b0c5-2f", 200, "\"what\":\"admitted\""),
    ("GET", "/admin/explain/unknown", 404, "nothing is kept"),
    ("GET", "/admin/explain/", 404, "no such path"),
    ("GET", "/admin/explain/a%2Fb", 404, "no such path"),
    ("POST", "/admin/drain/upstream/gen-1", 200, "{}"),
    ("DELETE", "/admin/drain/upstream/gen-1", 200, "{}"),
    ("POST", "/admin/drain/instance/kl-a-2", 200, "{}"),
    ("POST", "/admin/drain/instance/kl-a-1", 409, "last live instance"),
    ("POST", "/admin/drain/upstream/gen-9", 503, "cannot be reached"),
    ("POST", "/admin/drain/upstream/none", 404, "no such upstream"),
    ("GET", "/admin/drain/upstream/gen-1", 405, "wrong method"),
    ("POST", "/admin/status", 405, "wrong method"),
    ("GET", "/metrics", 200, "tc_requests_total 3"),
    ("GET", "/", 404, "no such path"),
    ("GET", "/admin/status/", 404, "no such path"),
];

#[test]
fn each_path_answers_as_agreed() {
    let world = World::new();
    let bearer = format!("Bearer {TOKEN}");
    for (method, path, status, part) in CASES {
        let answer = call(&world, method, path, Some(&bearer));
        assert_eq!(
            answer.status.as_u16(),
            *status,
            "{method} {path}: {}",
            answer.body
        );
        assert!(
            answer.body.contains(part),
            "{method} {path}: {}",
            answer.body
        );
    }
}

#[test]
fn nothing_but_health_is_told_without_the_token() {
    let world = World::new();
    let wrong = [
        None,
        Some("Bearer wrong"),
        Some("Bearer "),
        Some(TOKEN),
        Some("Basic b3BlcmF0b3I="),
    ];
    for authorization in wrong {
        for (method, path, ..) in CASES {
            let answer = call(&world, method, path, authorization);
            assert_eq!(
                answer.status,
                StatusCode::UNAUTHORIZED,
                "{method} {path} {authorization:?}"
            );
            assert!(answer.headers.contains_key(header::WWW_AUTHENTICATE));
        }
        let health = call(&world, "GET", "/health", authorization);
        assert_eq!(health.status, StatusCode::OK);
        assert_eq!(health.body, "{\"health\":\"ok\"}\n");
    }
}

#[test]
fn a_wrong_method_is_told_which_are_allowed() {
    let world = World::new();
    let bearer = format!("Bearer {TOKEN}");
    let answer = call(&world, "PUT", "/admin/drain/instance/kl-a-2", Some(&bearer));
    assert_eq!(answer.headers[header::ALLOW], "POST, DELETE");
    let answer = call(
        &world,
        "DELETE",
        &format!("/admin/explain/{KNOWN_REQUEST}"),
        Some(&bearer),
    );
    assert_eq!(answer.headers[header::ALLOW], "GET");
}

#[test]
fn a_command_with_a_wrong_token_says_so() {
    let mut world = World::new();
    world
        .variables
        .insert("TANAGERCROFT_OPERATOR_TOKEN".to_owned(), "wrong".to_owned());
    let refused = world.expect(tc_operator::Exit::Usage, "status --admin 127.0.0.1:9300");
    assert!(
        refused.err.contains("does not accept this token"),
        "{refused:?}"
    );
    world.variables.clear();
    let missing = world.expect(tc_operator::Exit::Usage, "status --admin 127.0.0.1:9300");
    assert!(
        missing.err.contains("TANAGERCROFT_OPERATOR_TOKEN"),
        "{missing:?}"
    );
}
