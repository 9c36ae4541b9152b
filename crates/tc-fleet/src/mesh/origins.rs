//! RPCs that copy the origins of streams to other instances and find them there.

use std::time::Duration;

use tc_protocol::{
    Member, MonoTime,
    routing::{OriginAnswer, OriginCoverage, OriginRecord, StreamKey, StreamOrigin},
};
use tokio::time::sleep;
use tonic::{Code, Request};

use super::{Mesh, MeshError, handle::call_error, peers::Peers};
use crate::{convert, generated as wire, peers::timed};

/// Timeout for finding an origin. An instance that takes longer is busy or gone, and others are asked at the same time.
const FIND_TIMEOUT: Duration = Duration::from_millis(150);
/// Delay before a call is repeated. A process that ends may close its connections before its listener.
const RECONNECT_DELAY: Duration = Duration::from_millis(10);

impl Mesh {
    /// Sends origins to an instance that is to keep them. An instance of an earlier build keeps none.
    pub async fn record_origins(
        &self,
        holder: &Member,
        records: &[OriginRecord],
    ) -> Result<(), MeshError> {
        let now = MonoTime::now();
        let req = timed(wire::OriginList {
            origins: records.iter().map(|r| record_to_wire(now, r)).collect(),
        });
        let mut client = self.inner.peers.client(holder);
        match client.record_origins(req).await {
            Err(status) if status.code() != Code::Unimplemented => Err(call_error(holder, &status)),
            _ => Ok(()),
        }
    }

    /// Asks an instance for the origin of a stream. An instance of an earlier build may have a record, but tells no
    /// coverage.
    pub async fn find_origin(
        &self,
        holder: &Member,
        key: StreamKey,
    ) -> Result<OriginAnswer, MeshError> {
        find_origin_within(&self.inner.peers, holder, key, FIND_TIMEOUT).await
    }
}

