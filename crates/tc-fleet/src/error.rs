//! Errors of the fleet layer.

use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

/// Failure of the fleet layer to start, or of a call between instances.
#[derive(Debug, Error, Diagnostic)]
pub enum FleetError {
    /// The listener on the fleet address could not be opened.
    #[error("cannot listen on {address} for other instances: {source}")]
    #[diagnostic(
        code(tc::fleet::listen),
        help("choose a free port with --fleet-listen; TCP and UDP use the same number")
    )]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The shared key is too short.
    #[error("the fleet key is shorter than {min_bytes} bytes")]
    #[diagnostic(
        code(tc::fleet::key),
        help("set TANAGERCROFT_FLEET_KEY to the same random text on every instance")
    )]
    ShortKey {
        /// Minimum length in bytes.
        min_bytes: usize,
    },
    /// The control thread's actors could not be started.
    #[error("cannot start control actors: {0}")]
    #[diagnostic(code(tc::fleet::actors))]
    Actors(String),
    /// A call to another instance failed.
    #[error("instance {instance}: {problem}")]
    #[diagnostic(code(tc::fleet::peer))]
    Peer {
        /// Instance that was called.
        instance: String,
        /// Description of the failure.
        problem: String,
    },
}
