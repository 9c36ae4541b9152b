//! Failures of an exchange on a connection, and their classification as call errors.

use std::{error::Error, fmt, io};

use http::StatusCode;
use tc_protocol::Outcome;

use crate::error::CallErrorKind;

/// Failure of an exchange.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The call's deadline passed.
    TimedOut,
    /// The response body exceeds the limit.
    TooLarge,
    /// The status is not that of a final response of HTTP.
    InvalidStatus(StatusCode),
    /// The answer has no length and ended before its request was sent, so whether it is complete is not known.
    EndedEarly,
    /// The connection failed.
    Transport(hyper::Error),
}

impl Failure {
    /// Returns the error kind and the outcome.
    ///
    /// The outcome is `Died` only if the peer closed or reset the connection during a call. Timeouts on this side and
    /// malformed responses do not show that the peer's process crashed, and a false `Died` would quarantine an input
    /// that is not at fault.
    pub(crate) fn classify(&self) -> (CallErrorKind, Outcome) {
        match self {
            Self::TimedOut => (CallErrorKind::TimedOut, Outcome::TimedOut),
            Self::TooLarge => (CallErrorKind::TooLarge, Outcome::Failed),
            Self::InvalidStatus(_) | Self::EndedEarly => {
                (CallErrorKind::Malformed, Outcome::Failed)
            }
            Self::Transport(e) => classify_transport(e),
        }
    }
}

fn classify_transport(error: &hyper::Error) -> (CallErrorKind, Outcome) {
    if error.is_parse_too_large() {
        return (CallErrorKind::TooLarge, Outcome::Failed);
    }
    if error.is_parse() {
        return (CallErrorKind::Malformed, Outcome::Failed);
    }
    match io_kind(error) {
        Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => {
            (CallErrorKind::Malformed, Outcome::Failed)
        }
        Some(kind) if !is_close(kind) => (CallErrorKind::Broken, Outcome::Failed),
        _ => (CallErrorKind::Broken, Outcome::Died),
    }
}

fn is_close(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::NotConnected
            | io::ErrorKind::UnexpectedEof
    )
}

fn io_kind(error: &hyper::Error) -> Option<io::ErrorKind> {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(io) = cause.downcast_ref::<io::Error>() {
            return Some(io.kind());
        }
        source = cause.source();
    }
    None
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TimedOut => f.write_str("no answer in time"),
            Self::TooLarge => f.write_str("body larger than allowed"),
            Self::InvalidStatus(status) => write!(f, "invalid status {}", status.as_u16()),
            Self::EndedEarly => f.write_str("answer without a length ended before its request"),
            Self::Transport(e) => match e.source() {
                Some(cause) => write!(f, "{e}: {cause}"),
                None => write!(f, "{e}"),
            },
        }
    }
}
