//! Identity of requests: what is the same each time a caller sends a request, and tells it from other requests.

use http::uri::PathAndQuery;
use tc_protocol::{Fingerprint, routing::Prompt};
use xxhash_rust::xxh3::Xxh3;

use super::RoutedRequest;

impl RoutedRequest {
    /// Returns a hash of the method, host, path, query, workspace and body.
    ///
    /// A request without a body is told from others by its headers with input: the prompt, the pieces and their key. The
    /// input of other requests is the body, and these headers may differ when they are sent again.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let target = self.parts.uri.path_and_query();
        let mut hasher = PartHasher::default();
        hasher.update(self.parts.method.as_str().as_bytes());
        hasher.update(self.route.host.as_bytes());
        hasher.update(target.map_or("/", PathAndQuery::as_str).as_bytes());
        hasher.update(self.workspace_name().as_str().as_bytes());
        hasher.update(&self.body);
        if self.body.is_empty() {
            self.hash_input_headers(&mut hasher);
        }
        hasher.finish()
    }

    fn hash_input_headers(&self, hasher: &mut PartHasher) {
        let parts = self.head.prompt.iter().flat_map(|prompt| &*prompt.parts);
        for part in parts {
            hasher.update(&part.id.to_le_bytes());
        }
        for pieces in &self.head.pieces {
            hasher.update(&pieces.to_le_bytes());
        }
        hasher.update(
            self.head
                .piece_key
                .as_deref()
                .unwrap_or_default()
                .as_bytes(),
        );
    }

    /// Returns hashes of the parts of the prompt that other requests may share.
    pub(super) fn part_fingerprints(&self) -> Vec<Fingerprint> {
        let parts = self.head.prompt.as_ref().map(Prompt::shared_parts);
        let parts = parts.unwrap_or_default().iter();
        parts
            .map(|part| {
                let mut hasher = PartHasher::default();
                hasher.update(self.service.as_str().as_bytes());
                hasher.update(&part.id.to_le_bytes());
                hasher.finish()
            })
            .collect()
    }
}

/// Hashes a sequence of parts, each with its length.
#[derive(Default)]
struct PartHasher(Xxh3);

impl PartHasher {
    fn update(&mut self, part: &[u8]) {
        self.0.update(&(part.len() as u64).to_le_bytes());
        self.0.update(part);
    }

    fn finish(&self) -> Fingerprint {
        // Zero is reserved for "no request".
        Fingerprint(self.0.digest().max(1))
    }
}
