//! `workspaces`

use super::{millis, or_dash};
use crate::{
    Exit,
    admin::{StageCost, WorkspaceReport, paths},
    admin_client::AdminClient,
    command::{ADMIN, Command, Context, Example, Flag, JSON, Signature, block_on},
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["workspaces"],
    signature: Signature {
        positionals: &[],
        flags: &[ADMIN, COSTS, JSON],
    },
    description: "Show what each workspace asked for, got and cost",
    help: "
Attainment is the share of a workspace's requests answered whole within their deadline. With --costs,
shows the cost by stage instead; wasted milliseconds were spent on calls whose result nobody used.",
    examples: &[
        Example::new("workspaces --admin 127.0.0.1:9300", "attainment by workspace"),
        Example::new("workspaces --admin 127.0.0.1:9300 --costs", "cost by workspace and stage"),
        Example::new("workspaces --admin 127.0.0.1:9300 --json", "both for a script"),
    ],
    exits: &[Exit::Unreachable],
    run,
};

const COSTS: Flag = Flag::switch("--costs", "show the cost by stage");

const HEADER: &[&str] = &[
    "WORKSPACE",
    "WEIGHT",
    "REQUESTS",
    "IN_DEADLINE",
    "ATTAINMENT",
    "P50_MS",
    "P99_MS",
];
const COST_HEADER: &[&str] = &[
    "WORKSPACE",
    "PIPELINE",
    "STAGE",
    "CALLS",
    "TOKENS",
    "MS",
    "WASTED_MS",
];

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let admin = AdminClient::from_context(cx)?;
    let workspaces: Vec<WorkspaceReport> = block_on(admin.get(paths::WORKSPACES))?;
    if cx.arguments.has(&JSON) {
        return cx.output.json(&workspaces);
    }
    if cx.arguments.has(&COSTS) {
        let rows: Vec<Vec<String>> = workspaces.iter().flat_map(cost_rows).collect();
        return cx.output.table(COST_HEADER, &rows);
    }
    let rows: Vec<Vec<String>> = workspaces.iter().map(row).collect();
    cx.output.table(HEADER, &rows)
}

fn row(workspace: &WorkspaceReport) -> Vec<String> {
    vec![
        workspace.name.to_string(),
        workspace.weight.to_string(),
        workspace.requests.to_string(),
        workspace.answered_in_deadline.to_string(),
        format!("{:.2}%", workspace.attainment * 100.0),
        millis(workspace.p50_ms),
        millis(workspace.p99_ms),
    ]
}

fn cost_rows(workspace: &WorkspaceReport) -> Vec<Vec<String>> {
    let row = |cost: &StageCost| {
        vec![
            workspace.name.to_string(),
            or_dash(cost.pipeline.as_ref()),
            cost.stage.to_string(),
            cost.calls.to_string(),
            cost.tokens.to_string(),
            millis(cost.ms),
            millis(cost.wasted_ms),
        ]
    };
    workspace.cost_by_stage.iter().map(row).collect()
}
