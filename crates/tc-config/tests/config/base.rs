//! A valid base configuration and helpers to build variants of it.

use tc_config::{ConfigError, SourceFile, merge};

/// A valid configuration with one model, three services, two workspaces and one pipeline.
pub(crate) const BASE: &str = r#"
[models.draft]
version = "7"

[services.encode]
kind = "pool"
upstreams = [
    { id = "enc-1", address = "10.0.0.1:9000", failure_domain = "kl-a" },
    { id = "enc-2", address = "10.0.0.2:9000", failure_domain = "kl-b" },
]

[services.generate]
kind = "engine"
model = "draft"

[services.billing]
kind = "plain"
idempotent = false

[workspaces.lintas]
token_sha256 = "000000000000000000000000000000000000000000000000000000000000000a"

[workspaces.trinacria]
token_sha256 = "000000000000000000000000000000000000000000000000000000000000000b"

[pipelines.notices]
deadline_ms = 2000
workspaces = ["lintas"]
stages = [
    { name = "encode", service = "encode" },
    { name = "generate", service = "generate", max_tokens = 32 },
]
"#;

/// Merges [`BASE`] with a later file that contains `change`.
pub(crate) fn with_change(change: &str) -> Result<tc_protocol::FleetConfig, ConfigError> {
    merge(
        &files(&[("10-base.toml", BASE), ("20-change.toml", change)]),
        1,
    )
}

/// Creates source files from pairs of name and text.
pub(crate) fn files(texts: &[(&str, &str)]) -> Vec<SourceFile> {
    let files = texts.iter();
    files
        .map(|(name, text)| SourceFile::new(name, text))
        .collect()
}
