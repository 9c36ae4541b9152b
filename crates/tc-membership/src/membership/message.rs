//! Messages between instances.

use std::net::SocketAddr;

use tc_protocol::InstanceId;

use super::Record;

/// What a message asks or tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Answer with an [`MessageKind::Ack`] of the same nonce.
    Probe {
        /// Matches the answer to the probe.
        nonce: u64,
        /// On whose behalf the sender probes, if not its own.
        relayed_for: Option<InstanceId>,
    },
    /// The subject answered the probe with this nonce.
    Ack {
        /// The probe's nonce.
        nonce: u64,
        /// Who answered it; not the sender when passed on.
        subject: InstanceId,
    },
    /// Probe the subject in the sender's place and pass on its answer.
    IndirectProbe {
        /// The nonce to use.
        nonce: u64,
        /// Whom to probe.
        subject: InstanceId,
    },
    /// Only news; needs no answer.
    Announcement,
}

/// One datagram's content.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// What the sender says of itself.
    pub from: Record,
    /// What it asks or tells.
    pub kind: MessageKind,
    /// What it knows of others; at most `max_changes` records.
    pub changes: Vec<Record>,
}

/// A message to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// Fleet address of the receiver.
    pub to: SocketAddr,
    /// What to send.
    pub message: Message,
}
