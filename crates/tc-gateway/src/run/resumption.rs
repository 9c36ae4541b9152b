//! Streams that a caller resumes in another request than the one that began them.

use std::time::Duration;

use http::{StatusCode, uri::PathAndQuery};
use tc_protocol::{
    MonoTime, ServiceName, UpstreamVersion,
    routing::{OriginRecord, Route, StreamKey, StreamOrigin},
};

use super::{Refusal, RoutedRequest, RunContext};
use crate::origins::{ContentMatch, OriginSource};

/// Time after the end of a caller's request for which the origin of its stream is kept.
const RETENTION_MARGIN: Duration = Duration::from_secs(2);
/// Longest time for which the origin of a stream is kept.
const MAX_RETENTION: Duration = Duration::from_mins(2);

/// Reason why a stream cannot be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unresumable {
    /// The request does not name the attempt that began the stream, and no stream with its content is recorded.
    NoAttempt,
    /// The request does not name the attempt, and the origins of streams with its content may be lost.
    Uncovered,
    /// No instance that answers has recorded the stream.
    UnknownOrigin,
    /// Instances have recorded different origins.
    Contradicted,
    /// The route does not go to the service that began the stream.
    OtherService,
}

impl Unresumable {
    const fn label(self) -> &'static str {
        match self {
            Self::NoAttempt => "no_attempt",
            Self::Uncovered => "uncovered",
            Self::UnknownOrigin => "unknown",
            Self::Contradicted => "contradicted",
            Self::OtherService => "other_service",
        }
    }

    fn refusal(self) -> Refusal {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        match self {
            // A later attempt does not know more: its stream began before the loss.
            Self::NoAttempt | Self::Uncovered => Refusal::without_retry(
                status,
                "the request does not name the attempt that began the stream",
            ),
            Self::UnknownOrigin => Refusal::not_run_transient(
                "the version of the upstream that began the stream is not known",
            ),
            Self::Contradicted => Refusal::without_retry(
                status,
                "several streams have the identifier of the attempt that began the stream",
            ),
            Self::OtherService => Refusal::without_retry(
                status,
                "the route does not go to the service that began the stream",
            ),
        }
    }
}

/// Binds a request that resumes a stream to the service and version that began it. Other requests are left as they are.
pub(super) async fn bind_to_origin(
    cx: &RunContext,
    req: &mut RoutedRequest,
) -> Result<(), Refusal> {
    let resumes = req.head.resume_after.is_some() || req.head.resumes.is_some();
    if !resumes || !req.route.kind.is_stream() {
        return Ok(());
    }
    let origin = find_origin(cx, req).await.map_err(|reason| {
        count(reason.label());
        log::info!(request = &*req.head.request, resumes = attempt(req), after_event = req.head.resume_after, reason = reason.label(); "a stream cannot be resumed");
        reason.refusal()
    })?;
    req.service = origin.service.clone();
    req.origin = Some(origin);
    Ok(())
}

async fn find_origin(cx: &RunContext, req: &RoutedRequest) -> Result<StreamOrigin, Unresumable> {
    cx.wait_for_membership().await;
    let (record, source) = if let Some(began) = &req.head.resumes {
        let key = attempt_key(req, began);
        let found = cx.origins.find_by_attempt(&cx.mesh, key).await;
        found.ok_or(Unresumable::UnknownOrigin)?
    } else {
        let (key, window) = (content_key(req), retention(req));
        match cx.origins.find_by_content(&cx.mesh, key, window).await {
            ContentMatch::Found(record, source) => (record, source),
            ContentMatch::Uncovered => return Err(Unresumable::Uncovered),
            ContentMatch::Unknown => return Err(Unresumable::NoAttempt),
        }
    };
    let origin = record.origin.ok_or(Unresumable::Contradicted)?;
    if !goes_to(&req.route, &origin.service) {
        return Err(Unresumable::OtherService);
    }
    count(match source {
        OriginSource::Here => "found_here",
        OriginSource::Instance(_) => "found_elsewhere",
    });
    log::info!(
        request = &*req.head.request,
        resumes = attempt(req),
        after_event = req.head.resume_after,
        version = origin.version.as_str(),
        source = source.label(),
        age_ms = MonoTime::now().since(record.began_at).as_millis() as u64,
        after_ms = req.arrived.elapsed().as_millis() as u64;
        "a caller resumes a stream"
    );
    Ok(origin)
}

/// Records the version with which the stream of a request began, if its caller may resume it.
pub(super) fn record_origin(
    cx: &RunContext,
    req: &RoutedRequest,
    version: Option<&UpstreamVersion>,
) {
    let Some(version) = version.filter(|_| req.route.kind.allows_retry()) else {
        return;
    };
    let now = MonoTime::now();
    let expires_at = now.after(retention(req));
    let began_by = req.head.resumes.as_ref().unwrap_or(&req.head.request);
    for key in [attempt_key(req, began_by), content_key(req)] {
        cx.origins.record(OriginRecord {
            key,
            origin: Some(StreamOrigin {
                service: req.service.clone(),
                version: version.clone(),
            }),
            began_at: now,
            expires_at,
        });
    }
}

/// Returns the time for which the caller may resume the stream of a request after it has begun.
fn retention(req: &RoutedRequest) -> Duration {
    let caller_waits = req.head.remaining.unwrap_or_default();
    let retention = caller_waits.max(req.route.timeout) + RETENTION_MARGIN;
    retention.min(MAX_RETENTION)
}

fn attempt_key(req: &RoutedRequest, attempt: &str) -> StreamKey {
    StreamKey::of_attempt(&req.workspace_name(), attempt)
}

fn content_key(req: &RoutedRequest) -> StreamKey {
    let path = req
        .parts
        .uri
        .path_and_query()
        .map_or("/", PathAndQuery::as_str);
    let prompt = req.head.prompt.as_ref();
    StreamKey::of_content(&req.workspace_name(), path, prompt, &req.body)
}

fn goes_to(route: &Route, service: &ServiceName) -> bool {
    let mut targets = route.targets.iter();
    targets.any(|(target, weight)| target == service && *weight > 0)
}

fn attempt(req: &RoutedRequest) -> &str {
    req.head.resumes.as_deref().unwrap_or_default()
}

fn count(result: &'static str) {
    metrics::counter!("tc_stream_resumptions_total", "result" => result).increment(1);
}
