//! Keeps secrets out of the log.
//!
//! A bearer token in a log line is readable by everyone who may read logs, and is noticed only when it is misused. The
//! code logs none on purpose; this catches what slips in with a quoted header or a peer's error text.

/// Fields whose value is never written, wherever the name contains one of these.
const SECRET_KEYS: [&str; 5] = ["token", "authorization", "secret", "password", "credential"];
/// Texts after which a secret follows, in lower case.
const SECRET_MARKS: [&str; 8] = [
    "bearer ",
    "basic ",
    "token=",
    "token: ",
    "token\":\"",
    "secret=",
    "password=",
    "authorization: ",
];

/// Whether a field of this name holds a secret. Counts of tokens (`tokens_in`, `max_tokens`) do not.
pub(super) fn is_secret_key(key: &str) -> bool {
    let key = key.to_ascii_lowercase();
    !key.contains("tokens") && SECRET_KEYS.iter().any(|secret| key.contains(secret))
}

/// Replaces every secret in `text` by `mask`.
pub(super) fn mask_secrets(text: &str, mask: &str) -> String {
    let lower = text.to_ascii_lowercase();
    let mut masked = String::with_capacity(text.len());
    let mut kept_to = 0;
    while let Some(start) = next_secret(&lower, kept_to) {
        masked.push_str(&text[kept_to..start]);
        masked.push_str(mask);
        kept_to = start + secret_len(&text[start..]);
    }
    masked.push_str(&text[kept_to..]);
    masked
}

/// Where the next secret begins. Of marks that follow each other (`authorization: bearer x`) the last one counts.
fn next_secret(lower: &str, from: usize) -> Option<usize> {
    let mut start = first_mark_end(lower, from)?;
    while let Some(end) = SECRET_MARKS.iter().find_map(|mark| {
        lower[start..]
            .starts_with(mark)
            .then_some(start + mark.len())
    }) {
        start = end;
    }
    Some(start)
}

fn first_mark_end(lower: &str, from: usize) -> Option<usize> {
    SECRET_MARKS
        .iter()
        .filter_map(|mark| lower[from..].find(mark).map(|at| from + at + mark.len()))
        .min()
}

fn secret_len(text: &str) -> usize {
    text.find(|c: char| c.is_whitespace() || matches!(c, '"' | '\'' | ',' | ';' | '&'))
        .unwrap_or(text.len())
}
