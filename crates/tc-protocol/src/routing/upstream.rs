//! Upstreams that register themselves in the store.

use std::net::SocketAddr;

use crate::{FailureDomain, MonoTime, ServiceName, UpstreamId, UpstreamVersion};

/// A registered upstream process. A restarted process registers under a new identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RegisteredUpstream {
    /// Identifies this start of the process; upstreams check it if a request carries it.
    pub id: UpstreamId,
    /// Service the upstream belongs to.
    pub service: ServiceName,
    /// Version of its software; `None` if the instance that passed the entry on does not send versions.
    pub version: Option<UpstreamVersion>,
    /// Address it listens on; another process may get the address later.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub failure_domain: FailureDomain,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the upstream is about to stop and must get no new work.
    pub draining: bool,
    /// Whether operators have evacuated the failure domain: no new work until they revoke the evacuation.
    pub evacuated: bool,
    /// End of the cold phase, as far as known: announced by the upstream, or assumed because it may have lost its
    /// warmed-up state.
    pub cold_until: MonoTime,
}

impl RegisteredUpstream {
    /// Returns whether new requests may be sent to the upstream.
    ///
    /// ```
    /// use tc_protocol::{MonoTime, routing::RegisteredUpstream};
    /// let mut upstream = RegisteredUpstream {
    ///     id: "engine-1".into(),
    ///     service: "engines".into(),
    ///     version: Some("v1".into()),
    ///     address: ([10, 0, 0, 1], 80).into(),
    ///     failure_domain: "kl-a".into(),
    ///     slots: 4,
    ///     draining: false,
    ///     evacuated: false,
    ///     cold_until: MonoTime::default(),
    /// };
    /// assert!(upstream.takes_work());
    /// upstream.evacuated = true;
    /// assert!(!upstream.takes_work());
    /// ```
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        !self.draining && !self.evacuated
    }

    /// Returns true if the upstream has the required version; see [`meets_version`].
    #[must_use]
    pub fn has_version(&self, required: Option<&UpstreamVersion>) -> bool {
        meets_version(self.version.as_ref(), required)
    }
}

/// Returns true if a version is the required one, or none is required. An unknown version is never the required one.
///
/// ```
/// use tc_protocol::{UpstreamVersion, routing::meets_version};
/// let (a, b) = (UpstreamVersion::from("a"), UpstreamVersion::from("b"));
/// assert!(meets_version(Some(&a), Some(&a)) && meets_version(None, None));
/// assert!(!meets_version(Some(&b), Some(&a)) && !meets_version(None, Some(&a)));
/// ```
#[must_use]
pub fn meets_version(
    version: Option<&UpstreamVersion>,
    required: Option<&UpstreamVersion>,
) -> bool {
    required.is_none() || version == required
}
