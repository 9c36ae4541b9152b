//! `quarantine lift`

use tc_platform::{StoreError, remove_quarantined};
use tc_protocol::{Fingerprint, TcError};

use super::digits;
use crate::{
    Exit, apply,
    command::{Command, Context, Example, PLATFORM, Signature, block_on},
    error::{CommandError, usage},
};

pub(crate) const COMMAND: Command = Command {
    words: &["quarantine", "lift"],
    signature: Signature {
        positionals: &["FINGERPRINT"],
        flags: &[PLATFORM],
    },
    description: "Let a quarantined request run again",
    help: "
Every instance takes it up within seconds, at its next look at the platform's list. Lift a quarantine when
what crashed the upstreams is mended; otherwise the request crashes as many again before it is quarantined
anew. To lift what is not quarantined changes nothing.",
    examples: &[Example::new(
        "quarantine lift 0000000000000bad --platform 127.0.0.1:9400",
        "the request with this fingerprint runs again",
    )],
    exits: &[Exit::Conflict, Exit::OutcomeUnknown, Exit::Unreachable],
    run,
};

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let fingerprint = fingerprint(cx.arguments.positional(0))?;
    let store = apply::store(cx)?;
    let lifted = async {
        let lifted = remove_quarantined(&store, fingerprint).await;
        lifted.map_err(|e| lift_error(fingerprint, &e))
    };
    let outcome = if block_on(lifted)? {
        "may run again"
    } else {
        "is not quarantined"
    };
    cx.output.line(format!("{} {outcome}", digits(fingerprint)))
}

/// Reads a fingerprint as `quarantine list` shows it.
fn fingerprint(text: &str) -> Result<Fingerprint, CommandError> {
    let wrong = |_| {
        let help = "write one as `quarantine list` shows it: 16 hexadecimal digits";
        usage(format!("{text:?} is no fingerprint"), help)
    };
    u64::from_str_radix(text, 16)
        .map(Fingerprint)
        .map_err(wrong)
}

fn lift_error(fingerprint: Fingerprint, error: &StoreError) -> CommandError {
    let fingerprint = digits(fingerprint);
    match error {
        StoreError::MaybeApplied => CommandError::OutcomeUnknown {
            problem: format!("whether the quarantine of {fingerprint} was lifted is unknown"),
            help: "give the command again; a repeat changes nothing".to_owned(),
        },
        StoreError::Conflict { .. } => TcError::Conflict {
            problem: format!("the quarantine of {fingerprint} was changed meanwhile"),
            help: "look at `quarantine list` and give the command again".to_owned(),
        }
        .into(),
        other => apply::store_error(other),
    }
}
