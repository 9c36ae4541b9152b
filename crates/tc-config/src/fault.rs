//! A validation error in the configuration files, with its location.

use std::fmt;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};
use thiserror::Error;

use crate::{
    SourceFile,
    check::{MAX_DEADLINE_MS, MAX_PRIORITY, MIN_DEADLINE_MS},
    source::Location,
};

/// A validation error at a key of a configuration file.
#[derive(Debug, Error)]
pub struct Fault {
    pub(crate) file: SourceFile,
    pub(crate) span: SourceSpan,
    key: String,
    kind: FaultKind,
    source_code: NamedSource<std::sync::Arc<str>>,
}

impl Fault {
    pub(crate) fn new(location: &Location, key: &str, kind: FaultKind) -> Self {
        Self {
            file: location.file.clone(),
            span: location.span.clone().into(),
            key: key.to_owned(),
            kind,
            source_code: NamedSource::new(&*location.file.name, location.file.text.clone()),
        }
    }

    /// Returns the name of the file.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file.name
    }

    /// Returns the line in the file, counted from 1.
    #[must_use]
    pub fn line(&self) -> usize {
        self.file.line(self.span.offset())
    }

    /// Returns the file and line in the form `10-base.toml:3`.
    #[must_use]
    pub fn location(&self) -> String {
        format!("{}:{}", self.file(), self.line())
    }

    /// Returns the full dotted key, such as `pipelines.notices.deadline_ms`; empty for a syntax fault.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the kind of fault.
    #[must_use]
    pub fn kind(&self) -> &FaultKind {
        &self.kind
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.key.is_empty() {
            write!(f, "{}", self.kind)
        } else {
            write!(f, "{}: {}", self.key, self.kind)
        }
    }
}

impl Diagnostic for Fault {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.kind.code()
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.kind.help()
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source_code)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), self.span);
        Some(Box::new(std::iter::once(label)))
    }
}

