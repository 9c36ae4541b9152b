//! Validation of workspaces, their tokens and their limits.

use std::collections::BTreeMap;

use tc_protocol::{FleetConfig, Workspace};

use super::Context;
use crate::FaultKind;

const SHA256_HEX_LEN: usize = 64;

pub(super) fn check(config: &FleetConfig, cx: &mut Context<'_>) {
    let mut names_by_hash = BTreeMap::new();
    for (name, workspace) in &config.workspaces {
        let name = name.as_str();
        let path = ["workspaces", name, "token_sha256"];
        if !is_sha256(&workspace.token_sha256) {
            cx.add_fault(&path, FaultKind::TokenHash);
        }
        if let Some(other) = names_by_hash.insert(&workspace.token_sha256, name) {
            let other = other.to_owned();
            cx.add_fault(&path, FaultKind::SharedToken { other });
        }
        check_numbers(name, workspace, cx);
    }
}

fn check_numbers(name: &str, workspace: &Workspace, cx: &mut Context<'_>) {
    let path_to = |key| ["workspaces", name, key];
    cx.check_positive(&path_to("weight"), f64::from(workspace.weight));
    cx.check_priority(&path_to("highest_priority"), workspace.highest_priority);
    let limits = &workspace.limits;
    let numbers = [
        ("requests_per_s", limits.requests_per_s),
        ("concurrency", limits.concurrency.map(f64::from)),
        ("cost_per_s", limits.cost_per_s),
    ];
    for (key, number) in numbers {
        if let Some(number) = number {
            cx.check_positive(&["workspaces", name, "limits", key], number);
        }
    }
}

/// Returns whether `text` is a SHA-256 hash in lower-case hexadecimal.
fn is_sha256(text: &str) -> bool {
    let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == SHA256_HEX_LEN && text.bytes().all(is_lower_hex)
}