/// Asks an instance for the origin of a stream, and again until `timeout` has passed if its connection breaks.
///
/// Only a new connection shows whether the process of the instance has ended ([`MeshError::Refused`]) or just the connection.
async fn find_origin_within(
    peers: &Peers,
    holder: &Member,
    key: StreamKey,
    timeout: Duration,
) -> Result<OriginAnswer, MeshError> {
    let deadline = MonoTime::now().after(timeout);
    loop {
        let remaining = deadline.since(MonoTime::now());
        let answer = find_origin_once(peers, holder, key, remaining).await;
        // The calls of a connection that breaks may end as cancelled, which is reported as a timeout.
        let is_broken = matches!(
            answer,
            Err(MeshError::NoAnswer { .. } | MeshError::TimedOut { .. })
        );
        if !is_broken || deadline.since(MonoTime::now()) <= RECONNECT_DELAY {
            return answer;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn find_origin_once(
    peers: &Peers,
    holder: &Member,
    key: StreamKey,
    timeout: Duration,
) -> Result<OriginAnswer, MeshError> {
    let (key_high, key_low) = key_to_wire(key);
    let mut req = Request::new(wire::OriginAsk { key_high, key_low });
    req.set_timeout(timeout);
    let mut client = peers.client(holder);
    let answer = match client.find_origin(req).await {
        Err(status) if status.code() == Code::Unimplemented => {
            return Ok(OriginAnswer::default());
        }
        answer => answer.map_err(|status| call_error(holder, &status))?,
    };
    let mut answer = answer_from_wire(MonoTime::now(), &answer.into_inner());
    // An answer about another stream must not bind this one.
    answer.record = answer.record.filter(|record| record.key == key);
    Ok(answer)
}

fn key_to_wire(key: StreamKey) -> (u64, u64) {
    ((key.0 >> 64) as u64, key.0 as u64)
}

pub(super) fn key_from_wire(high: u64, low: u64) -> StreamKey {
    StreamKey(u128::from(high) << 64 | u128::from(low))
}

pub(super) fn record_to_wire(now: MonoTime, record: &OriginRecord) -> wire::StreamOrigin {
    let (key_high, key_low) = key_to_wire(record.key);
    let origin = record.origin.as_ref();
    wire::StreamOrigin {
        key_high,
        key_low,
        service: origin.map(|origin| origin.service.to_string()),
        version: origin.map(|origin| origin.version.to_string()),
        age_ms: convert::millis(now.since(record.began_at)),
        remaining_ms: convert::millis(record.expires_at.since(now)),
    }
}

pub(super) fn record_from_wire(now: MonoTime, message: &wire::StreamOrigin) -> OriginRecord {
    let origin = match (&message.service, &message.version) {
        (Some(service), Some(version)) => Some(StreamOrigin {
            service: service.as_str().into(),
            version: version.as_str().into(),
        }),
        _ => None,
    };
    OriginRecord {
        key: key_from_wire(message.key_high, message.key_low),
        origin,
        began_at: now.before(convert::from_millis(message.age_ms)),
        expires_at: now.after(convert::from_millis(message.remaining_ms)),
    }
}

pub(super) fn answer_to_wire(now: MonoTime, answer: &OriginAnswer) -> wire::OriginAnswer {
    let coverage = answer.coverage;
    let record = answer.record.as_ref();
    wire::OriginAnswer {
        origin: record.map(|record| record_to_wire(now, record)),
        held_ms: coverage.map(|coverage| convert::millis(coverage.held_for)),
        holders: coverage.map_or(0, |coverage| coverage.holders),
    }
}

fn answer_from_wire(now: MonoTime, message: &wire::OriginAnswer) -> OriginAnswer {
    let origin = message.origin.as_ref();
    OriginAnswer {
        record: origin.map(|origin| record_from_wire(now, origin)),
        coverage: message.held_ms.map(|held_ms| OriginCoverage {
            held_for: convert::from_millis(held_ms),
            holders: message.holders,
        }),
    }
}

#[cfg(test)]
mod tests {
    use std::net::Ipv4Addr;

    use tc_protocol::{Incarnation, MemberState};
    use tokio::{io::AsyncReadExt, net::TcpListener};

    use super::*;
    use crate::FleetKeys;

    /// Guards against a holder whose process has ended that is taken for one behind a cut, because its end broke the connection
    /// of the call.
    #[tokio::test]
    async fn holder_that_ends_during_a_call_refuses_connections() {
        let ip = Ipv4Addr::LOCALHOST.into();
        let peers = Peers::new(
            ip,
            FleetKeys::new(&["a key for these tests only"]).expect("a key"),
        );
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let holder = Member {
            id: "holder".into(),
            incarnation: Incarnation(1),
            caller_address: address,
            fleet_address: address,
            failure_domain: "z".into(),
            region: "r".into(),
            state: MemberState::Alive,
            strength: Member::default_strength(),
        };
        let process = tokio::spawn(async move {
            let (mut connection, _) = listener.accept().await.expect("a connection");
            let mut buf = [0; 16];
            connection.read_exact(&mut buf).await.expect("a call");
        });
        let timeout = Duration::from_secs(10);
        let answer = find_origin_within(&peers, &holder, StreamKey(1), timeout).await;
        assert!(
            matches!(answer, Err(MeshError::Refused { .. })),
            "{answer:?}"
        );
        process.await.expect("the process ends");
    }

    #[test]
    fn records_are_received_as_sent() {
        let now = MonoTime::from_millis(50_000);
        let origin = StreamOrigin {
            service: "engines".into(),
            version: "v1.1".into(),
        };
        for origin in [Some(origin), None] {
            let record = OriginRecord {
                key: StreamKey::of_attempt(&"w".into(), "r1"),
                origin,
                began_at: MonoTime::from_millis(49_000),
                expires_at: MonoTime::from_millis(57_000),
            };
            let coverage = record.origin.as_ref().map(|_| OriginCoverage {
                held_for: Duration::from_secs(7),
                holders: 3,
            });
            let answer = OriginAnswer {
                record: Some(record),
                coverage,
            };
            let received = answer_from_wire(now, &answer_to_wire(now, &answer));
            assert_eq!(received, answer);
        }
    }
}
