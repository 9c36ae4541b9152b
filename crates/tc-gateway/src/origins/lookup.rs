//! Finds the origin of a stream that another instance may have begun.

use std::{collections::HashMap, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use tc_fleet::{Mesh, MeshError};
use tc_membership::{HolderFinding, OriginGroup, covers, origin_candidates};
use tc_protocol::{
    InstanceId, Member, MemberState,
    routing::{OriginAnswer, OriginRecord, StreamKey},
};

use super::StreamOrigins;

/// Where an origin was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OriginSource {
    Here,
    Instance(InstanceId),
}

/// Result of a search for streams with the content of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ContentMatch {
    /// No instance that answered has recorded one.
    Unknown,
    /// One is recorded, but the records of others may be lost.
    Uncovered,
    Found(OriginRecord, OriginSource),
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
    /// Returns the record of the stream that an attempt began, from here or from the instances that keep it, and where it
    /// was found.
    ///
    /// The instances are asked at the same time; the first record that arrives is used, as an attempt begins one stream.
    pub(crate) async fn find_by_attempt(
        &self,
        mesh: &Mesh,
        key: StreamKey,
    ) -> Option<(OriginRecord, OriginSource)> {
        if let Some(record) = self.get(key) {
            return Some((record, OriginSource::Here));
        }
        let members = mesh.members();
        let candidates = origin_candidates(&members, OriginGroup::of(key));
        let mut answers = ask(mesh, candidates, key);
        while let Some((holder, answer)) = answers.next().await {
            if let Some(record) = answer.ok().and_then(|answer| answer.record) {
                self.receive(vec![record.clone()]);
                return Some((record, OriginSource::Instance(holder.id.clone())));
            }
        }
        None
    }

    /// Returns the record of the streams with the same content that began within `window`.
    ///
    /// Several instances may have begun such streams, with different versions. Only the instances that keep their origins
    /// have the records of all, so that all of them are asked although a record is here.
    pub(crate) async fn find_by_content(
        &self,
        mesh: &Mesh,
        key: StreamKey,
        window: Duration,
    ) -> ContentMatch {
        let group = OriginGroup::of(key);
        let own = self.answer(key);
        let me = &mesh.me().id;
        let members = mesh.members();
        let former = self.holders_within(group, window);
        let mut asked = origin_candidates(&members, group);
        for holder in &former {
            if !asked.iter().any(|member| member.id == holder.id) {
                asked.push(holder);
            }
        }
        let mut source = OriginSource::Here;
        let mut findings = HashMap::from([(me, HolderFinding::Answered(own.coverage))]);
        let mut answered = vec![own];
        let mut answers = ask(mesh, asked, key);
        while let Some((holder, answer)) = answers.next().await {
            findings.insert(&holder.id, finding(&members, holder, &answer));
            let Ok(answer) = answer else { continue };
            if let Some(record) = &answer.record {
                self.receive(vec![record.clone()]);
                source = OriginSource::Instance(holder.id.clone());
            }
            answered.push(answer);
        }
        let unreachable = HolderFinding::Unreachable;
        let finding = |holder: &Member| *findings.get(&holder.id).unwrap_or(&unreachable);
        match self.get(key) {
            None => ContentMatch::Unknown,
            Some(record)
                if covers(&answered, window) || self.is_covered(group, window, finding) =>
            {
                ContentMatch::Found(record, source)
            }
            Some(_) => {
                log::info!(findings:? = findings; "a stream is known by its content, but too few instances have kept the origins of all streams");
                ContentMatch::Uncovered
            }
        }
    }
}

/// Returns what the answer of a holder, or its error, says about the holder.
fn finding(
    members: &[Member],
    holder: &Member,
    answer: &Result<OriginAnswer, MeshError>,
) -> HolderFinding {
    let is_replaced = || {
        let alive = || members.iter().filter(|m| m.state == MemberState::Alive);
        alive().all(|m| m.id != holder.id)
            && alive().any(|m| m.fleet_address == holder.fleet_address)
    };
    match answer {
        Err(MeshError::Refused { .. }) => HolderFinding::Ended,
        _ if is_replaced() => HolderFinding::Ended,
        Ok(answer) => HolderFinding::Answered(answer.coverage),
        Err(_) => HolderFinding::Unreachable,
    }
}

/// Asks instances for the origin of a stream, all at the same time.
fn ask<'a>(
    mesh: &'a Mesh,
    holders: Vec<&'a Member>,
    key: StreamKey,
) -> FuturesUnordered<impl Future<Output = (&'a Member, Result<OriginAnswer, MeshError>)>> {
    let others = holders.into_iter().filter(|m| m.id != mesh.me().id);
    let ask = |holder: &'a Member| async move {
        let answer = mesh.find_origin(holder, key).await;
        if let Err(error) = &answer {
            log::info!(instance = holder.id.as_str(), error = error.to_string().as_str(); "an instance does not answer for the origin of a stream");
            mesh.report_error(error);
        }
        (holder, answer)
    };
    others.map(ask).collect()
}
