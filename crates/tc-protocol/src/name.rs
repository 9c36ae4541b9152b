//! Newtypes for names and identifiers: cheap to clone, compared by content, and not interchangeable with each other.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! string_newtype {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(Arc::from(name))
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(Arc::from(name))
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }
    };
}

string_newtype!(
    /// A running instance of this system.
    InstanceId
);
string_newtype!(
    /// A set of machines that can fail together, such as an availability zone.
    FailureDomain
);
string_newtype!(
    /// A group of failure domains with low network latency between them.
    Region
);
string_newtype!(
    /// A tenant, isolated from all others.
    WorkspaceName
);
string_newtype!(
    /// A backend that runs calls.
    UpstreamId
);
string_newtype!(
    /// Version of an upstream's software. Versions are compared for equality only; none is newer than another.
    UpstreamVersion
);
string_newtype!(
    /// A group of interchangeable upstreams.
    ServiceName
);
string_newtype!(
    /// A sequence of stages that share one deadline.
    PipelineName
);
string_newtype!(
    /// One step of a pipeline.
    StageName
);

/// Identifies one accepted request.
///
/// The text form is `<entry instance>-<incarnation>-<counter>`, so that any instance can find the one that keeps the
/// request's [`Explanation`](crate::Explanation).
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Builds the identifier of request number `counter` accepted by the instance `entry`.
    ///
    /// ```
    /// use tc_protocol::{Incarnation, RequestId};
    /// let id = RequestId::new(&"kl-a-1".into(), Incarnation(16), 255);
    /// assert_eq!(id.as_str(), "kl-a-1-10-ff");
    /// assert_eq!(id.entry_instance().unwrap().as_str(), "kl-a-1");
    /// ```
    #[must_use]
    pub fn new(entry: &InstanceId, incarnation: Incarnation, counter: u64) -> Self {
        Self(Arc::from(format!(
            "{entry}-{:x}-{counter:x}",
            incarnation.0
        )))
    }

    /// Returns the identifier as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the instance that accepted the request, or `None` if the text does not come from [`RequestId::new`].
    #[must_use]
    pub fn entry_instance(&self) -> Option<InstanceId> {
        let (rest, _) = self.0.rsplit_once('-')?;
        let (entry, _) = rest.rsplit_once('-')?;
        Some(entry.into())
    }
}

impl From<&str> for RequestId {
    fn from(id: &str) -> Self {
        Self(Arc::from(id))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &self.0)
    }
}

macro_rules! number_newtype {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number_newtype!(
    /// Distinguishes restarts of a process: its start time in Unix milliseconds, so a restart has a higher number.
    Incarnation(u64)
);
number_newtype!(
    /// Attempt number within a stage, from 0; retries and hedges count.
    Attempt(u32)
);
number_newtype!(
    /// Identifies a permit; unique within one incarnation of its home.
    PermitId(u64)
);
number_newtype!(
    /// Hash of (workspace, service, input): calls with equal fingerprints have the same effect on an upstream.
    Fingerprint(u64)
);

impl Fingerprint {
    /// Computes the fingerprint of a call.
    ///
    /// ```
    /// use tc_protocol::Fingerprint;
    /// let a = Fingerprint::of(&"lintas".into(), &"generate".into(), b"log");
    /// assert_eq!(a, Fingerprint::of(&"lintas".into(), &"generate".into(), b"log"));
    /// assert_ne!(a, Fingerprint::of(&"other".into(), &"generate".into(), b"log"));
    /// ```
    #[must_use]
    pub fn of(workspace: &WorkspaceName, service: &ServiceName, input: &[u8]) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in [
            workspace.as_str().as_bytes(),
            service.as_str().as_bytes(),
            input,
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}
