//! `status`

use super::{READ_FLAGS, or_dash, word, yes_no};
use crate::{
    Exit,
    admin::{InstanceReport, StatusReport, paths},
    admin_client::AdminClient,
    command::{Command, Context, Example, JSON, Signature, block_on},
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["status"],
    signature: Signature {
        positionals: &[],
        flags: READ_FLAGS,
    },
    description: "Show all instances and the configuration revision in force on each",
    help: "
Asks one instance for the fleet as it sees it. `-` is what it does not know of another one.",
    examples: &[
        Example::new("status --admin 127.0.0.1:9300", "the fleet"),
        Example::new(
            "status --admin 127.0.0.1:9300 --json",
            "the same for a script",
        ),
    ],
    exits: &[Exit::Unreachable],
    run,
};

const HEADER: &[&str] = &[
    "INSTANCE",
    "STATE",
    "DOMAIN",
    "REGION",
    "CALLERS",
    "REVISION",
    "STORE",
    "STORE_AGE_MS",
    "UPTIME_S",
    "HOMES",
    "IN_FLIGHT",
];

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let admin = AdminClient::from_context(cx)?;
    let status: StatusReport = block_on(admin.get(paths::STATUS))?;
    if cx.arguments.has(&JSON) {
        return cx.output.json(&status);
    }
    let rows: Vec<Vec<String>> = status.instances.iter().map(row).collect();
    cx.output.table(HEADER, &rows)?;
    cx.output.note(format!(
        "revisions in force: {} to {}",
        status.lowest_revision, status.newest_revision
    ))
}

fn row(instance: &InstanceReport) -> Vec<String> {
    vec![
        instance.id.to_string(),
        word(instance.state),
        instance.failure_domain.to_string(),
        instance.region.to_string(),
        instance.caller_address.to_string(),
        or_dash(instance.revision),
        or_dash(instance.store_reachable.map(yes_no)),
        or_dash(instance.store_age_ms),
        or_dash(instance.uptime_s),
        or_dash(instance.homes),
        or_dash(instance.in_flight),
    ]
}
