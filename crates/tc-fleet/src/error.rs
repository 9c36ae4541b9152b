//! Errors of this layer.

use std::net::SocketAddr;

use miette::Diagnostic;
use thiserror::Error;

/// Why the fleet layer could not start or a call between instances failed.
#[derive(Debug, Error, Diagnostic)]
pub enum FleetError {
    /// The fleet address cannot be listened on.
    #[error("cannot listen on {address} for other instances: {source}")]
    #[diagnostic(
        code(tc::fleet::listen),
        help("choose a free port with --fleet-listen; TCP and UDP use the same number")
    )]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The shared key cannot be used.
    #[error("the fleet key is shorter than {min_bytes} bytes")]
    #[diagnostic(
        code(tc::fleet::key),
        help("set TANAGERCROFT_FLEET_KEY to the same random text on every instance")
    )]
    ShortKey {
        /// Least length in bytes.
        min_bytes: usize,
    },
    /// The control thread's actors could not be started.
    #[error("cannot start control actors: {0}")]
    #[diagnostic(code(tc::fleet::actors))]
    Actors(String),
    /// Another instance did not answer as it should.
    #[error("instance {instance}: {problem}")]
    #[diagnostic(code(tc::fleet::peer))]
    Peer {
        /// Which instance.
        instance: String,
        /// What went wrong.
        problem: String,
    },
}
