//! `config apply`

use std::time::{Duration, Instant};

use tc_config::read_folder;

use super::OPERATOR_NAME;
use crate::{
    Exit,
    admin::{InstanceReport, StatusReport, paths},
    admin_client::AdminClient,
    apply::{self, Accepted, Apply, Base, FORCE_BASE},
    command::{ADMIN, Command, Context, Example, Flag, PLATFORM, Signature, block_on},
    error::{CommandError, usage},
    settings,
};

pub(crate) const COMMAND: Command = Command {
    words: &["config", "apply"],
    signature: Signature {
        positionals: &["FOLDER"],
        flags: &[PLATFORM, OPERATOR_NAME, WAIT, WAIT_LIMIT, ADMIN, FORCE_BASE],
    },
    description: "Bring a configuration folder into force",
    help: "
Merges and validates the folder, and writes it to the platform if nobody else was first. When somebody
was, the two changes are put together file by file: a file that only they changed stays as they have
it, a file that only you changed becomes yours, and a file that both changed differently is refused by
name, with nothing of yours in force. What is accepted is never reverted by another apply.

To tell whose change is whose, `.tanagercroft-base` in the folder notes what it was last applied or
pulled as. A folder without it is refused when other files are in force: pull first, with
`config show --files`, or use --force-base.

An answer lost on its way is read back. Instances take up an accepted configuration within seconds;
--wait waits until every live one has.",
    examples: &[
        Example::new(
            "config apply fleet --platform 127.0.0.1:9400 --as nadia",
            "bring the folder `fleet` into force",
        ),
        Example::new(
            "config apply fleet --platform 127.0.0.1:9400 --wait --admin 127.0.0.1:9300",
            "the same, and wait until all instances have it",
        ),
    ],
    exits: &[
        Exit::InvalidConfig,
        Exit::Conflict,
        Exit::OutcomeUnknown,
        Exit::Unreachable,
    ],
    run,
};

const WAIT: Flag = Flag::switch("--wait", "wait until every live instance has it");
const WAIT_LIMIT: Flag = Flag {
    name: "--wait-limit-s",
    value: Some("S"),
    variable: None,
    help: "longest time to wait (default: 60)",
};
const DEFAULT_WAIT_LIMIT_S: u64 = 60;
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Variable with the user's name, set by the login.
const USER: &str = "USER";

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let folder = cx.path(cx.arguments.positional(0));
    let forced = forced_base(cx)?;
    let limit = whole_number(cx, &WAIT_LIMIT)?.unwrap_or(DEFAULT_WAIT_LIMIT_S);
    let limit = Duration::from_secs(limit);
    let operator = operator(cx);
    // Missing prerequisites of the wait are reported before anything is changed.
    let admin = if cx.arguments.has(&WAIT) {
        Some(AdminClient::from_context(cx)?)
    } else {
        None
    };
    let ours = apply::by_name(&read_folder(&folder)?);
    let store = apply::store(cx)?;
    let note = Base::read(&folder)?;
    let accepted = block_on(async {
        let current = apply::read(&store).await?;
        let base = Base::find(&folder, forced, &ours, &current)?;
        let request = Apply {
            ours: &ours,
            base: &base,
            operator: &operator,
        };
        apply::apply(&store, &request, current).await
    })?;
    tell(cx, &accepted)?;
    if let Err(e) = Base::of(&ours, &accepted.current).write(&folder, note.as_ref()) {
        cx.output.note(format!(
            "accepted, but the folder's note cannot be kept: {e}"
        ))?;
    }
    match admin {
        Some(admin) => wait(cx, &admin, accepted.revision(), limit),
        None => Ok(()),
    }
}

/// The revision that the folder is said to stand on.
pub(super) fn forced_base(cx: &Context<'_>) -> Result<Option<u64>, CommandError> {
    whole_number(cx, &FORCE_BASE)
}

fn operator(cx: &Context<'_>) -> String {
    let named = cx.arguments.value(&OPERATOR_NAME).map(|(name, _)| name);
    let name = named.or_else(|| cx.arguments.variable(USER));
    name.unwrap_or("unknown").to_owned()
}

fn whole_number(cx: &Context<'_>, flag: &Flag) -> Result<Option<u64>, CommandError> {
    let Some((text, origin)) = cx.arguments.value(flag) else {
        return Ok(None);
    };
    let number = text.parse().map_err(|_| {
        let problem = format!("{}: {text:?} is not a whole number", origin.name());
        usage(problem, format!("{}: {}", flag.how(), flag.help))
    })?;
    Ok(Some(number))
}

fn tell(cx: &mut Context<'_>, accepted: &Accepted) -> Result<(), CommandError> {
    let revision = accepted.revision();
    for note in &accepted.merged.overrides {
        cx.output.note(format!("note: {note}"))?;
    }
    for file in &accepted.reconciled.theirs {
        cx.output.note(format!(
            "note: {file} stays as another operator brought it into force; your folder has it otherwise"
        ))?;
    }
    if accepted.reconciled.ours.is_empty() {
        return cx.output.line(format!(
            "nothing to change: revision {revision} is in force"
        ));
    }
    if accepted.overtaken > 0 {
        cx.output.note(format!(
            "note: other operators were first {} times; put together with their changes",
            accepted.overtaken
        ))?;
    }
    let files = accepted.reconciled.ours.join(", ");
    cx.output
        .line(format!("accepted: revision {revision}, changed {files}"))
}

fn wait(
    cx: &mut Context<'_>,
    admin: &AdminClient,
    revision: u64,
    limit: Duration,
) -> Result<(), CommandError> {
    let behind = block_on(async {
        let start = Instant::now();
        loop {
            let status: StatusReport = admin
                .get(paths::STATUS)
                .await
                .map_err(|e| not_seen(revision, &e))?;
            let behind = instances_behind(&status.instances, revision);
            if behind.is_empty() || start.elapsed() >= limit {
                return Ok(behind);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    })?;
    if behind.is_empty() {
        return cx.output.line(format!(
            "revision {revision} is in force on every live instance"
        ));
    }
    Err(CommandError::Failed {
        problem: format!(
            "revision {revision} is accepted, and after {} s not in force on: {}",
            limit.as_secs(),
            behind.join(", ")
        ),
        help: "see `tanagercroft status`, and the log of these instances".to_owned(),
    })
}

fn instances_behind(instances: &[InstanceReport], revision: u64) -> Vec<String> {
    let behind = instances.iter().filter(|instance| {
        instance.is_live() && instance.revision.is_none_or(|found| found < revision)
    });
    behind.map(|instance| instance.id.to_string()).collect()
}

/// The configuration is accepted by now, so that "nothing was done" would be untrue.
fn not_seen(revision: u64, error: &CommandError) -> CommandError {
    CommandError::Failed {
        problem: format!("revision {revision} is accepted, but the wait failed: {error}"),
        help: format!("see `tanagercroft status`; {}", settings::ADDRESS_HELP),
    }
}
