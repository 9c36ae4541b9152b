//! The text of a configuration file, and locations in it.

use std::{ops::Range, sync::Arc};

use tc_protocol::wire::ConfigObject;

/// One configuration file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceFile {
    /// File name without the folder; files are merged in the order of their names.
    pub name: Arc<str>,
    /// The content of the file.
    pub text: Arc<str>,
}

impl SourceFile {
    /// Creates a file from its name and text.
    ///
    /// ```
    /// let file = tc_config::SourceFile::new("10-models.toml", "[models.small]\nversion = \"1\"");
    /// assert_eq!(&*file.name, "10-models.toml");
    /// ```
    #[must_use]
    pub fn new(name: &str, text: &str) -> Self {
        Self {
            name: Arc::from(name),
            text: Arc::from(text),
        }
    }

    /// Returns the line that contains the byte at `offset`, counted from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        let before = self.text.as_bytes().iter().take(offset);
        before.filter(|byte| **byte == b'\n').count() + 1
    }
}

/// A byte range in a file.
#[derive(Clone, Debug)]
pub(crate) struct Location {
    pub(crate) file: SourceFile,
    pub(crate) span: Range<usize>,
}

/// Returns the files of the platform's configuration object, sorted by name.
///
/// ```
/// use tc_protocol::wire::{ConfigFile, ConfigObject};
/// let mut object = ConfigObject::default();
/// object.files.insert("a.toml".into(), ConfigFile { text: "x = 1".into(), revision: 1 });
/// assert_eq!(&*tc_config::object_files(&object)[0].text, "x = 1");
/// ```
#[must_use]
pub fn object_files(object: &ConfigObject) -> Vec<SourceFile> {
    let files = object.files.iter();
    files
        .map(|(name, file)| SourceFile::new(name, &file.text))
        .collect()
}
