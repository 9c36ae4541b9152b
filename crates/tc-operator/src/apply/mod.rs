//! Brings a folder into force, against other operators who do the same at the same moment.

mod attempt;
mod base;
mod pull;
mod reconcile;
mod settle;

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};
use tc_config::SourceFile;
use tc_platform::{Purpose, Store, StoreError, StoreSettings, Versioned};
use tc_protocol::{TcError, wire::ConfigObject};

use crate::{
    command::{Context, PLATFORM},
    error::CommandError,
};

pub(crate) use attempt::{Accepted, Apply, apply, both_changed};
pub(crate) use base::{Base, FORCE_BASE};
pub(crate) use pull::pull;
pub(crate) use reconcile::{Reconciled, reconcile};

/// File texts by name.
pub(crate) type Files = BTreeMap<String, String>;

/// The configuration in force; `None` before the first apply.
pub(crate) type Current = Option<Versioned<ConfigObject>>;

/// Calls a second of one command: far more than it needs, far less than the platform takes.
const CALLS_PER_S: f64 = 50.0;
const CALL_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// A client of the platform that the command's arguments name.
pub(crate) fn store(cx: &Context<'_>) -> Result<Store, CommandError> {
    let settings = StoreSettings {
        address: cx.address(&PLATFORM)?,
        calls_per_s: CALLS_PER_S,
        timeout: CALL_TIMEOUT,
    };
    Ok(Store::new(settings))
}

/// Reads the configuration in force.
pub(crate) async fn read(store: &Store) -> Result<Current, CommandError> {
    let read = tc_platform::read_config(store, Purpose::Operator).await;
    read.map_err(|e| store_error(&e))
}

/// Reads the configuration in force, which must exist.
pub(crate) async fn read_existing(store: &Store) -> Result<Versioned<ConfigObject>, CommandError> {
    read(store).await?.ok_or_else(|| CommandError::Failed {
        problem: "no configuration was ever applied".to_owned(),
        help: "apply one: tanagercroft config apply FOLDER".to_owned(),
    })
}

/// A failed call that surely changed nothing.
pub(crate) fn store_error(error: &StoreError) -> CommandError {
    let help = miette::Diagnostic::help(error).map(|help| help.to_string());
    TcError::Peer {
        peer: "platform".to_owned(),
        problem: error.to_string(),
        help: help.unwrap_or_default(),
    }
    .into()
}

/// A folder's files by name.
pub(crate) fn by_name(files: &[SourceFile]) -> Files {
    let files = files.iter();
    files
        .map(|file| (file.name.to_string(), file.text.to_string()))
        .collect()
}

/// Texts of the files in force.
pub(crate) fn in_force(current: &Current) -> Files {
    let files = current.iter().flat_map(|current| &current.value.files);
    files
        .map(|(name, file)| (name.clone(), file.text.clone()))
        .collect()
}

/// Files as the merge takes them.
pub(crate) fn sources(files: &Files) -> Vec<SourceFile> {
    let files = files.iter();
    files
        .map(|(name, text)| SourceFile::new(name, text))
        .collect()
}

/// Hash of a file's text in hexadecimal digits.
fn hash(text: &str) -> String {
    format!("{:x}", Sha256::digest(text))
}
