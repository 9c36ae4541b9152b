//! Finds the origin of a stream that another instance may have begun.

use futures::{StreamExt, stream::FuturesUnordered};
use tc_fleet::Mesh;
use tc_membership::{OriginGroup, origin_candidates};
use tc_protocol::{
    InstanceId,
    routing::{OriginRecord, StreamKey},
};

use super::StreamOrigins;

/// Where an origin was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OriginSource {
    Here,
    Instance(InstanceId),
}

impl OriginSource {
    /// Returns the text that stands for the source in log lines.
    pub(crate) fn label(&self) -> &str {
        match self {
            Self::Here => "here",
            Self::Instance(id) => id.as_str(),
        }
    }
}

impl StreamOrigins {
    /// Returns the record of a stream, from here or from the instances that keep it, and where it was found.
    ///
    /// The instances are asked at the same time; the first record that arrives is used.
    pub(crate) async fn find(
        &self,
        mesh: &Mesh,
        key: StreamKey,
    ) -> Option<(OriginRecord, OriginSource)> {
        if let Some(record) = self.get(key) {
            return Some((record, OriginSource::Here));
        }
        let members = mesh.members();
        let candidates = origin_candidates(&members, OriginGroup::of(key));
        let others = candidates.into_iter().filter(|m| m.id != mesh.me().id);
        let mut answers: FuturesUnordered<_> = others
            .map(|other| async move { (other, mesh.find_origin(other, key).await) })
            .collect();
        while let Some((other, answer)) = answers.next().await {
            match answer {
                Ok(Some(record)) => {
                    self.receive(vec![record.clone()]);
                    return Some((record, OriginSource::Instance(other.id.clone())));
                }
                Ok(None) => {}
                Err(error) => {
                    log::info!(instance = other.id.as_str(), error = error.to_string().as_str(); "an instance does not answer for the origin of a stream");
                    mesh.report_error(&error);
                }
            }
        }
        None
    }
}
