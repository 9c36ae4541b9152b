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
    let details = fields
        .iter()
        .map(|(key, value)| format!("{key}={}", plain(value)));
    let details = details.collect::<Vec<_>>().join(" ");
    vec![millis(step.at_ms), kind.unwrap_or_default(), details]
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) if text.contains(' ') => format!("{text:?}"),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
