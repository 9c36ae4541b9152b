//! `POST /v1/completions`: whole answers and streams.

use std::sync::Arc;

use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use tc_protocol::{
    RequestId, RunState,
    wire::{
        CompletionChoice, CompletionRequest, CompletionResponse, LAST_EVENT_ID, RUN_STATE, Usage,
    },
};

use super::{
    State,
    batch::{generate, prompt_tokens},
    stream::StreamJob,
};
use crate::{
    answer::{Answer, Body, json, refusal},
    output::{crashes, engine_output},
    recorder::{CallGuard, Ending},
    sync::lock,
    upstream::{Call, EVENT_STREAM, Identity, SlotGuard, echoed, header_text},
};

/// Why a completion ended: it always has as many tokens as were asked for.
const FINISH_REASON: &str = "length";

/// A completion call that was read and recorded.
struct Completion {
    identity: Identity,
    request: RequestId,
    req: CompletionRequest,
    guard: CallGuard,
}

pub(super) async fn complete(state: &Arc<State>, call: &Call) -> Answer {
    let headers = &call.parts.headers;
    let req: CompletionRequest = match serde_json::from_slice(&call.body) {
        Ok(req) => req,
        Err(error) => return Ok(refusal(StatusCode::BAD_REQUEST, &error.to_string())),
    };
    let identity = Identity::from_headers(headers);
    let Some(request) = identity.request.clone() else {
        return Ok(refusal(StatusCode::BAD_REQUEST, "no x-request-id"));
    };
    if req.stream
        && let Some(resp) = state.join(&identity, headers)
    {
        return Ok(resp);
    }
    let guard = state
        .upstream
        .record(&identity, headers, req.prompt.as_bytes());
    if !state.orders.runs(&req.model) {
        guard.end(Ending::Refused);
        return Ok(not_loaded());
    }
    let completion = Completion {
        identity,
        request,
        req,
        guard,
    };
    if completion.req.stream {
        Ok(state.stream(completion, headers))
    } else {
        state.whole(completion, headers).await
    }
}

impl State {
    /// Joins a stream that exists already: resumed after the last event named, or from the start by a repeated call.
    fn join(&self, identity: &Identity, headers: &HeaderMap) -> Option<Response<Body>> {
        let after = match header_text(headers, LAST_EVENT_ID) {
            None => None,
            Some(id) => match id.parse::<u64>() {
                Ok(id) => Some(id),
                Err(_) => return Some(refusal(StatusCode::BAD_REQUEST, "malformed last-event-id")),
            },
        };
        let job = lock(&self.streams).get(identity).cloned();
        match (job, after) {
            (Some(job), Some(after)) => Some(event_stream(
                job.resume(after, self.upstream.faults.stream_events()),
                headers,
            )),
            (Some(job), None) => Some(event_stream(
                job.read(0, self.upstream.faults.stream_events()),
                headers,
            )),
            // Running it again would be a second run that the caller did not ask for.
            (None, Some(after)) if after > 0 => {
                Some(refusal(StatusCode::GONE, "no such stream any more"))
            }
            (None, _) => None,
        }
    }

    async fn whole(&self, completion: Completion, headers: &HeaderMap) -> Answer {
        let Completion {
            request,
            req,
            mut guard,
            identity,
        } = completion;
        let (slot, usage) = self.dispatch(&mut guard, &req).await;
        if crashes(&req.prompt, identity.stage.as_ref().map(AsRef::as_ref)) {
            return Err(self.upstream.crash_by(guard));
        }
        generate(&self.cfg, &self.upstream, usage, false, |tokens| {
            guard.set_usage(Usage {
                completion_tokens: tokens,
                ..usage
            });
        })
        .await;
        drop(slot);
        guard.stop_busy();
        let choice = CompletionChoice {
            text: engine_output(&req.prompt, req.max_tokens),
            finish_reason: FINISH_REASON.to_owned(),
        };
        let mut resp = json(&CompletionResponse {
            id: request,
            choices: vec![choice],
            usage,
        });
        resp.headers_mut().extend(echoed(headers));
        guard.end(Ending::Answered);
        Ok(resp)
    }

