//! `explain`

use serde_json::Value;
use tc_protocol::{Explanation, Step};

use super::{READ_FLAGS, millis, or_dash};
use crate::{
    Exit,
    admin::paths,
    admin_client::AdminClient,
    command::{Command, Context, Example, JSON, Signature, block_on},
    error::CommandError,
};

pub(crate) const COMMAND: Command = Command {
    words: &["explain"],
    signature: Signature {
        positionals: &["REQUEST"],
        flags: READ_FLAGS,
    },
    description: "Show what happened to a request and why",
    help: "
REQUEST is the x-request-id of the answer. Any instance can be asked: the identifier names the one that
took the request in, which keeps the decisions on its latest requests.",
    examples: &[
        Example::new(
            "explain kl-a-1-19b0c5-2f --admin 127.0.0.1:9300",
            "all decisions on one request",
        ),
        Example::new(
            "explain kl-a-1-19b0c5-2f --admin 127.0.0.1:9300 --json",
            "the same for a script",
        ),
    ],
    exits: &[Exit::Unreachable],
    run,
};

/// The key under which a decision's kind is serialised.
const KIND: &str = "what";
const TIME: &str = "at_ms";
/// Fields that are shown before the others: what the decision is about.
const FIRST: &[&str] = &["stage", "attempt", "upstream"];

fn run(cx: &mut Context<'_>) -> Result<(), CommandError> {
    let id = super::identifier(cx.arguments.positional(0), "request")?;
    let path = format!("{}{id}", paths::EXPLAIN);
    let admin = AdminClient::from_context(cx)?;
    let explanation: Explanation = block_on(admin.get(&path))?;
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
