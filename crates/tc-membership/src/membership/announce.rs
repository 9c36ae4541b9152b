//! Telling news without being asked.

use std::net::SocketAddr;

use tc_protocol::InstanceId;

use super::{Membership, MessageKind, Outgoing};

impl Membership {
    /// Tells the news, and what rides on them, to every other instance.
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

    /// Tells the news to `count` instances chosen by chance.
    pub(super) fn announce(&mut self, count: usize, about: Option<&InstanceId>) -> Vec<Outgoing> {
        let peers = self.some_peers(count, about);
        peers
            .into_iter()
            .map(|(_, to)| self.send(to, MessageKind::Announcement, about))
            .collect()
    }
}
