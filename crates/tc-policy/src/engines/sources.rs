//! Engines from which others fetch cached parts of a prompt.

use tc_protocol::{UpstreamId, UpstreamVersion};

/// The engines that most of a prompt can be fetched from, with the number of tokens, best first: two of each version.
///
/// An engine fetches only from engines of its own version, as the memory of another one may have another layout.
#[derive(Default)]
pub(super) struct Sources<'a> {
    pub(super) by_version: Vec<(&'a UpstreamVersion, Vec<Source<'a>>)>,
}

/// An engine that has cached this many tokens from the start of a prompt.
pub(super) type Source<'a> = (u32, &'a UpstreamId);

impl<'a> Sources<'a> {
    /// Adds the sources of one version after better ones.
    pub(super) fn push(&mut self, version: &'a UpstreamVersion, source: Source<'a>) {
        let known = self.by_version.iter_mut().find(|(v, _)| *v == version);
        match known {
            Some((_, sources)) if sources.len() < 2 => sources.push(source),
            Some(_) => {}
            None => self.by_version.push((version, vec![source])),
        }
    }

    /// Returns the sources for an engine of a version; none if its version is unknown.
    pub(super) fn of(&self, version: Option<&UpstreamVersion>) -> &[Source<'a>] {
        let known = self.by_version.iter().find(|(v, _)| Some(*v) == version);
        known.map_or(&[], |(_, sources)| sources)
    }
}
