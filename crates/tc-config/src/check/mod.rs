//! Semantic validation of single values and of references between them.

mod pipelines;
mod policy;
mod services;
mod workspaces;

use tc_protocol::FleetConfig;

use crate::{
    Fault, FaultKind,
    tree::{self, Table, Value},
};

/// Shortest deadline of a pipeline in milliseconds; network and queueing delays alone use up a shorter one.
pub const MIN_DEADLINE_MS: u64 = 50;
/// Longest deadline of a pipeline in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Largest priority value, which is the least urgent, as in RFC 9218.
pub const MAX_PRIORITY: u8 = 7;
/// Limits the length of names, which appear in paths, headers and metric labels.
const MAX_NAME_LEN: usize = 64;

/// Validates `config`; `root` is the merged tree it was decoded from and gives the locations of faults.
pub(crate) fn check(config: &FleetConfig, root: &Table, faults: &mut Vec<Fault>) {
    let mut cx = Context { root, faults };
    cx.check_names("pipelines");
    cx.check_names("services");
    cx.check_names("workspaces");
    cx.check_names("models");
    pipelines::check(config, &mut cx);
    services::check(config, &mut cx);
    workspaces::check(config, &mut cx);
    policy::check(config, &mut cx);
}

/// Holds the merged tree that faults refer to and the faults found so far.
struct Context<'a> {
    root: &'a Table,
    faults: &'a mut Vec<Fault>,
}

impl Context<'_> {
    /// Adds a fault at the value under `path`, or at the innermost table on the path if the value is absent.
    fn add_fault(&mut self, path: &[&str], kind: FaultKind) {
        if let Some(item) = tree::deepest_item(self.root, path) {
            let location = match item.value {
                Value::Table(_) => &item.key_location,
                _ => &item.value_location,
            };
            self.faults
                .push(Fault::new(location, &path.join("."), kind));
        }
    }

    /// Returns the names in a top-level table, including those of entries that have faults.
    fn names_in(&self, key: &str) -> Vec<&str> {
        match self.root.get(key).map(|item| &item.value) {
            Some(Value::Table(table)) => table.keys().map(String::as_str).collect(),
            _ => Vec::new(),
        }
    }

    fn check_names(&mut self, key: &str) {
        let names: Vec<String> = self.names_in(key).into_iter().map(str::to_owned).collect();
        for name in names {
            self.check_name(&[key, &name], &name);
        }
    }

    fn check_name(&mut self, path: &[&str], name: &str) {
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let valid_start = name.starts_with(|c: char| c.is_ascii_alphanumeric());
        if !valid_start || name.len() > MAX_NAME_LEN || !name.chars().all(is_name_char) {
            let name = name.to_owned();
            self.add_fault(path, FaultKind::BadName { name });
        }
    }

    fn check_priority(&mut self, path: &[&str], found: u8) {
        if found > MAX_PRIORITY {
            self.add_fault(path, FaultKind::PriorityOutOfRange { found });
        }
    }

    fn check_positive(&mut self, path: &[&str], found: f64) {
        if !(found.is_finite() && found > 0.0) {
            let found = found.to_string();
            self.add_fault(path, FaultKind::NotPositive { found });
        }
    }

    /// Checks that `name` exists in the top-level table `key`. If it does not, `kind` builds the fault
    /// from the most similar name and the list of all names.
    fn check_reference(
        &mut self,
        path: &[&str],
        key: &str,
        name: &str,
        kind: impl FnOnce(Option<String>, String) -> FaultKind,
    ) {
        let names = self.names_in(key);
        if names.contains(&name) {
            return;
        }
        let nearest = crate::nearest(name, names.iter().copied()).map(str::to_owned);
        let kind = kind(nearest, names.join(", "));
        self.add_fault(path, kind);
    }
}
