//! The software version with which a stream began, which binds the rest of the stream.

use xxhash_rust::xxh3::Xxh3;

use crate::{MonoTime, ServiceName, UpstreamVersion, WorkspaceName};

/// Identifies a stream over all attempts of its caller: a hash of the workspace and of the attempt that began the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u128);

impl StreamKey {
    /// Returns the key of the stream that the attempt `request` began.
    ///
    /// ```
    /// use tc_protocol::routing::StreamKey;
    /// let key = StreamKey::new(&"lintas".into(), "r1");
    /// assert_eq!(key, StreamKey::new(&"lintas".into(), "r1"));
    /// assert_ne!(key, StreamKey::new(&"other".into(), "r1"));
    /// ```
    #[must_use]
    pub fn new(workspace: &WorkspaceName, request: &str) -> Self {
        let mut hasher = Xxh3::new();
        for part in [workspace.as_str(), request] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        Self(hasher.digest128())
    }
}

/// The upstream process that began a stream, as far as it binds the rest of the stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StreamOrigin {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the upstream's software.
    pub version: UpstreamVersion,
}

/// What is known of the beginning of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// How the stream began; `None` if instances have recorded different origins for the key.
    pub origin: Option<StreamOrigin>,
    /// Time at which the stream began.
    pub began_at: MonoTime,
    /// Time after which its caller no longer takes the stream up.
    pub expires_at: MonoTime,
}
