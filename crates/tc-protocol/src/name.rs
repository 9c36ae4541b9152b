//! Names and identifiers: cheap to clone, compared by content, never interchangeable by accident.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
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

shared_name!(
    /// One machine running this system.
    InstanceId
);
shared_name!(
    /// A set of machines that fail together, such as a zone.
    FailureDomain
);
shared_name!(
    /// A group of failure domains close to each other.
    Region
);
shared_name!(
    /// One customer, isolated from all others.
    WorkspaceName
);
shared_name!(
    /// One back end that runs calls.
    UpstreamId
);
shared_name!(
    /// A group of interchangeable upstreams.
    ServiceName
);
shared_name!(
    /// A sequence of stages under one deadline.
    PipelineName
);
shared_name!(
    /// One step of a pipeline.
    StageName
);

/// Identifies one accepted request.
///
/// The text form is `<entry instance>-<incarnation>-<counter>`, so any instance can tell who keeps its explanation.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Builds the identifier of request `counter` accepted by `entry`.
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

    /// The identifier as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The instance that accepted the request, or `None` when the text was not made by [`RequestId::new`].
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

macro_rules! number {
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

number!(
    /// One life of a process: milliseconds since the Unix epoch at its start. A restart has a higher one.
    Incarnation(u64)
);
number!(
    /// Which try of a stage this is, counted from 0 over retries and hedges.
    Attempt(u32)
);
number!(
    /// A permit, unique within one home's incarnation.
    PermitId(u64)
);
number!(
    /// Hash of (workspace, service, input): two calls with the same one would do the same to an upstream.
    Fingerprint(u64)
);

impl Fingerprint {
    /// Fingerprint of one call's input.
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
