//! The schema: the keys that configuration files may contain, and the types of their values.
//!
//! It mirrors the configuration model in `tc_protocol`; a test compares the two.

/// Largest integer of a key without a narrower type; TOML integers are signed 64-bit.
const MAX_INTEGER: u64 = i64::MAX as u64;
const MAX_U32: u64 = u32::MAX as u64;
const MAX_U8: u64 = u8::MAX as u64;

/// The type of value that a key accepts.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ValueKind {
    Text,
    /// An integer from 0 to `max`.
    Integer {
        max: u64,
    },
    Number,
    Boolean,
    /// An IP address with a port.
    Address,
    /// One of the listed strings.
    OneOf(&'static [&'static str]),
    TextArray,
    Table(&'static [Field]),
    /// An array of tables.
    TableArray(&'static [Field]),
    /// A table of tables under names that the operator chooses.
    NamedTables,
}

impl ValueKind {
    /// Describes the expected value for fault messages.
    pub(crate) fn describe(self) -> String {
        match self {
            Self::Text => "text in quotes".to_owned(),
            Self::Integer { max: MAX_INTEGER } => "a whole number, 0 or above".to_owned(),
            Self::Integer { max } => format!("a whole number from 0 to {max}"),
            Self::Number => "a number".to_owned(),
            Self::Boolean => "`true` or `false`".to_owned(),
            Self::Address => "an IP number with a port such as \"10.0.0.1:8080\"".to_owned(),
            Self::OneOf(words) => format!("one of \"{}\"", words.join("\", \"")),
            Self::TextArray => "an array of texts".to_owned(),
            Self::Table(_) | Self::NamedTables => "a table".to_owned(),
            Self::TableArray(_) => "an array of tables".to_owned(),
        }
    }
}

/// A key of a table, and whether it is required.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) key: &'static str,
    pub(crate) kind: ValueKind,
    pub(crate) required: bool,
}

const fn required(key: &'static str, kind: ValueKind) -> Field {
    Field {
        key,
        kind,
        required: true,
    }
}

const fn optional(key: &'static str, kind: ValueKind) -> Field {
    Field {
        key,
        kind,
        required: false,
    }
}

const INTEGER: ValueKind = ValueKind::Integer { max: MAX_INTEGER };
const U32: ValueKind = ValueKind::Integer { max: MAX_U32 };
const U8: ValueKind = ValueKind::Integer { max: MAX_U8 };

/// The top-level tables.
pub(crate) const ROOT: &[Field] = &[
    optional("pipelines", ValueKind::NamedTables),
    optional("services", ValueKind::NamedTables),
    optional("workspaces", ValueKind::NamedTables),
    optional("models", ValueKind::NamedTables),
    optional("policy", ValueKind::Table(POLICY)),
];

pub(crate) const PIPELINE: &[Field] = &[
    required("deadline_ms", INTEGER),
    optional("priority", U8),
    optional("workspaces", ValueKind::TextArray),
    required("stages", ValueKind::TableArray(STAGE)),
];

const STAGE: &[Field] = &[
    required("name", ValueKind::Text),
    required("service", ValueKind::Text),
    optional("max_tokens", U32),
];

pub(crate) const SERVICE: &[Field] = &[
    required("kind", ValueKind::OneOf(&["engine", "pool", "plain"])),
    optional("idempotent", ValueKind::Boolean),
    optional("checks_orders", ValueKind::Boolean),
    optional("model", ValueKind::Text),
    optional("slots", U32),
    optional("upstreams", ValueKind::TableArray(UPSTREAM)),
];

const UPSTREAM: &[Field] = &[
    required("id", ValueKind::Text),
    required("address", ValueKind::Address),
    required("failure_domain", ValueKind::Text),
    optional("region", ValueKind::Text),
];

pub(crate) const WORKSPACE: &[Field] = &[
    required("token_sha256", ValueKind::Text),
    optional("weight", U32),
    optional("highest_priority", U8),
    optional("limits", ValueKind::Table(LIMITS)),
];

const LIMITS: &[Field] = &[
    optional("requests_per_s", ValueKind::Number),
    optional("concurrency", U32),
    optional("cost_per_s", ValueKind::Number),
];

pub(crate) const MODEL: &[Field] = &[
    required("version", ValueKind::Text),
    optional("floor", U32),
    optional("adapters", ValueKind::TextArray),
];

pub(crate) const POLICY: &[Field] = &[
    optional("address_max_age_s", INTEGER),
    optional("shard_size", U32),
    optional("admission_quantile", ValueKind::Number),
    optional("hedge_ratio", ValueKind::Number),
    optional("retry_ratio", ValueKind::Number),
    optional("crashes_to_quarantine", U32),
    optional("claim_retention_s", INTEGER),
    optional("queue_per_workspace", U32),
    optional("cross_domain_ms", ValueKind::Number),
    optional("cross_region_ms", ValueKind::Number),
];
