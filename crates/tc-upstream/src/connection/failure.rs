//! Why an exchange on a connection failed, and what kind of call error that is.

use std::{error::Error, fmt, io};

use tc_protocol::Outcome;

use crate::error::CallErrorKind;

/// Why an exchange failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The call's time was used up.
    TimedOut,
    /// The answer's body is larger than allowed.
    TooLarge,
    /// The connection failed.
    Transport(hyper::Error),
}

impl Failure {
    /// The error kind, and what it says of the upstream.
    ///
    /// Only a connection that the peer closed or reset in the middle of a call counts as a death: our own timeouts
    /// and a peer that answers nonsense say nothing of its process, and a false death would quarantine an innocent
    /// input.
    pub(crate) fn classify(&self) -> (CallErrorKind, Outcome) {
        match self {
            Self::TimedOut => (CallErrorKind::TimedOut, Outcome::TimedOut),
            Self::TooLarge => (CallErrorKind::TooLarge, Outcome::Failed),
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
            Self::Transport(e) => match e.source() {
                Some(cause) => write!(f, "{e}: {cause}"),
                None => write!(f, "{e}"),
            },
        }
    }
}
