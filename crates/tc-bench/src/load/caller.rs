//! One caller: asks which addresses to use, connects there itself, and notes what it was told.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Deserialize;
use tc_protocol::{
    InstanceId, Problem,
    wire::{self, CallerAddress},
};

use super::{
    addresses::Addresses,
    http::{Http, http_client},
    stream::{StreamEnd, StreamRead, read_stream},
};
use crate::judge::Told;

/// Time after the deadline until a missing answer counts as lost.
const GRACE: Duration = Duration::from_secs(1);
/// Least time a request is sent with.
const LEAST_TIMEOUT: Duration = Duration::from_millis(1);
/// Characters of an unexpected answer kept.
const MAX_WHY: usize = 60;

/// One request, ready to send.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Path on an instance.
    pub(crate) path: String,
    /// HTTP method.
    pub(crate) method: Method,
    /// Body.
    pub(crate) body: Bytes,
    /// Whether a stream is asked for.
    pub(crate) stream: bool,
    /// Idempotency key.
    pub(crate) key: Option<String>,
    /// Value that is echoed along with the key.
    pub(crate) binding: Binding,
    /// Priority asked for.
    pub(crate) priority: Option<u8>,
    /// Time left until the deadline.
    pub(crate) timeout: Duration,
    /// The only right answer.
    pub(crate) expected: Expected,
}

/// The instance's binding as a caller echoes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Binding {
    /// Not echoed.
    None,
    /// That of the instance the request is sent to.
    Receiver,
    /// That of the first send, whichever instance a resend reaches.
    First(String),
}

/// Contents of a correct answer.
#[derive(Clone, Debug)]
pub(crate) enum Expected {
    /// The member `output` of a pipeline's JSON answer, or a stream's whole text.
    Output(String),
    /// A plain service's JSON answer.
    Json(serde_json::Value),
}

/// Result of a request.
pub(crate) struct Reply {
    pub(crate) told: Told,
    pub(crate) ended_at: Instant,
    pub(crate) request_id: Option<String>,
    pub(crate) instance: Option<InstanceId>,
    /// The instance it was sent to at first; `None` when nothing keeps track of resends.
    pub(crate) first_instance: Option<InstanceId>,
    pub(crate) binding: Option<String>,
    /// Text of a stream.
    pub(crate) text: String,
    pub(crate) event_ids: Vec<u64>,
    pub(crate) first_ms: Option<f64>,
    pub(crate) between_ms: Vec<f64>,
}

impl Reply {
    fn ended(told: Told) -> Self {
        Self {
            told,
            ended_at: Instant::now(),
            request_id: None,
            instance: None,
            first_instance: None,
            binding: None,
            text: String::new(),
            event_ids: Vec::new(),
            first_ms: None,
            between_ms: Vec::new(),
        }
    }
}

#[derive(Deserialize)]
struct PipelineAnswer {
    output: String,
}

/// One caller with its own connections and its own address answer.
pub(crate) struct Caller {
    token: String,
    http: Http,
    addresses: Addresses,
}

impl Caller {
    /// A caller of `workspace` that knows `entries` from its settings.
    pub(crate) fn new(workspace: &str, token: &str, entries: Vec<SocketAddr>) -> Self {
        Self {
            token: token.to_owned(),
            http: http_client(),
            addresses: Addresses::new(workspace, token, entries),
        }
    }

    /// Sends a request to the best address that accepts a connection; times in the reply count from `start`.
    pub(crate) async fn send(&self, request: &Request, start: Instant) -> Reply {
        let addresses = self.addresses.current(&self.http).await;
        self.send_to(request, &addresses, start).await
    }

    /// Addresses the caller would use now.
    pub(crate) async fn current_addresses(&self) -> Vec<CallerAddress> {
        self.addresses.current(&self.http).await
    }

    /// Sends a request to the first of `addresses` that accepts a connection.
    pub(crate) async fn send_to(
        &self,
        request: &Request,
        addresses: &[CallerAddress],
        start: Instant,
    ) -> Reply {
        for address in addresses {
            let Ok(req) = self.build(request, address, start) else {
                return Reply::ended(Told::NotSent);
            };
            let limit = start + request.timeout + GRACE;
            let attempt = self.exchange(req, request, start);
            let mut reply = match tokio::time::timeout_at(limit.into(), attempt).await {
                Err(_) => Reply::ended(Told::Silent),
                Ok(Err(e)) if e.is_connect() => continue,
                Ok(Err(_)) => Reply::ended(Told::Broken),
                Ok(Ok(reply)) => reply,
            };
            reply.instance = Some(address.id.clone());
            reply.binding = Some(address.binding.clone());
            return reply;
        }
        Reply::ended(Told::NotSent)
    }

