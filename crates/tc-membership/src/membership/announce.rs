//! Unsolicited announcements.

use std::net::SocketAddr;

use tc_protocol::InstanceId;

use super::{Membership, MessageKind, Outgoing};

impl Membership {
    /// Sends an announcement, with piggybacked records, to every other instance.
    pub fn announce_to_all(&mut self) -> Vec<Outgoing> {
        let members = self.members();
        let others = members
            .iter()
            .filter(|member| member.id != self.me.member.id);
        let to: Vec<SocketAddr> = others.map(|member| member.fleet_address).collect();
        to.into_iter()
            .map(|to| self.send(to, MessageKind::Announcement, None))
            .collect()
    }

    /// Sends an announcement to `count` randomly chosen instances.
    pub(super) fn announce(&mut self, count: usize, subject: Option<&InstanceId>) -> Vec<Outgoing> {
        let peers = self.sample_peers(count, subject);
        peers
            .into_iter()
            .map(|(_, to)| self.send(to, MessageKind::Announcement, subject))
            .collect()
    }
}
