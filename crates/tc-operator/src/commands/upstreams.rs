//! `upstreams`

use super::{READ_FLAGS, millis, or_dash, yes_no};
use crate::{
    Exit,
    admin::{UpstreamReport, paths},
    admin_client::AdminClient,
    command::{Command, Context, Example, JSON, Signature, block_on},
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["upstreams"],
    signature: Signature {
        positionals: &[],
        flags: READ_FLAGS,
    },
    description: "Show all upstreams with their homes and load",
    help: "
The home is the instance that grants permits for an upstream. Its load is as the home last told: calls
in flight of those it lets run at once, asks waiting, median service time. A leaving upstream gets no
new work; a drained one because an operator said so; an ejected one because it is an outlier.",
    examples: &[
        Example::new("upstreams --admin 127.0.0.1:9300", "all upstreams"),
        Example::new("upstreams --admin 127.0.0.1:9300 --json", "the same for a script"),
    ],
    exits: &[Exit::Unreachable],
    run,
};

const HEADER: &[&str] = &[
    "UPSTREAM",
    "SERVICE",
    "ADDRESS",
    "DOMAIN",
    "HOME",
    "LEAVING",
    "DRAINED",
    "EJECTED",
    "IN_FLIGHT",
    "CONCURRENCY",
    "WAITING",
    "SERVICE_MS",
];

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let admin = AdminClient::from_context(cx)?;
    let upstreams: Vec<UpstreamReport> = block_on(admin.get(paths::UPSTREAMS))?;
    if cx.arguments.has(&JSON) {
        return cx.output.json(&upstreams);
    }
    let rows: Vec<Vec<String>> = upstreams.iter().map(row).collect();
    cx.output.table(HEADER, &rows)
}

fn row(upstream: &UpstreamReport) -> Vec<String> {
    let load = upstream.summary.as_ref();
    vec![
        upstream.id.to_string(),
        upstream.service.to_string(),
        upstream.address.to_string(),
        upstream.domain.to_string(),
        or_dash(upstream.home.as_ref()),
        yes_no(upstream.leaving),
        yes_no(upstream.drained),
        or_dash(load.map(|load| yes_no(load.ejected))),
        or_dash(load.map(|load| load.in_flight)),
        or_dash(load.map(|load| load.concurrency)),
        or_dash(load.map(|load| load.waiting)),
        or_dash(load.map(|load| millis(load.service_ms))),
    ]
}
