//! One thing that is wrong inside the configuration files, and where.

use std::fmt;

use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};
use thiserror::Error;

use crate::{
    SourceFile,
    check::{MAX_DEADLINE_MS, MAX_PRIORITY, MIN_DEADLINE_MS},
    source::Place,
};

/// What is wrong, and the file, place and key it is wrong at.
#[derive(Debug, Error)]
pub struct Fault {
    pub(crate) file: SourceFile,
    pub(crate) span: SourceSpan,
    key: String,
    kind: FaultKind,
    source_code: NamedSource<std::sync::Arc<str>>,
}

impl Fault {
    pub(crate) fn new(place: &Place, key: &str, kind: FaultKind) -> Self {
        Self {
            file: place.file.clone(),
            span: place.span.clone().into(),
            key: key.to_owned(),
            kind,
            source_code: NamedSource::new(&*place.file.name, place.file.text.clone()),
        }
    }

    /// The file's name.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file.name
    }

    /// The line in the file, counted from 1.
    #[must_use]
    pub fn line(&self) -> usize {
        self.file.line(self.span.offset())
    }

    /// File and line, as `10-base.toml:3`.
    #[must_use]
    pub fn location(&self) -> String {
        format!("{}:{}", self.file(), self.line())
    }

    /// The key with its tables, such as `pipelines.notices.deadline_ms`; empty for a syntax fault.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// What is wrong.
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

/// What can be wrong inside the files.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum FaultKind {
    /// The file is not TOML.
    #[error("not valid TOML: {problem}")]
    #[diagnostic(code(tc::config::syntax), help("see https://toml.io for the syntax"))]
    Syntax {
        /// What the parser said.
        problem: String,
    },
    /// No such key exists.
    #[error("unknown key")]
    #[diagnostic(code(tc::config::unknown_key), help("{}", suggest(nearest.as_ref(), known)))]
    UnknownKey {
        /// The known key most like it.
        nearest: Option<String>,
        /// All keys known there.
        known: String,
    },
    /// A value has the wrong type.
    #[error("{found} is not {expected}")]
    #[diagnostic(code(tc::config::wrong_type), help("write {expected}"))]
    WrongType {
        /// What it must be.
        expected: String,
        /// What it is.
        found: String,
    },
    /// A key that must be there is not.
    #[error("the key `{missing}` is missing")]
    #[diagnostic(code(tc::config::missing_key), help("add `{missing} = …`, {expected}"))]
    MissingKey {
        /// The key.
        missing: String,
        /// What its value must be.
        expected: String,
    },
    /// A name cannot be used in paths and addresses.
    #[error("{name:?} cannot be a name")]
    #[diagnostic(
        code(tc::config::bad_name),
        help("use 1 to 64 letters, digits, `-`, `_` and `.`, the first a letter or digit")
    )]
    BadName {
        /// The name.
        name: String,
    },
    /// A service is named that is not configured.
    #[error("there is no service {name:?}")]
    #[diagnostic(code(tc::config::unknown_service), help("{}", suggest(nearest.as_ref(), known)))]
    UnknownService {
        /// The name.
        name: String,
        /// The service most like it.
        nearest: Option<String>,
        /// All services.
        known: String,
    },
    /// A model is named that is not configured.
    #[error("there is no model {name:?}")]
    #[diagnostic(code(tc::config::unknown_model), help("{}", suggest(nearest.as_ref(), known)))]
    UnknownModel {
        /// The name.
        name: String,
        /// The model most like it.
        nearest: Option<String>,
        /// All models.
        known: String,
    },
    /// A workspace is named that is not configured.
    #[error("there is no workspace {name:?}")]
    #[diagnostic(code(tc::config::unknown_workspace), help("{}", suggest(nearest.as_ref(), known)))]
    UnknownWorkspace {
        /// The name.
        name: String,
        /// The workspace most like it.
        nearest: Option<String>,
        /// All workspaces.
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
    /// A number must be above zero.
    #[error("{found} is not above zero")]
    #[diagnostic(
        code(tc::config::not_positive),
        help("use a finite number above zero; leave an optional key out when it shall not bind")
    )]
    NotPositive {
        /// The number.
        found: String,
    },
    /// A number must lie in a range.
    #[error("{found} is not {range}")]
    #[diagnostic(code(tc::config::out_of_range), help("use a number {range}"))]
    OutOfRange {
        /// The number.
        found: String,
        /// The range in words.
        range: &'static str,
    },
    /// A token hash is no SHA-256.
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
    /// Two upstreams have the same identifier.
    #[error("{id:?} is the id of another upstream in service {other:?} too")]
    #[diagnostic(
        code(tc::config::duplicate_upstream),
        help("upstream ids are unique over all services")
    )]
    DuplicateUpstream {
        /// The identifier.
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
    /// An address nobody can connect to.
    #[error("nothing can be reached at {address}")]
    #[diagnostic(
        code(tc::config::unusable_address),
        help("give the IP number and the port the upstream listens on")
    )]
    UnusableAddress {
        /// The address.
        address: String,
    },
    /// An engine service names no model.
    #[error("an engine service needs a model")]
    #[diagnostic(
        code(tc::config::engine_without_model),
        help("add `model = \"…\"`, one of the [models] tables")
    )]
    EngineWithoutModel,
    /// A service that is no engine names a model.
    #[error("only services of kind \"engine\" have a model")]
    #[diagnostic(
        code(tc::config::model_without_engine),
        help("remove `model` or set `kind = \"engine\"`")
    )]
    ModelWithoutEngine,
    /// Claims would be forgotten while their requests may still run.
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
        /// Shortest retention that is safe, in seconds.
        needed_s: u64,
    },
    /// The values fit the schema and the model still refuses them.
    #[error("{problem}")]
    #[diagnostic(code(tc::config::refused), help("see docs/operators/configuration.md"))]
    Refused {
        /// What the model said.
        problem: String,
    },
}

fn suggest(nearest: Option<&String>, known: &str) -> String {
    match nearest {
        Some(nearest) => format!("did you mean `{nearest}`? known here: {known}"),
        None if known.is_empty() => "none is configured".to_owned(),
        None => format!("known here: {known}"),
    }
}