/// The kinds of faults in configuration files.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum FaultKind {
    /// The file is not valid TOML.
    #[error("not valid TOML: {problem}")]
    #[diagnostic(code(tc::config::syntax), help("see https://toml.io for the syntax"))]
    Syntax {
        /// The error message of the parser.
        problem: String,
    },
    /// The schema has no such key.
    #[error("unknown key")]
    #[diagnostic(code(tc::config::unknown_key), help("{}", suggest(nearest.as_ref(), known)))]
    UnknownKey {
        /// The most similar known key.
        nearest: Option<String>,
        /// All known keys of the table.
        known: String,
    },
    /// A value has the wrong type.
    #[error("{found} is not {expected}")]
    #[diagnostic(code(tc::config::wrong_type), help("write {expected}"))]
    WrongType {
        /// Description of the expected type.
        expected: String,
        /// Description of the value found.
        found: String,
    },
    /// A required key is missing.
    #[error("the key `{missing}` is missing")]
    #[diagnostic(code(tc::config::missing_key), help("add `{missing} = …`, {expected}"))]
    MissingKey {
        /// The key.
        missing: String,
        /// Description of the expected type.
        expected: String,
    },
    /// A name that cannot be used in paths and addresses: it is empty, too long or has characters that are not
    /// allowed.
    #[error("{name:?} cannot be a name")]
    #[diagnostic(
        code(tc::config::bad_name),
        help("use 1 to 64 letters, digits, `-`, `_` and `.`, the first a letter or digit")
    )]
    BadName {
        /// The name.
        name: String,
    },
    /// A reference to a service that is not configured.
    #[error("there is no service {name:?}")]
    #[diagnostic(code(tc::config::unknown_service), help("{}", suggest(nearest.as_ref(), known)))]
    UnknownService {
        /// The name.
        name: String,
        /// The most similar service name.
        nearest: Option<String>,
        /// All service names.
        known: String,
    },
    /// A reference to a model that is not configured.
    #[error("there is no model {name:?}")]
    #[diagnostic(code(tc::config::unknown_model), help("{}", suggest(nearest.as_ref(), known)))]
    UnknownModel {
        /// The name.
        name: String,
        /// The most similar model name.
        nearest: Option<String>,
        /// All model names.
        known: String,
    },
    /// A reference to a workspace that is not configured.
    #[error("there is no workspace {name:?}")]
    #[diagnostic(code(tc::config::unknown_workspace), help("{}", suggest(nearest.as_ref(), known)))]
    UnknownWorkspace {
        /// The name.
        name: String,
        /// The most similar workspace name.
        nearest: Option<String>,
        /// All workspace names.
        known: String,
    },
    /// A pipeline has no stages.
    #[error("the pipeline has no stages")]
    #[diagnostic(
        code(tc::config::no_stages),
        help("add at least one `[[pipelines.NAME.stages]]` with `name` and `service`")
    )]
    NoStages,
    /// Two stages of a pipeline have the same name.
    #[error("an earlier stage of this pipeline is called {name:?} too")]
    #[diagnostic(
        code(tc::config::duplicate_stage),
        help("results are matched by stage name: give each stage its own")
    )]
    DuplicateStage {
        /// The name.
        name: String,
    },
    /// A deadline is too short or too long.
    #[error("a deadline of {found} ms is out of range")]
    #[diagnostic(
        code(tc::config::deadline_out_of_range),
        help("use {MIN_DEADLINE_MS} to {MAX_DEADLINE_MS} ms")
    )]
    DeadlineOutOfRange {
        /// The deadline in milliseconds.
        found: u64,
    },
    /// A priority is too large.
    #[error("the priority {found} is out of range")]
    #[diagnostic(
        code(tc::config::priority_out_of_range),
        help("use 0 (most urgent) to {MAX_PRIORITY}")
    )]
    PriorityOutOfRange {
        /// The priority.
        found: u8,
    },
    /// A number that must be finite and above zero is not.
    #[error("{found} is not above zero")]
    #[diagnostic(
        code(tc::config::not_positive),
        help(
            "use a finite number above zero; leave an optional key out when no limit should apply"
        )
    )]
    NotPositive {
        /// The number.
        found: String,
    },
    /// A number is outside its allowed range.
    #[error("{found} is not {range}")]
    #[diagnostic(code(tc::config::out_of_range), help("use a number {range}"))]
    OutOfRange {
        /// The number.
        found: String,
        /// The range in words.
        range: &'static str,
    },
    /// A token hash is not a SHA-256 hash in lower-case hexadecimal.
    #[error("not a SHA-256 in 64 lower-case hexadecimal digits")]
    #[diagnostic(
        code(tc::config::token_hash),
        help("write the hash, never the token: printf %s \"$TOKEN\" | sha256sum")
    )]
    TokenHash,
    /// Two workspaces have the same token.
    #[error("the workspace {other:?} has the same token")]
    #[diagnostic(
        code(tc::config::shared_token),
        help("a token decides the workspace: give each its own")
    )]
    SharedToken {
        /// The other workspace.
        other: String,
    },
    /// Two upstreams have the same id.
    #[error("{id:?} is the id of another upstream in service {other:?} too")]
    #[diagnostic(
        code(tc::config::duplicate_upstream),
        help("upstream ids are unique over all services")
    )]
    DuplicateUpstream {
        /// The upstream id.
        id: String,
        /// The service of the other upstream.
        other: String,
    },
    /// Two upstreams of a service have the same address.
    #[error("the upstream {other:?} of this service has the address {address} too")]
    #[diagnostic(
        code(tc::config::duplicate_address),
        help("one process listed twice would be given twice the load: remove one")
    )]
    DuplicateAddress {
        /// The address.
        address: String,
        /// The other upstream.
        other: String,
    },
    /// An address that cannot be connected to: unspecified, multicast or broadcast, or with port 0.
    #[error("nothing can be reached at {address}")]
    #[diagnostic(
        code(tc::config::unusable_address),
        help("give the IP number and the port the upstream listens on")
    )]
    UnusableAddress {
        /// The address.
        address: String,
    },
    /// An engine service without a model.
    #[error("an engine service needs a model")]
    #[diagnostic(
        code(tc::config::engine_without_model),
        help("add `model = \"…\"`, one of the [models] tables")
    )]
    EngineWithoutModel,
    /// A model on a service whose kind is not `engine`.
    #[error("only services of kind \"engine\" have a model")]
    #[diagnostic(
        code(tc::config::model_without_engine),
        help("remove `model` or set `kind = \"engine\"`")
    )]
    ModelWithoutEngine,
    /// Claims would expire while their requests may still run.
    #[error("{retention_s} s is shorter than the deadline of pipeline {pipeline:?}")]
    #[diagnostic(
        code(tc::config::retention_too_short),
        help(
            "a claim forgotten while its request may still run lets a resend run it twice: keep claims for {needed_s} s at least"
        )
    )]
    RetentionTooShort {
        /// Configured retention in seconds.
        retention_s: u64,
        /// The pipeline with the longest deadline.
        pipeline: String,
        /// Shortest safe retention in seconds.
        needed_s: u64,
    },
    /// The values match the schema, but deserializing them into the configuration model failed.
    #[error("{problem}")]
    #[diagnostic(code(tc::config::refused), help("see docs/operators/configuration.md"))]
    Refused {
        /// The error message of the deserializer.
        problem: String,
    },
}

/// Formats the help text for an unknown name: the most similar name, if any, and all known names.
fn suggest(nearest: Option<&String>, known: &str) -> String {
    match nearest {
        Some(nearest) => format!("did you mean `{nearest}`? known here: {known}"),
        None if known.is_empty() => "none is configured".to_owned(),
        None => format!("known here: {known}"),
    }
}
