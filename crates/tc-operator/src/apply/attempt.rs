//! The loop of an apply: reconcile, validate, compare and set, until it is accepted or refused.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tc_config::{Merged, merge_with_overrides};
use tc_platform::{ApplyResult, Backoff, Store, StoreError, Versioned, apply_config};
use tc_protocol::{
    TcError,
    wire::{ConfigFile, ConfigObject, MAX_OBJECT_BYTES},
};

use super::{
    Base, Current, Files, Reconciled, in_force, read, reconcile,
    settle::{Verdict, settle},
    sources, store_error,
};
use crate::error::CommandError;

/// Times another operator may be first before we give up.
const MAX_ATTEMPTS: u32 = 50;
const FIRST_DELAY: Duration = Duration::from_millis(5);
const LONGEST_DELAY: Duration = Duration::from_millis(200);

/// Configuration to bring into force.
pub(crate) struct Apply<'a> {
    pub(crate) ours: &'a Files,
    pub(crate) base: &'a Base,
    /// Operator that applies it.
    pub(crate) operator: &'a str,
}

/// An apply that is in force.
#[derive(Clone, Debug)]
pub(crate) struct Accepted {
    /// Configuration in force.
    pub(crate) current: Current,
    /// Result of the merge; `ours` is empty if nothing had to be changed.
    pub(crate) reconciled: Reconciled,
    /// Messages of the merge.
    pub(crate) merged: Merged,
    /// Times another operator was first.
    pub(crate) overtaken: u32,
}

impl Accepted {
    /// The revision in force.
    pub(crate) fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |c| c.value.revision)
    }
}

/// Outcome of one round.
enum Round {
    Accepted(Box<Accepted>),
    /// Another operator was first.
    Overtaken,
}

/// Brings a folder into force on top of `current`, or of whatever other operators bring into force meanwhile.
pub(crate) async fn apply(
    store: &Store,
    apply: &Apply<'_>,
    mut current: Current,
) -> Result<Accepted, CommandError> {
    let mut backoff = Backoff::new(FIRST_DELAY, LONGEST_DELAY);
    for overtaken in 0..MAX_ATTEMPTS {
        match round(store, apply, current, overtaken).await? {
            Round::Accepted(accepted) => return Ok(*accepted),
            Round::Overtaken => {}
        }
        tokio::time::sleep(backoff.next_delay(rand::random())).await;
        // Read after the pause: what was read before it is stale against an operator who applies in a loop.
        current = read(store).await?;
    }
    Err(TcError::Conflict {
        problem: format!("other operators were first {MAX_ATTEMPTS} times in a row"),
        help: "nothing of yours is in force; apply again when they are done".to_owned(),
    }
    .into())
}

async fn round(
    store: &Store,
    apply: &Apply<'_>,
    current: Current,
    overtaken: u32,
) -> Result<Round, CommandError> {
    let reconciled = reconcile(&apply.base.files, apply.ours, &in_force(&current))
        .map_err(|files| both_changed(&files, &current))?;
    let revision = current.as_ref().map_or(0, |c| c.value.revision) + 1;
    let merged = merge_with_overrides(&sources(&reconciled.files), revision)?;
    let mut accepted = Accepted {
        current,
        reconciled,
        merged,
        overtaken,
    };
    if accepted.reconciled.ours.is_empty() {
        return Ok(Round::Accepted(Box::new(accepted)));
    }
    let new = object(apply, &accepted.reconciled, &accepted.current, revision)?;
    let written = apply_config(store, accepted.current.clone(), new.clone()).await;
    let version = match written {
        ApplyResult::Applied { version } => version,
        ApplyResult::Conflict(_) => return Ok(Round::Overtaken),
        ApplyResult::NotApplied(StoreError::TooLarge) => return Err(too_large()),
        ApplyResult::NotApplied(e) => return Err(store_error(&e)),
        ApplyResult::Unknown => match read_back(store, &new, &accepted.reconciled).await? {
            ReadBack::InForce(version) => version,
            ReadBack::NotInForce => return Ok(Round::Overtaken),
        },
    };
    accepted.current = Some(Versioned {
        version,
        value: new,
    });
    Ok(Round::Accepted(Box::new(accepted)))
}

/// Result of reading back a write whose answer was lost.
enum ReadBack {
    /// Its change is in force, in an object of this version.
    InForce(u64),
    /// It never took effect.
    NotInForce,
}

async fn read_back(
    store: &Store,
    new: &ConfigObject,
    reconciled: &Reconciled,
) -> Result<ReadBack, CommandError> {
    let found = read(store).await.map_err(|_| outcome_unknown(new))?;
    let Some(object) = &found else {
        return Err(outcome_unknown(new));
    };
    match settle(
        new.revision,
        &reconciled.ours,
        &reconciled.files,
        &object.value,
    ) {
        Verdict::InForce => Ok(ReadBack::InForce(object.version)),
        Verdict::NotInForce => Ok(ReadBack::NotInForce),
        Verdict::Unknown => Err(outcome_unknown(new)),
    }
}

fn object(
    apply: &Apply<'_>,
    reconciled: &Reconciled,
    current: &Current,
    revision: u64,
) -> Result<ConfigObject, CommandError> {
    let files = reconciled.files.iter().map(|(name, text)| {
        let before = (current.as_ref()).and_then(|current| current.value.files.get(name));
        let file = match before {
            Some(before) if before.text == *text => before.clone(),
            _ => ConfigFile {
                text: text.clone(),
                revision,
            },
        };
        (name.clone(), file)
    });
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let object = ConfigObject {
        revision,
        files: files.collect(),
        applied_by: apply.operator.to_owned(),
        apply_id: format!("{:032x}", rand::random::<u128>()),
        applied_at_ms: since_epoch.map_or(0, |time| time.as_millis() as u64),
    };
    // Quotes and line ends take two bytes in JSON, so that files of a permitted size can still be too large.
    let encoded = serde_json::to_vec(&object).map_err(std::io::Error::from)?;
    if encoded.len() > MAX_OBJECT_BYTES {
        return Err(too_large());
    }
    Ok(object)
}

/// The error for files that both sides changed differently.
pub(crate) fn both_changed(files: &[String], current: &Current) -> CommandError {
    let (revision, who) = match current {
        Some(current) => (current.value.revision, current.value.applied_by.as_str()),
        None => (0, "nobody"),
    };
    TcError::Conflict {
        problem: format!(
            "changed here and in force too, differently: {} (revision {revision} by {who})",
            files.join(", ")
        ),
        help: "nothing of yours is in force; pull with `config show --files NEW-FOLDER`, make your change there and \
               apply that"
            .to_owned(),
    }
    .into()
}

fn too_large() -> CommandError {
    TcError::Folder {
        folder: "configuration".to_owned(),
        problem: format!("larger than the {MAX_OBJECT_BYTES} bytes that the platform holds"),
        help: "remove files that are no longer needed".to_owned(),
    }
    .into()
}

fn outcome_unknown(new: &ConfigObject) -> CommandError {
    CommandError::OutcomeUnknown {
        problem: format!(
            "the answer to the apply of revision {} was lost, and reading back did not settle whether it was accepted",
            new.revision
        ),
        help: format!(
            "apply the folder again when the platform answers: what is in force already is not changed again \
             (apply id {})",
            new.apply_id
        ),
    }
}
