//! The state of the store that instances gossip.

use tc_protocol::StoreRevision;
use tokio::sync::watch;

use super::{actor::NewerWorld, handle::Mesh, store_update::WorldHave};
use crate::generated as wire;

impl WorldHave {
    /// Returns true if this state has a configuration or a list of upstreams that is newer than another state's.
    ///
    /// The revision of a list also rises where changes of other kinds were read with it, so only a list with other entries
    /// is newer. A state without a list is that of a starting instance, which has yet to get the list from its source.
    ///
    /// ```
    /// use tc_fleet::WorldHave;
    /// let own = WorldHave { config_version: 4, ..WorldHave::default() };
    /// let newer = WorldHave { config_version: 5, ..own };
    /// assert!(newer.is_newer_than(&own));
    /// assert!(!own.is_newer_than(&own));
    /// ```
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let has_newer_list = other.upstreams_revision.is_known()
            && self.upstreams_revision > other.upstreams_revision
            && self.upstreams_digest != other.upstreams_digest;
        self.config_version > other.config_version || has_newer_list
    }
}

impl Mesh {
    /// Sets the state of the store that this instance has, which it gossips.
    pub fn set_world(&self, have: WorldHave) {
        self.inner.published.world.send_replace(have);
    }

    /// Returns a receiver of the last gossiped state that is newer than this instance's.
    ///
    /// It is notified of every message with such a state, so that another holder is named if one does not answer.
    #[must_use]
    pub fn newer_world(&self) -> watch::Receiver<Option<NewerWorld>> {
        self.inner.published.newer_world.subscribe()
    }
}

/// Adds the sender's state of the store to a datagram.
pub(super) fn add_world(datagram: &mut wire::Datagram, have: &WorldHave) {
    datagram.config_version = have.config_version;
    datagram.upstreams_revision = have.upstreams_revision.to_bits();
    datagram.upstreams_digest = have.upstreams_digest;
}

/// Returns the sender's state of the store; an earlier build sends no list of upstreams.
pub(super) fn world_from_wire(datagram: &wire::Datagram) -> WorldHave {
    WorldHave {
        config_version: datagram.config_version,
        upstreams_revision: StoreRevision::from_bits(datagram.upstreams_revision),
        upstreams_digest: datagram.upstreams_digest,
        evacuated_revision: StoreRevision::default(),
    }
}
