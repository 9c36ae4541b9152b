//! `explain`

use serde_json::Value;
use tc_protocol::{Explanation, Step};

use super::{millis, or_dash};
use crate::{
    Exit,
    admin::paths,
    admin_client::AdminClient,
    command::{ADMIN, Command, Context, Example, Flag, JSON, Signature, block_on},
    error::CommandError,
    log_lines,
};

/// Where log lines are.
const LOGS: Flag = Flag::value(
    "--logs",
    "FILE",
    "TANAGERCROFT_LOGS",
    "log lines of any number of instances, in place of an instance",
);

pub(crate) const COMMAND: Command = Command {
    words: &["explain"],
    signature: Signature {
        positionals: &["REQUEST"],
        flags: &[ADMIN, LOGS, JSON],
    },
    description: "Show what happened to a request and why",
    help: "
REQUEST is the x-request-id of the answer. Any instance can be asked: the identifier names the one that
took the request in, which keeps the decisions on its latest requests.

With --logs FILE no instance is asked: the decisions are read from log lines, which hold also those on
routed requests and of instances that are gone. AT_MS counts from the first line then.",
    examples: &[
        Example::new(
            "explain kl-a-1-19b0c5-2f --admin 127.0.0.1:9300",
            "all decisions on one request",
        ),
        Example::new(
            "explain kl-a-1-19b0c5-2f --admin 127.0.0.1:9300 --json",
            "the same for a script",
        ),
        Example::new(
            "explain 85a329663e983a89 --logs instances.log",
            "from the logs of all instances",
        ),
    ],
    exits: &[Exit::Unreachable],
    run,
};

/// The key under which a decision's kind is serialised.
const KIND: &str = "what";
const TIME: &str = "at_ms";
const MESSAGE: &str = "message";
/// Fields that are shown before the others: what the decision is about.
const FIRST: &[&str] = &["stage", "attempt", "upstream"];

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let id = super::identifier(cx.arguments.positional(0), "request")?;
    let logs = cx.arguments.value(&LOGS).map(|(file, _)| file.to_owned());
    let explanation = match logs {
        Some(file) => from_logs(cx, &file, id)?,
        None => from_instance(cx, id)?,
    };
    if cx.arguments.has(&JSON) {
        return cx.output.json(&explanation);
    }
    cx.output.line(format!(
        "request {} of workspace {}, pipeline {}",
        explanation.request,
        explanation.workspace,
        or_dash(explanation.pipeline.as_ref())
    ))?;
    let rows: Vec<Vec<String>> = explanation.steps.iter().map(row).collect();
    cx.output.table(&["AT_MS", "DECISION", "DETAILS"], &rows)
}

fn from_instance(cx: &Context<'_>, id: &str) -> Result<Explanation, CommandError> {
    let path = format!("{}{id}", paths::EXPLAIN);
    let admin = AdminClient::from_context(cx)?;
    block_on(admin.get(&path))
}

fn from_logs(cx: &Context<'_>, file: &str, id: &str) -> Result<Explanation, CommandError> {
    let failed = |problem: String, help: &str| CommandError::Failed {
        problem,
        help: help.to_owned(),
    };
    let bytes = std::fs::read(cx.path(file)).map_err(|error| {
        let help = "give a file with the lines that instances wrote to standard output";
        failed(format!("cannot read {file}: {error}"), help)
    })?;
    let text = String::from_utf8_lossy(&bytes);
    log_lines::explanation(&text, id).ok_or_else(|| {
        let help = "lines are bounded per second; look at the counters of the time, and at other instances' logs";
        failed(format!("no line of {file} is about request {id}"), help)
    })
}

fn row(step: &Step) -> Vec<String> {
    let Ok(Value::Object(mut fields)) = serde_json::to_value(step) else {
        return vec![
            millis(step.at_ms),
            "-".to_owned(),
            format!("{:?}", step.decision),
        ];
    };
    fields.remove(TIME);
    let kind = fields.remove(KIND).map(|kind| plain(&kind));
    // The log of the process describes it in its own words.
    let logged = fields.remove(MESSAGE).map(|message| plain(&message));
    let kind = logged.or(kind);
    let mut details = Vec::new();
    for key in FIRST {
        if let Some(value) = fields.remove(*key) {
            detail(key, &value, &mut details);
        }
    }
    for (key, value) in &fields {
        detail(key, value, &mut details);
    }
    vec![
        millis(step.at_ms),
        kind.unwrap_or_default(),
        details.join(" "),
    ]
}

/// Adds a field as `key=value`, and the fields of an object one by one.
fn detail(key: &str, value: &Value, details: &mut Vec<String>) {
    match value {
        Value::Object(fields) => fields
            .iter()
            .for_each(|(key, value)| detail(key, value, details)),
        value => details.push(format!("{key}={}", plain(value))),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains(' ') => format!("{text:?}"),
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => millis(number.as_f64().unwrap_or_default()),
        other => other.to_string(),
    }
}
