//! A configuration on its way between instances: compressed once for all followers, and sent in parts.

use std::{
    io::{self, Read, Write},
    sync::{Arc, OnceLock},
};

use bytes::Bytes;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use serde_json::Value;
use tc_protocol::StoreRevision;

use crate::generated as wire;

/// Maximum part of a configuration in one message. A link of 10 Mbit/s transfers it in a twentieth of a second.
pub(super) const MAX_PART_BYTES: usize = 64 * 1024;
/// Maximum size of a configuration, also before it was compressed. No store keeps larger values.
pub(super) const MAX_CONFIG_BYTES: usize = 16 * 1024 * 1024;

/// A configuration as the store has it.
#[derive(Debug)]
pub struct StoredConfig {
    /// The stored value.
    pub value: Arc<Value>,
    /// Store revision at which it was written.
    pub revision: StoreRevision,
    /// `None` if it cannot be compressed.
    compressed: OnceLock<Option<Bytes>>,
}

impl PartialEq for StoredConfig {
    fn eq(&self, other: &Self) -> bool {
        (self.revision, &self.value) == (other.revision, &other.value)
    }
}

impl StoredConfig {
    /// Creates a configuration that is not compressed before it is first sent.
    ///
    /// ```
    /// use tc_fleet::StoredConfig;
    /// use tc_protocol::StoreRevision;
    /// let revision = StoreRevision { era: 0, number: 4 };
    /// let config = StoredConfig::new(std::sync::Arc::default(), revision);
    /// assert_eq!(config.revision, revision);
    /// ```
    #[must_use]
    pub const fn new(value: Arc<Value>, revision: StoreRevision) -> Self {
        Self {
            value,
            revision,
            compressed: OnceLock::new(),
        }
    }

    /// Returns the value as JSON in the zlib format.
    fn compressed(&self) -> Option<&Bytes> {
        let compressed = self.compressed.get_or_init(|| {
            let result = compress(&self.value);
            let logged = result.inspect_err(|e| log::warn!("cannot compress a configuration: {e}"));
            logged.ok().map(Bytes::from)
        });
        compressed.as_ref()
    }

    /// Returns the messages that carry the configuration, all but the last with `more_follows`.
    ///
    /// An instance of an earlier version takes it in one message only, without compression.
    pub(super) fn to_wire(&self, accepts_compressed: bool) -> Vec<wire::WorldNews> {
        let config_revision = self.revision.to_bits();
        let compressed = self.compressed().filter(|_| accepts_compressed);
        let Some(compressed) = compressed else {
            return vec![wire::WorldNews {
                config: self.value.to_string().into_bytes(),
                config_revision,
                ..wire::WorldNews::default()
            }];
        };
        let parts = compressed.chunks(MAX_PART_BYTES);
        let last = parts.len().saturating_sub(1);
        let message = |(index, part): (usize, &[u8])| wire::WorldNews {
            config: part.to_vec(),
            config_revision,
            config_compressed: true,
            more_follows: index < last,
            ..wire::WorldNews::default()
        };
        parts.enumerate().map(message).collect()
    }

    /// Returns the configuration of a message that has all of it, or `None` if it is malformed.
    pub(super) fn from_wire(message: &wire::WorldNews) -> Option<Self> {
        let revision = StoreRevision::from_bits(message.config_revision);
        let value = if message.config_compressed {
            let limit = MAX_CONFIG_BYTES as u64;
            let json = ZlibDecoder::new(&*message.config).take(limit);
            serde_json::from_reader(io::BufReader::new(json)).ok()?
        } else {
            serde_json::from_slice(&message.config).ok()?
        };
        Some(Self::new(Arc::new(value), revision))
    }
}

fn compress(value: &Value) -> io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value.to_string().as_bytes())?;
    encoder.finish()
}

/// Puts a configuration together that was sent in several messages.
#[derive(Default)]
pub(super) struct ConfigAssembler {
    received: Vec<u8>,
}

impl ConfigAssembler {
    /// Moves the parts of a configuration into the last message of its update. Returns `None` if they are larger than any
    /// configuration.
    pub(super) fn complete(&mut self, mut message: wire::WorldNews) -> Option<wire::WorldNews> {
        self.received.append(&mut message.config);
        if self.received.len() > MAX_CONFIG_BYTES {
            return None;
        }
        if !message.more_follows {
            message.config = std::mem::take(&mut self.received);
        }
        Some(message)
    }
}

