//! Deterministic outputs, so that a judge can compute the right answer from the input alone.

use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

/// An input with this text crashes the upstream that starts to run it.
///
/// Followed by `@stage`, it crashes only upstreams running that stage. As the first word of an input and behind a `#`
/// (`#CRASH-UPSTREAM@generate …`) it passes through the pools before that stage.
pub const CRASH_MARKER: &str = "CRASH-UPSTREAM";

/// First character of a marker that pools keep in their output.
const MARKER_SIGN: char = '#';
/// Letters of one generated word.
const WORD_LETTERS: usize = 5;
const LETTERS: u64 = 26;

/// Transformation of a stage's input into its output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageKind {
    /// See [`pool_output`].
    Pool,
    /// See [`engine_output`].
    Engine {
        /// Tokens generated.
        max_tokens: u32,
    },
}

/// Output of a pool for a stage: `<stage>:<digest of the input>`, after the input's marker if it has one.
///
/// A marker is the input's first word when it starts with `#`.
///
/// ```
/// use tc_stand_ins::pool_output;
/// let out = pool_output("encode", "#job-7 probe log");
/// assert!(out.starts_with("#job-7 encode:"));
/// assert_ne!(out, pool_output("encode", "#job-7 other log"));
/// ```
#[must_use]
pub fn pool_output(stage: &str, input: &str) -> String {
    let digest = xxh3_64(input.as_bytes());
    match marker(input) {
        Some(marker) => format!("{marker} {stage}:{digest:016x}"),
        None => format!("{stage}:{digest:016x}"),
    }
}

/// Output of an engine: `tokens` words that depend on the whole prompt.
///
/// ```
/// use tc_stand_ins::engine_output;
/// assert_eq!(engine_output("a prompt", 12).split(' ').count(), 12);
/// assert!(engine_output("a prompt", 12).starts_with(&engine_output("a prompt", 4)));
/// assert_ne!(engine_output("a prompt", 4), engine_output("b prompt", 4));
/// ```
#[must_use]
pub fn engine_output(prompt: &str, tokens: u32) -> String {
    let seed = prompt_seed(prompt);
    let mut text = String::with_capacity(tokens as usize * (WORD_LETTERS + 1));
    for index in 0..tokens {
        push_token(&mut text, seed, index);
    }
    text
}

/// Answer of a plain service to a body sent to a path (with its query, if any).
///
/// ```
/// use tc_stand_ins::plain_output;
/// assert_eq!(plain_output("/bids/7", b"{}")["path"], "/bids/7");
/// ```
#[must_use]
pub fn plain_output(path: &str, body: &[u8]) -> Value {
    json!({ "path": path, "digest": format!("{:016x}", xxh3_64(body)) })
}

/// Output of a whole pipeline.
///
/// ```
/// use tc_stand_ins::{StageKind, engine_output, expected_pipeline_output, pool_output};
/// let stages = [("encode", StageKind::Pool), ("generate", StageKind::Engine { max_tokens: 3 })];
/// let expected = engine_output(&pool_output("encode", "log"), 3);
/// assert_eq!(expected_pipeline_output(&stages, "log"), expected);
/// ```
#[must_use]
pub fn expected_pipeline_output(stages: &[(&str, StageKind)], input: &str) -> String {
    stages
        .iter()
        .fold(input.to_owned(), |input, (stage, kind)| match kind {
            StageKind::Pool => pool_output(stage, &input),
            StageKind::Engine { max_tokens } => engine_output(&input, *max_tokens),
        })
}

/// Seed from which every token of a prompt's completion is derived.
pub(crate) fn prompt_seed(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Appends token `index` of the completion with this seed.
pub(crate) fn push_token(text: &mut String, seed: u64, index: u32) {
    if index > 0 {
        text.push(' ');
    }
    let mut rest = mix(seed ^ mix(u64::from(index) + 1));
    for _ in 0..WORD_LETTERS {
        text.push(char::from(b'a' + (rest % LETTERS) as u8));
        rest /= LETTERS;
    }
}

/// Whether an input crashes an upstream that runs `stage`.
pub(crate) fn crashes(input: &str, stage: Option<&str>) -> bool {
    let Some(at) = input.find(CRASH_MARKER) else {
        return false;
    };
    let Some(target) = input[at + CRASH_MARKER.len()..].strip_prefix('@') else {
        return true;
    };
    let target = target
        .split(|c: char| c.is_whitespace() || c == '"')
        .next()
        .unwrap_or_default();
    stage == Some(target)
}

fn marker(input: &str) -> Option<&str> {
    input
        .split_whitespace()
        .next()
        .filter(|word| word.starts_with(MARKER_SIGN))
}

/// The finalizer of `SplitMix64`: spreads every input bit over the whole word.
const fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
