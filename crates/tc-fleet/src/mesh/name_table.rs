//! Names that entries of a message refer to by index.

use std::collections::HashMap;

/// Distinct names in the order in which they were first used.
#[derive(Default)]
pub(super) struct NameTable {
    pub(super) names: Vec<String>,
    indices: HashMap<String, u32>,
}

impl NameTable {
    /// Returns the index of a name, which is added if it is new.
    pub(super) fn index(&mut self, name: &str) -> u32 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let index = self.names.len() as u32;
        self.names.push(name.to_owned());
        self.indices.insert(name.to_owned(), index);
        index
    }
}
