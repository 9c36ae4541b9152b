//! Introduction of this instance to others, and comparison of member lists.

use std::{net::SocketAddr, sync::atomic::Ordering};

use tc_membership::{ComparisonOutcome, Record};
use tc_protocol::{InstanceId, Member};
use tokio::sync::oneshot;

use super::{actor::MeshMsg, handle::Mesh, messages::MeshError, peers::Client};
use crate::{
    convert,
    generated::{self as wire, Introduction},
    peers::timed,
};

impl Mesh {
    /// Introduces this instance to the one at an address and merges the members known there.
    pub async fn introduce_at(&self, address: SocketAddr) -> Result<(), MeshError> {
        let client = self.inner.peers.client_at(address);
        let peer_id: InstanceId = address.to_string().into();
        self.compare_with(client, &peer_id).await.map(|_| ())
    }

    /// Announces this instance to the one at an address without requesting its members.
    pub async fn announce_at(&self, address: SocketAddr) -> Result<(), MeshError> {
        let mut client = self.inner.peers.client_at(address);
        let introduction = timed(Introduction {
            me: Some(self.own_record()),
            only_announces: true,
            ..Introduction::default()
        });
        let announced = client.introduce(introduction).await;
        let failed = |status: tonic::Status| MeshError::NoAnswer {
            instance: address.to_string().into(),
            problem: status.message().to_owned(),
        };
        announced.map(|_| ()).map_err(failed)
    }

    fn own_record(&self) -> wire::MemberRecord {
        convert::record_to_wire(&Record {
            member: self.inner.me.clone(),
            refutation: 0,
            revision: 0,
        })
    }

    /// Compares the member list with another instance's and merges the records that are missing here.
    pub async fn compare_members(&self, other: &Member) -> Result<ComparisonOutcome, MeshError> {
        let client = self.inner.peers.client(other);
        self.compare_with(client, &other.id).await
    }

    async fn compare_with(
        &self,
        mut client: Client,
        peer_id: &InstanceId,
    ) -> Result<ComparisonOutcome, MeshError> {
        let no_answer = |problem: String| MeshError::NoAnswer {
            instance: peer_id.clone(),
            problem,
        };
        let stopping = |_| no_answer("this instance is stopping".to_owned());
        let (reply, known) = oneshot::channel();
        let _ = self.inner.actor.cast(MeshMsg::MemberHashes(reply));
        let introduction = timed(Introduction {
            me: Some(self.own_record()),
            view: self.inner.published.view_digest.load(Ordering::Acquire),
            known: known.await.map_err(stopping)?,
            size: Some(self.inner.share.report()),
            only_announces: false,
        });
        let list = client.introduce(introduction).await;
        let list = list.map_err(|status| no_answer(status.message().to_owned()))?;
        let list = list.into_inner();
        self.inner.share.record_report(list.size);
        if list.same_view {
            return Ok(ComparisonOutcome::Same);
        }
        let missing = list.members.iter();
        let missing: Vec<Record> = missing.filter_map(convert::record_from_wire).collect();
        let (reply, changed) = oneshot::channel();
        let _ = self.inner.actor.cast(MeshMsg::MergeRecords(missing, reply));
        let changed = changed.await.map_err(stopping)?;
        Ok(if changed {
            ComparisonOutcome::Updated
        } else {
            ComparisonOutcome::Unchanged
        })
    }
}
