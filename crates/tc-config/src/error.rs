//! The error type of reading and merging a configuration.

use miette::{Diagnostic, NamedSource};
use tc_protocol::TcError;
use thiserror::Error;

use crate::{Fault, MAX_FOLDER_BYTES};

/// An error from reading a configuration folder or from merging and validating its files.
#[derive(Debug, Error, Diagnostic)]
pub enum ConfigError {
    /// The folder or a file in it cannot be read.
    #[error("cannot read {path}: {problem}")]
    #[diagnostic(
        code(tc::config::unreadable),
        help("check the path and that this user may read it")
    )]
    Unreadable {
        /// The folder or file.
        path: String,
        /// The error message of the operating system.
        problem: String,
    },
    /// The path is not a folder.
    #[error("{path} is not a folder")]
    #[diagnostic(
        code(tc::config::not_a_folder),
        help("name the folder that holds the *.toml files, not one of the files")
    )]
    NotAFolder {
        /// The path.
        path: String,
    },
    /// An entry named `*.toml` is not a regular file.
    #[error("{path} is {what}, not a file")]
    #[diagnostic(
        code(tc::config::not_a_file),
        help(
            "only regular files are merged, from one level; copy the content in or rename the entry"
        )
    )]
    NotAFile {
        /// The path of the entry.
        path: String,
        /// The type of the entry, such as `a symbolic link`.
        what: &'static str,
    },
    /// A file name is not UTF-8.
    #[error("the name of {path} is not UTF-8")]
    #[diagnostic(
        code(tc::config::name_not_utf8),
        help("rename the file, for example 10-models.toml")
    )]
    NameNotUtf8 {
        /// The path of the file, with invalid UTF-8 replaced.
        path: String,
    },
    /// The content of a file is not UTF-8.
    #[error("{path} is not UTF-8 text: the byte at {offset} is wrong")]
    #[diagnostic(code(tc::config::text_not_utf8), help("save the file as UTF-8"))]
    TextNotUtf8 {
        /// The file.
        path: String,
        /// Offset of the first invalid byte.
        offset: usize,
    },
    /// The total size of the files exceeds [`MAX_FOLDER_BYTES`].
    #[error("the files in {path} have {at_least} bytes or more; {MAX_FOLDER_BYTES} are allowed")]
    #[diagnostic(
        code(tc::config::folder_too_large),
        help(
            "the platform holds the whole configuration in one object of a megabyte: remove files that are no longer needed"
        )
    )]
    FolderTooLarge {
        /// The folder.
        path: String,
        /// Total size counted until the limit was exceeded.
        at_least: u64,
    },
    /// No file contains a key.
    #[error("there is no configuration: no *.toml file with a key in it")]
    #[diagnostic(
        code(tc::config::empty),
        help(
            "write at least one file, such as 10-services.toml; an empty configuration would stop all service"
        )
    )]
    Empty,
    /// Two files have the same name.
    #[error("two files are called {name}")]
    #[diagnostic(
        code(tc::config::same_file_name),
        help("file names decide the order of the merge and must be unique")
    )]
    SameFileName {
        /// The name.
        name: String,
    },
    /// The files were read, but their content is not a valid configuration.
    #[error("the configuration has {} fault{}", faults.len(), if faults.len() == 1 { "" } else { "s" })]
    #[diagnostic(code(tc::config::invalid))]
    Invalid {
        /// All faults, sorted by file name and position.
        #[related]
        faults: Vec<Fault>,
    },
}

impl ConfigError {
    /// Returns the faults found inside the files; empty for errors of other kinds.
    ///
    /// ```
    /// use tc_config::{SourceFile, merge};
    /// let token = format!("token_sha256 = \"{:064}\"", 7);
    /// let text = format!("[workspaces.lintas]\nwieght = 4\n{token}");
    /// let file = SourceFile::new("10-base.toml", &text);
    /// let error = merge(&[file], 1).unwrap_err();
    /// let fault = &error.faults()[0];
    /// assert_eq!(fault.location(), "10-base.toml:2");
    /// assert_eq!(fault.key(), "workspaces.lintas.wieght");
    /// ```
    #[must_use]
    pub fn faults(&self) -> &[Fault] {
        match self {
            Self::Invalid { faults } => faults,
            _ => &[],
        }
    }
}

impl From<ConfigError> for TcError {
    fn from(error: ConfigError) -> Self {
        let help = error.help().map(|h| h.to_string()).unwrap_or_default();
        match error {
            ConfigError::Invalid { faults } => from_faults(faults),
            other => Self::Folder {
                folder: "configuration".to_owned(),
                problem: other.to_string(),
                help,
            },
        }
    }
}

/// Converts faults to a single error located at the first fault; its help text lists the other faults.
fn from_faults(faults: Vec<Fault>) -> TcError {
    let mut faults = faults.into_iter();
    let Some(first) = faults.next() else {
        return TcError::Internal {
            problem: "a configuration was refused without a fault".to_owned(),
        };
    };
    let mut lines = vec![first.help().map(|h| h.to_string()).unwrap_or_default()];
    lines.extend(faults.map(|other| format!("also {}: {other}", other.location())));
    TcError::Config {
        problem: format!("{}: {first}", first.location()),
        file: NamedSource::new(&*first.file.name, first.file.text.to_string()),
        at: Some(first.span),
        help: lines.join("\n"),
    }
}