    fn stream(self: &Arc<Self>, completion: Completion, headers: &HeaderMap) -> Response<Body> {
        let job = StreamJob::new(
            completion.request.clone(),
            &completion.req.prompt,
            completion.req.max_tokens,
        );
        let body = job.read(0, self.upstream.faults.stream_events());
        lock(&self.streams).insert(completion.identity.clone(), Arc::clone(&job));
        tokio::spawn(Arc::clone(self).run_stream(completion, job));
        event_stream(body, headers)
    }

    /// Generates a stream until it is delivered or abandoned, or the engine crashes; then forgets it.
    async fn run_stream(self: Arc<Self>, completion: Completion, job: Arc<StreamJob>) {
        let Completion {
            identity,
            req,
            mut guard,
            ..
        } = completion;
        let life = guard.life();
        let window = self.cfg.resume_window;
        let delivered = tokio::select! {
            biased;
            () = life.ended() => false,
            delivered = self.generate_stream(&identity, &req, &mut guard, &job) => delivered,
            () = job.abandoned(window) => false,
        };
        guard.set_resumes(job.resumes());
        if delivered {
            guard.end(Ending::Answered);
            // The last connection may have broken before the end arrived: it can still be read again for a while.
            tokio::select! {
                () = life.ended() => {}
                () = job.abandoned(window) => {}
            }
        } else {
            drop(guard);
        }
        job.kill();
        let mut streams = lock(&self.streams);
        if streams
            .get(&identity)
            .is_some_and(|known| Arc::ptr_eq(known, &job))
        {
            streams.remove(&identity);
        }
    }

    /// Returns whether the stream was delivered to its end.
    async fn generate_stream(
        &self,
        identity: &Identity,
        req: &CompletionRequest,
        guard: &mut CallGuard,
        job: &StreamJob,
    ) -> bool {
        let (slot, usage) = self.dispatch(guard, req).await;
        if crashes(&req.prompt, identity.stage.as_ref().map(AsRef::as_ref)) {
            self.upstream.crash(&guard.life());
            return false;
        }
        job.set_usage(usage);
        generate(&self.cfg, &self.upstream, usage, true, |tokens| {
            guard.set_usage(Usage {
                completion_tokens: tokens,
                ..usage
            });
            job.produce(tokens);
        })
        .await;
        drop(slot);
        guard.stop_busy();
        job.delivered().await;
        true
    }

    /// Waits for a slot, then begins the call.
    async fn dispatch(&self, guard: &mut CallGuard, req: &CompletionRequest) -> (SlotGuard, Usage) {
        let slot = self.upstream.slots.acquire(req.priority).await;
        guard.start();
        let prompt_tokens = prompt_tokens(&req.prompt);
        let incarnation = self.upstream.life().incarnation();
        let cached_tokens =
            lock(&self.prefixes).use_prefix(incarnation, &req.prompt, prompt_tokens);
        let usage = Usage {
            prompt_tokens,
            completion_tokens: req.max_tokens,
            cached_tokens,
        };
        guard.set_usage(Usage {
            completion_tokens: 0,
            ..usage
        });
        (slot, usage)
    }
}

/// The start of a streamed answer; a break of the stream shows as an error of the body.
fn event_stream(body: Body, headers: &HeaderMap) -> Response<Body> {
    let mut resp = Response::new(body);
    resp.headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(EVENT_STREAM));
    resp.headers_mut().extend(echoed(headers));
    resp
}

fn not_loaded() -> Response<Body> {
    let mut resp = refusal(StatusCode::NOT_FOUND, "model is not loaded");
    resp.headers_mut().insert(
        RUN_STATE,
        HeaderValue::from_static(RunState::NotRun.as_str()),
    );
    resp
}
