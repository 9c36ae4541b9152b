//! The software version with which a stream began, which binds the rest of the stream.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::Prompt;
use crate::{MonoTime, ServiceName, UpstreamVersion, WorkspaceName};

/// Identifies a stream over all attempts of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u128);

impl StreamKey {
    /// Returns the key of the stream that the attempt `request` began.
    ///
    /// ```
    /// use tc_protocol::routing::StreamKey;
    /// let key = StreamKey::of_attempt(&"lintas".into(), "r1");
    /// assert_eq!(key, StreamKey::of_attempt(&"lintas".into(), "r1"));
    /// assert_ne!(key, StreamKey::of_attempt(&"other".into(), "r1"));
    /// ```
    #[must_use]
    pub fn of_attempt(workspace: &WorkspaceName, request: &str) -> Self {
        let parts = ["attempt", workspace.as_str(), request];
        Self::of_parts(parts.map(str::as_bytes))
    }

    /// Returns the key of all streams with the same content: what stays the same in every attempt. It is for callers that
    /// do not name the attempt.
    ///
    /// ```
    /// use tc_protocol::routing::StreamKey;
    /// let key = StreamKey::of_content(&"lintas".into(), "/summary/1", None, b"log");
    /// assert_ne!(key, StreamKey::of_content(&"lintas".into(), "/summary/2", None, b"log"));
    /// ```
    #[must_use]
    pub fn of_content(
        workspace: &WorkspaceName,
        path: &str,
        prompt: Option<&Prompt>,
        body: &[u8],
    ) -> Self {
        let prompt_parts = prompt.map(|prompt| &*prompt.parts).unwrap_or_default();
        let ids: Vec<u8> = prompt_parts
            .iter()
            .flat_map(|part| part.id.to_le_bytes())
            .collect();
        let [kind, workspace, path] = ["content", workspace.as_str(), path].map(str::as_bytes);
        Self::of_parts([kind, workspace, path, &ids, body])
    }

    fn of_parts<const N: usize>(parts: [&[u8]; N]) -> Self {
        let mut hasher = Xxh3::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
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

/// Recorded beginning of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginRecord {
    /// The stream.
    pub key: StreamKey,
    /// Origin of the stream; `None` if instances have recorded different origins for the key.
    pub origin: Option<StreamOrigin>,
    /// Time at which the stream began.
    pub began_at: MonoTime,
    /// Time after which its caller no longer takes the stream up.
    pub expires_at: MonoTime,
}

/// For how long an instance has kept the origins of a group of streams without a gap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginCoverage {
    /// Time since the instance began to keep them.
    pub held_for: Duration,
    /// Number of instances that keep them, as this instance sees it.
    pub holders: u32,
}

/// Answer of an instance that was asked for the origin of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginAnswer {
    /// Record of the stream, if it has one.
    pub record: Option<OriginRecord>,
    /// Its coverage of the stream's group; `None` if it is not one of the holders.
    pub coverage: Option<OriginCoverage>,
}
