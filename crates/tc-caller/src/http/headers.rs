//! Request headers that control the execution of a request.

use std::{sync::Arc, time::Duration};

use http::{HeaderMap, header::ACCEPT};
use tc_protocol::{Incarnation, InstanceId, ProblemKind, RequestId, wire};

use crate::{
    http::Failure,
    limits::{LOWEST_PRIORITY, MAX_KEY_BYTES, MAX_TIMEOUT},
};

/// The instance, and the incarnation of its process, to which an idempotency key is bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Binding {
    pub(crate) instance: InstanceId,
    pub(crate) incarnation: Incarnation,
}

/// The stream that a caller wants to resume, and the last event that it received.
#[derive(Clone, Debug)]
pub(crate) struct ResumeFrom {
    pub(crate) request: RequestId,
    pub(crate) last_event_id: u64,
}

/// All headers that control the execution of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallHeaders {
    pub(crate) timeout: Option<Duration>,
    pub(crate) priority: Option<u8>,
    pub(crate) key: Option<Arc<str>>,
    pub(crate) binding: Option<Binding>,
    pub(crate) resume: Option<ResumeFrom>,
    pub(crate) traceparent: Option<String>,
    pub(crate) forwarded: bool,
    pub(crate) wants_stream: bool,
}

impl CallHeaders {
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, Failure> {
        Ok(Self {
            timeout: timeout(headers)?,
            priority: priority(headers)?,
            key: key(headers)?,
            binding: binding(headers)?,
            resume: resume(headers)?,
            traceparent: headers
                .get(wire::TRACEPARENT)
                .and_then(|v| v.to_str().ok())
                .map(str::to_owned),
            forwarded: headers.contains_key(wire::FORWARDED),
            wants_stream: wants_stream(headers),
        })
    }
}

/// Refuses headers with a total size of more than `max` bytes.
pub(crate) fn check_size(headers: &HeaderMap, max: usize) -> Result<(), Failure> {
    let size: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if size <= max {
        return Ok(());
    }
    Err(Failure::not_run(
        ProblemKind::HeadersTooLarge,
        format!("the headers have {size} bytes; at most {max} are allowed"),
    ))
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Failure> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Failure::bad_request(format!(
            "header {name} was sent twice"
        )));
    }
    value.to_str().map(|text| Some(text.trim())).map_err(|_| {
        Failure::bad_request(format!("header {name} has characters that are not allowed"))
    })
}

fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, Failure> {
    let Some(value) = text(headers, wire::TIMEOUT_MS)? else {
        return Ok(None);
    };
    match value.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis).min(MAX_TIMEOUT))),
        _ => Err(Failure::bad_request(format!(
            "header {} must be a whole number of milliseconds above zero",
            wire::TIMEOUT_MS
        ))),
    }
}

fn priority(headers: &HeaderMap) -> Result<Option<u8>, Failure> {
    let Some(value) = text(headers, wire::PRIORITY)? else {
        return Ok(None);
    };
    let bad = || {
        Failure::bad_request(format!(
            "header {} must be as in RFC 9218, u=0 to u=7",
            wire::PRIORITY
        ))
    };
    let fields: sfv::Dictionary = sfv::Parser::new(value).parse().map_err(|_| bad())?;
    let Some(sfv::ListEntry::Item(urgency)) = fields.get("u") else {
        return if fields.contains_key("u") {
            Err(bad())
        } else {
            Ok(None)
        };
    };
    let number = urgency.bare_item.as_integer().ok_or_else(bad)?;
    u8::try_from(i64::from(number))
        .ok()
        .filter(|u| *u <= LOWEST_PRIORITY)
        .map(Some)
        .ok_or_else(bad)
}

fn key(headers: &HeaderMap) -> Result<Option<Arc<str>>, Failure> {
    let Some(value) = text(headers, wire::IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        return Err(Failure::bad_request(format!(
            "header {} must have 1 to {MAX_KEY_BYTES} bytes",
            wire::IDEMPOTENCY_KEY
        )));
    }
    Ok(Some(value.into()))
}

fn binding(headers: &HeaderMap) -> Result<Option<Binding>, Failure> {
    let Some(value) = text(headers, wire::INSTANCE_BINDING)? else {
        return Ok(None);
    };
    value
        .rsplit_once('@')
        .filter(|(instance, _)| !instance.is_empty())
        .and_then(|(instance, incarnation)| {
            Some(Binding {
                instance: instance.into(),
                incarnation: Incarnation(incarnation.parse().ok()?),
            })
        })
        .map(Some)
        .ok_or_else(|| {
            Failure::bad_request(format!(
                "header {} must be the binding from the address answer",
                wire::INSTANCE_BINDING
            ))
        })
}

fn resume(headers: &HeaderMap) -> Result<Option<ResumeFrom>, Failure> {
    let Some(last) = text(headers, wire::LAST_EVENT_ID)? else {
        return Ok(None);
    };
    let last_event_id = last.parse().map_err(|_| {
        Failure::bad_request(format!(
            "header {} must be the id of an event",
            wire::LAST_EVENT_ID
        ))
    })?;
    let request = text(headers, wire::REQUEST_ID)?.ok_or_else(|| {
        Failure::bad_request(format!(
            "header {} needs {} of the answer that is resumed",
            wire::LAST_EVENT_ID,
            wire::REQUEST_ID
        ))
    })?;
    Ok(Some(ResumeFrom {
        request: request.into(),
        last_event_id,
    }))
}

fn wants_stream(headers: &HeaderMap) -> bool {
    headers
        .get_all(ACCEPT)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .any(|range| range.split(';').next().unwrap_or("").trim() == "text/event-stream")
}