    fn build(
        &self,
        request: &Request,
        address: &CallerAddress,
        start: Instant,
    ) -> Result<http::Request<Full<Bytes>>, http::Error> {
        let accept = if request.stream {
            "text/event-stream"
        } else {
            "application/json"
        };
        // A resend, or a request that waited for an address answer, has less time left than at first.
        let left = request
            .timeout
            .saturating_sub(start.elapsed())
            .max(LEAST_TIMEOUT);
        let mut builder = http::Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{}{}", address.address, request.path))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .header(header::CONTENT_TYPE, "application/json")
            .header(header::ACCEPT, accept)
            .header(wire::TIMEOUT_MS, left.as_millis().to_string());
        if let Some(priority) = request.priority {
            builder = builder.header(wire::PRIORITY, format!("u={priority}"));
        }
        if let Some(key) = &request.key {
            builder = builder.header(wire::IDEMPOTENCY_KEY, key);
        }
        builder = match &request.binding {
            Binding::None => builder,
            Binding::Receiver => builder.header(wire::INSTANCE_BINDING, &address.binding),
            Binding::First(first) => builder.header(wire::INSTANCE_BINDING, first),
        };
        builder.body(Full::new(request.body.clone()))
    }

    async fn exchange(
        &self,
        req: http::Request<Full<Bytes>>,
        request: &Request,
        start: Instant,
    ) -> Result<Reply, hyper_util::client::legacy::Error> {
        let resp = self.http.request(req).await?;
        let request_id = text_header(resp.headers(), wire::REQUEST_ID);
        let mut reply = if is_stream(&resp) {
            streamed(read_stream(resp.into_body(), start).await, request)
        } else {
            whole(resp, request).await
        };
        reply.request_id = request_id;
        Ok(reply)
    }
}

fn text_header(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn is_stream(resp: &Response<Incoming>) -> bool {
    resp.status().is_success()
        && text_header(resp.headers(), header::CONTENT_TYPE.as_str())
            .is_some_and(|t| t.starts_with("text/event-stream"))
}

fn streamed(read: StreamRead, request: &Request) -> Reply {
    let told = match read.end {
        StreamEnd::Done => Told::Answered {
            right: request.stream
                && matches!(&request.expected, Expected::Output(text) if *text == read.text),
        },
        StreamEnd::Problem(problem) => Told::Failed {
            status: problem.as_ref().map_or(200, |p| p.status),
            run_state: problem.as_ref().map(|p| p.run_state),
            why: problem.map_or_else(|| "unreadable problem event".to_owned(), |p| p.title),
        },
        StreamEnd::Broken => Told::Broken,
    };
    Reply {
        text: read.text,
        event_ids: read.event_ids,
        first_ms: read.first_ms,
        between_ms: read.between_ms,
        ..Reply::ended(told)
    }
}

async fn whole(resp: Response<Incoming>, request: &Request) -> Reply {
    let status = resp.status();
    let Ok(body) = resp.into_body().collect().await else {
        return Reply::ended(Told::Broken);
    };
    let body = body.to_bytes();
    let told = if status.is_success() {
        Told::Answered {
            right: is_right(&body, request),
        }
    } else {
        failure(status, &body)
    };
    Reply::ended(told)
}

fn is_right(body: &Bytes, request: &Request) -> bool {
    match &request.expected {
        Expected::Output(text) => {
            !request.stream
                && serde_json::from_slice::<PipelineAnswer>(body).is_ok_and(|a| a.output == *text)
        }
        Expected::Json(value) => {
            serde_json::from_slice::<serde_json::Value>(body).is_ok_and(|v| v == *value)
        }
    }
}

fn failure(status: StatusCode, body: &Bytes) -> Told {
    let problem: Option<Problem> = serde_json::from_slice(body).ok();
    let text = || {
        String::from_utf8_lossy(body)
            .chars()
            .take(MAX_WHY)
            .collect()
    };
    Told::Failed {
        status: status.as_u16(),
        run_state: problem.as_ref().map(|p| p.run_state),
        why: problem.map_or_else(text, |p| p.title),
    }
}
