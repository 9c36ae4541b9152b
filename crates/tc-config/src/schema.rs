//! Which keys the files may have, and of which type.
//!
//! The types themselves are in `tc_protocol`'s configuration model; a test compares the two.

/// Largest whole number of a key without a narrower type: TOML's own limit.
const MAX_INTEGER: u64 = i64::MAX as u64;
const MAX_U32: u64 = u32::MAX as u64;
const MAX_U8: u64 = u8::MAX as u64;

/// What a key's value must be.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Kind {
    Text,
    /// A whole number from zero up.
    Whole {
        max: u64,
    },
    Number,
    Boolean,
    /// IP number and port.
    Address,
    OneOf(&'static [&'static str]),
    Texts,
    Table(&'static [Field]),
    /// An array of tables.
    Tables(&'static [Field]),
    /// Tables by a name the operator chooses.
    Named,
}

impl Kind {
    /// In words, for messages.
    pub(crate) fn describe(self) -> String {
        match self {
            Self::Text => "text in quotes".to_owned(),
            Self::Whole { max: MAX_INTEGER } => "a whole number, 0 or above".to_owned(),
            Self::Whole { max } => format!("a whole number from 0 to {max}"),
            Self::Number => "a number".to_owned(),
            Self::Boolean => "`true` or `false`".to_owned(),
            Self::Address => "an IP number with a port such as \"10.0.0.1:8080\"".to_owned(),
            Self::OneOf(words) => format!("one of \"{}\"", words.join("\", \"")),
            Self::Texts => "an array of texts".to_owned(),
            Self::Table(_) | Self::Named => "a table".to_owned(),
            Self::Tables(_) => "an array of tables".to_owned(),
        }
    }
}

/// One key of a table.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) key: &'static str,
    pub(crate) kind: Kind,
    pub(crate) required: bool,
}

const fn required(key: &'static str, kind: Kind) -> Field {
    Field {
        key,
        kind,
        required: true,
    }
}

const fn optional(key: &'static str, kind: Kind) -> Field {
    Field {
        key,
        kind,
        required: false,
    }
}

const INTEGER: Kind = Kind::Whole { max: MAX_INTEGER };
const U32: Kind = Kind::Whole { max: MAX_U32 };
const U8: Kind = Kind::Whole { max: MAX_U8 };

/// The whole configuration.
pub(crate) const ROOT: &[Field] = &[
    optional("pipelines", Kind::Named),
    optional("services", Kind::Named),
    optional("workspaces", Kind::Named),
    optional("models", Kind::Named),
    optional("policy", Kind::Table(POLICY)),
];

pub(crate) const PIPELINE: &[Field] = &[
    required("deadline_ms", INTEGER),
    optional("priority", U8),
    optional("workspaces", Kind::Texts),
    required("stages", Kind::Tables(STAGE)),
];

const STAGE: &[Field] = &[
    required("name", Kind::Text),
    required("service", Kind::Text),
    optional("max_tokens", U32),
];

pub(crate) const SERVICE: &[Field] = &[
    required("kind", Kind::OneOf(&["engine", "pool", "plain"])),
    optional("idempotent", Kind::Boolean),
    optional("checks_orders", Kind::Boolean),
    optional("model", Kind::Text),
    optional("slots", U32),
    optional("upstreams", Kind::Tables(UPSTREAM)),
];

const UPSTREAM: &[Field] = &[
    required("id", Kind::Text),
    required("address", Kind::Address),
    required("failure_domain", Kind::Text),
    optional("region", Kind::Text),
];

pub(crate) const WORKSPACE: &[Field] = &[
    required("token_sha256", Kind::Text),
    optional("weight", U32),
    optional("highest_priority", U8),
    optional("limits", Kind::Table(LIMITS)),
];

const LIMITS: &[Field] = &[
    optional("requests_per_s", Kind::Number),
    optional("concurrency", U32),
    optional("cost_per_s", Kind::Number),
];

pub(crate) const MODEL: &[Field] = &[
    required("version", Kind::Text),
    optional("floor", U32),
    optional("adapters", Kind::Texts),
];

pub(crate) const POLICY: &[Field] = &[
    optional("address_max_age_s", INTEGER),
    optional("shard_size", U32),
    optional("admission_quantile", Kind::Number),
    optional("hedge_ratio", Kind::Number),
    optional("retry_ratio", Kind::Number),
    optional("crashes_to_quarantine", U32),
    optional("claim_retention_s", INTEGER),
    optional("queue_per_workspace", U32),
    optional("cross_domain_ms", Kind::Number),
    optional("cross_region_ms", Kind::Number),
];
