//! Checks of what the values mean, alone and together.

mod pipelines;
mod policy;
mod services;
mod workspaces;

use tc_protocol::FleetConfig;

use crate::{
    Fault, FaultKind,
    tree::{self, Table, Value},
};

/// Shortest deadline of a pipeline in milliseconds: below it, network and queueing alone use it up.
pub const MIN_DEADLINE_MS: u64 = 50;
/// Longest deadline of a pipeline in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Least urgent priority, as in RFC 9218.
pub const MAX_PRIORITY: u8 = 7;
/// Names travel in paths, headers and metric labels.
const MAX_NAME_LEN: usize = 64;

/// Checks everything that `config` holds; `root` is where it came from.
pub(crate) fn check(config: &FleetConfig, root: &Table, faults: &mut Vec<Fault>) {
    let mut cx = Context { root, faults };
    cx.names_of("pipelines");
    cx.names_of("services");
    cx.names_of("workspaces");
    cx.names_of("models");
    pipelines::check(config, &mut cx);
    services::check(config, &mut cx);
    workspaces::check(config, &mut cx);
    policy::check(config, &mut cx);
}

/// The tree that faults point into, and the faults found so far.
struct Context<'a> {
    root: &'a Table,
    faults: &'a mut Vec<Fault>,
}

impl Context<'_> {
    /// Adds a fault at the value that `path` leads to, or at the table that lacks it.
    fn fault(&mut self, path: &[&str], kind: FaultKind) {
        if let Some(item) = tree::deepest(self.root, path) {
            let place = match item.value {
                Value::Table(_) => &item.key_at,
                _ => &item.at,
            };
            self.faults.push(Fault::new(place, &path.join("."), kind));
        }
    }

    /// Names in a top-level table, also of entries that have faults of their own.
    fn names(&self, key: &str) -> Vec<&str> {
        match self.root.get(key).map(|item| &item.value) {
            Some(Value::Table(table)) => table.keys().map(String::as_str).collect(),
            _ => Vec::new(),
        }
    }

    fn names_of(&mut self, key: &str) {
        let names: Vec<String> = self.names(key).into_iter().map(str::to_owned).collect();
        for name in names {
            self.name(&[key, &name], &name);
        }
    }

    fn name(&mut self, path: &[&str], name: &str) {
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let starts_well = name.starts_with(|c: char| c.is_ascii_alphanumeric());
        if !starts_well || name.len() > MAX_NAME_LEN || !name.chars().all(plain) {
            let name = name.to_owned();
            self.fault(path, FaultKind::BadName { name });
        }
    }

    fn priority(&mut self, path: &[&str], found: u8) {
        if found > MAX_PRIORITY {
            self.fault(path, FaultKind::PriorityOutOfRange { found });
        }
    }

    fn positive(&mut self, path: &[&str], found: f64) {
        if !(found.is_finite() && found > 0.0) {
            let found = found.to_string();
            self.fault(path, FaultKind::NotPositive { found });
        }
    }

    /// Checks that `name` is in the top-level table `key`; `kind` makes the fault from the nearest name
    /// and the list of all.
    fn known(
        &mut self,
        path: &[&str],
        key: &str,
        name: &str,
        kind: impl FnOnce(Option<String>, String) -> FaultKind,
    ) {
        let names = self.names(key);
        if names.contains(&name) {
            return;
        }
        let nearest = crate::nearest(name, names.iter().copied()).map(str::to_owned);
        let kind = kind(nearest, names.join(", "));
        self.fault(path, kind);
    }
}