#[cfg(test)]
mod tests {
    use prost::Message as _;

    use super::*;

    /// Returns a configuration of about this size that hardly gets smaller by compression.
    fn config(bytes: usize) -> StoredConfig {
        let mut state = 7_u64;
        let mut next = || {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            char::from(b' ' + (state >> 33) as u8 % 95)
        };
        let text: String = std::iter::repeat_with(&mut next).take(bytes).collect();
        let revision = StoreRevision { era: 0, number: 7 };
        StoredConfig::new(Arc::new(Value::from(text)), revision)
    }

    fn receive(messages: Vec<wire::WorldNews>) -> Option<StoredConfig> {
        let mut assembler = ConfigAssembler::default();
        let mut last = None;
        for message in messages {
            last = assembler.complete(message);
        }
        StoredConfig::from_wire(&last?)
    }

    /// Guards against a configuration that occupies a weak link until its source is taken for silent.
    #[test]
    fn messages_do_not_grow_with_the_size_of_a_configuration() {
        for bytes in [100, 100_000, 1_048_576, 8_000_000] {
            let messages = config(bytes).to_wire(true);
            let sizes = messages.iter().map(wire::WorldNews::encoded_len);
            let largest = sizes.max().unwrap_or_default();
            assert!(largest < 2 * MAX_PART_BYTES, "{bytes}: {largest} bytes");
        }
    }

    #[test]
    fn a_configuration_in_several_messages_is_received_as_sent() {
        for bytes in [1, MAX_PART_BYTES - 1, MAX_PART_BYTES, 1_048_576] {
            let sent = config(bytes);
            let messages = sent.to_wire(true);
            let (last, parts) = messages.split_last().expect("a message");
            assert!(parts.iter().all(|part| part.more_follows));
            assert!(!last.more_follows);
            assert_eq!(receive(messages), Some(sent));
        }
    }

    /// Guards against instances that cannot read what another software version sends while a fleet is updated.
    #[test]
    fn earlier_versions_get_one_message_without_compression() {
        let sent = config(1_048_576);
        let messages = sent.to_wire(false);
        assert_eq!(messages.len(), 1);
        let value: Value = serde_json::from_slice(&messages[0].config).expect("JSON");
        assert_eq!(value, *sent.value);
        assert_eq!(receive(messages), Some(sent));
    }

    /// Guards against configurations of thousands of routes that keep a weak link busy for longer than an eighth of the
    /// bound on their propagation.
    #[test]
    fn routes_are_compressed_to_an_eighth() {
        let route = |index: u32| {
            serde_json::json!({ "name": format!("r-{:x}", index.wrapping_mul(2_654_435_761)),
                "host_name": format!("h{index}.example"), "path_prefix": format!("/p{index}/"),
                "route_kind": "idempotent", "timeout_ms": 2_000, "priority": 0, "service": "web" })
        };
        let value: Value = (0..2_000).map(route).collect();
        let plain = value.to_string().len();
        let sent = StoredConfig::new(Arc::new(value), StoreRevision::default());
        let compressed: usize = sent.to_wire(true).iter().map(|m| m.config.len()).sum();
        assert!(compressed * 8 < plain, "{compressed} of {plain} bytes");
    }

    /// Guards against a sender that fills the memory of its followers, by many parts or by what they expand to.
    #[test]
    fn more_than_any_configuration_is_malformed() {
        let mut assembler = ConfigAssembler::default();
        let part = || wire::WorldNews {
            config: vec![b' '; MAX_PART_BYTES],
            more_follows: true,
            ..wire::WorldNews::default()
        };
        for part in std::iter::repeat_with(part).take(MAX_CONFIG_BYTES / MAX_PART_BYTES) {
            assert!(assembler.complete(part).is_some());
        }
        assert!(assembler.complete(part()).is_none());
        let expanding = Value::from(" ".repeat(2 * MAX_CONFIG_BYTES));
        let expanding = StoredConfig::new(Arc::new(expanding), StoreRevision::default());
        assert_eq!(receive(expanding.to_wire(true)), None);
    }
}
