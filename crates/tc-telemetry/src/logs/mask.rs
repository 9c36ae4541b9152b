//! Masks secrets in log lines.
//!
//! A bearer token in a log line can be read by everyone with access to the logs, and the leak goes unnoticed until the
//! token is misused. No code logs secrets on purpose; masking covers those in quoted headers or error texts of peers.

/// Substrings of field names whose value is always masked.
const SECRET_KEYS: [&str; 5] = ["token", "authorization", "secret", "password", "credential"];
/// Lowercase texts that precede a secret.
const SECRET_PREFIXES: [&str; 8] = [
    "bearer ",
    "basic ",
    "token=",
    "token: ",
    "token\":\"",
    "secret=",
    "password=",
    "authorization: ",
];

/// Returns whether a field with this name holds a secret. Token counts (`tokens_in`, `max_tokens`) do not.
pub(super) fn is_secret_key(key: &str) -> bool {
    let key = key.to_ascii_lowercase();
    !key.contains("tokens") && SECRET_KEYS.iter().any(|secret| key.contains(secret))
}

/// Replaces every secret in `text` with `mask`.
pub(super) fn mask_secrets(text: &str, mask: &str) -> String {
    let lower = text.to_ascii_lowercase();
    let mut masked = String::with_capacity(text.len());
    let mut copied_to = 0;
    while let Some(start) = next_secret(&lower, copied_to) {
        masked.push_str(&text[copied_to..start]);
        masked.push_str(mask);
        copied_to = start + secret_len(&text[start..]);
    }
    masked.push_str(&text[copied_to..]);
    masked
}

/// Returns the start of the next secret, after the last of consecutive prefixes (`authorization: bearer x`).
fn next_secret(lower: &str, from: usize) -> Option<usize> {
    let mut start = first_prefix_end(lower, from)?;
    while let Some(end) = SECRET_PREFIXES.iter().find_map(|prefix| {
        lower[start..]
            .starts_with(prefix)
            .then_some(start + prefix.len())
    }) {
        start = end;
    }
    Some(start)
}

fn first_prefix_end(lower: &str, from: usize) -> Option<usize> {
    SECRET_PREFIXES
        .iter()
        .filter_map(|prefix| {
            lower[from..]
                .find(prefix)
                .map(|at| from + at + prefix.len())
        })
        .min()
}

fn secret_len(text: &str) -> usize {
    text.find(|c: char| c.is_whitespace() || matches!(c, '"' | '\'' | ',' | ';' | '&'))
        .unwrap_or(text.len())
}
