//! Messages exchanged between instances.

use std::net::SocketAddr;

use tc_protocol::InstanceId;

use super::Record;

/// Purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests a [`MessageKind::Ack`] with the same nonce.
    Probe {
        /// Nonce that matches the reply to the probe.
        nonce: u64,
        /// Instance on whose behalf the probe is relayed, if any.
        relayed_for: Option<InstanceId>,
    },
    /// Confirms that the subject replied to the probe with this nonce.
    Ack {
        /// Nonce of the probe.
        nonce: u64,
        /// Instance that replied. It differs from the sender if the reply is relayed.
        subject: InstanceId,
    },
    /// Asks the receiver to probe the subject and relay its reply.
    IndirectProbe {
        /// Nonce for the relayed probe.
        nonce: u64,
        /// Instance to probe.
        subject: InstanceId,
    },
    /// Carries records only and expects no reply.
    Announcement,
}

/// Contents of one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender's own record.
    pub from: Record,
    /// Purpose of the message.
    pub kind: MessageKind,
    /// Piggybacked records of other members, at most `max_changes`.
    pub changes: Vec<Record>,
}

/// A message and its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Fleet address of the receiver.
    pub to: SocketAddr,
    /// Message to send.
    pub message: Message,
}
