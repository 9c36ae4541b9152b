//! Conversion between generated wire types and the types used by the rest of the code.

use std::time::Duration;

use tc_membership::{Message, MessageKind, Record};
use tc_policy::HeldPermit;
use tc_protocol::{
    Cost, Fingerprint, Incarnation, InstanceId, Member, MemberState, Outcome, PermitId,
    RefusalReason, Release, RunState, UpstreamId, UpstreamSummary,
};

use crate::generated as wire;

const MEMBER_STATES: [MemberState; 5] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Leaving,
    MemberState::Dead,
    MemberState::Isolated,
];

const OUTCOMES: [Outcome; 7] = [
    Outcome::Answered,
    Outcome::Rejected,
    Outcome::Failed,
    Outcome::Died,
    Outcome::TimedOut,
    Outcome::Cancelled,
    Outcome::Unused,
];

const RUN_STATES: [RunState; 3] = [RunState::NotRun, RunState::Unknown, RunState::Ran];

const REASONS: [RefusalReason; 6] = [
    RefusalReason::TooLate,
    RefusalReason::QueueFull,
    RefusalReason::NoUpstream,
    RefusalReason::HomeUnreachable,
    RefusalReason::Quarantined,
    RefusalReason::OverLimit,
];

/// Returns the number of `value` on the wire, which is its index in `table`. New values may only be appended to tables.
fn to_number<T: PartialEq>(table: &[T], value: &T) -> u32 {
    table
        .iter()
        .position(|known| known == value)
        .unwrap_or_default() as u32
}

fn from_number<T: Copy>(table: &[T], number: u32) -> Option<T> {
    table.get(number as usize).copied()
}

pub(crate) fn reason_to_wire(reason: RefusalReason) -> u32 {
    to_number(&REASONS, &reason)
}

pub(crate) fn reason_from_wire(number: u32) -> RefusalReason {
    from_number(&REASONS, number).unwrap_or(RefusalReason::NoUpstream)
}

pub(crate) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

pub(crate) fn from_millis(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}

pub(crate) fn record_to_wire(record: &Record) -> wire::MemberRecord {
    let member = &record.member;
    wire::MemberRecord {
        id: member.id.to_string(),
        incarnation: member.incarnation.0,
        caller_address: member.caller_address.to_string(),
        fleet_address: member.fleet_address.to_string(),
        failure_domain: member.failure_domain.to_string(),
        region: member.region.to_string(),
        state: to_number(&MEMBER_STATES, &member.state),
        refutation: record.refutation,
        revision: record.revision,
        strength: member.strength,
    }
}

/// Returns `None` if an address or the state is invalid: the sender runs another version or is faulty.
pub(crate) fn record_from_wire(record: &wire::MemberRecord) -> Option<Record> {
    Some(Record {
        member: Member {
            id: record.id.as_str().into(),
            incarnation: Incarnation(record.incarnation),
            caller_address: record.caller_address.parse().ok()?,
            fleet_address: record.fleet_address.parse().ok()?,
            failure_domain: record.failure_domain.as_str().into(),
            region: record.region.as_str().into(),
            state: from_number(&MEMBER_STATES, record.state)?,
            strength: match record.strength {
                0 => Member::default_strength(),
                strength => strength,
            },
        },
        refutation: record.refutation,
        revision: record.revision,
    })
}

pub(crate) fn message_to_wire(message: &Message) -> wire::Datagram {
    use wire::datagram::Kind as WireKind;
    let kind = match &message.kind {
        MessageKind::Probe { nonce, relayed_for } => WireKind::Probe(wire::Probe {
            nonce: *nonce,
            relayed_for: relayed_for
                .as_ref()
                .map(InstanceId::to_string)
                .unwrap_or_default(),
        }),
        MessageKind::Ack { nonce, subject } => WireKind::Ack(wire::ProbeAck {
            nonce: *nonce,
            subject: subject.to_string(),
        }),
        MessageKind::IndirectProbe { nonce, subject } => WireKind::Indirect(wire::IndirectProbe {
            nonce: *nonce,
            subject: subject.to_string(),
        }),
        MessageKind::Announcement => WireKind::Announcement(wire::Announcement {}),
    };
    wire::Datagram {
        from: Some(record_to_wire(&message.from)),
        kind: Some(kind),
        changes: message.changes.iter().map(record_to_wire).collect(),
        summaries: Vec::new(),
        evidence: Vec::new(),
        limits: Vec::new(),
        config_version: 0,
        upstreams_revision: 0,
        upstreams_digest: 0,
    }
}

pub(crate) fn message_from_wire(datagram: &wire::Datagram) -> Option<Message> {
    use wire::datagram::Kind as WireKind;
    let kind = match datagram.kind.as_ref()? {
        WireKind::Probe(probe) => MessageKind::Probe {
            nonce: probe.nonce,
            relayed_for: (!probe.relayed_for.is_empty()).then(|| probe.relayed_for.as_str().into()),
        },
        WireKind::Ack(ack) => MessageKind::Ack {
            nonce: ack.nonce,
            subject: ack.subject.as_str().into(),
        },
        WireKind::Indirect(indirect) => MessageKind::IndirectProbe {
            nonce: indirect.nonce,
            subject: indirect.subject.as_str().into(),
        },
        WireKind::Announcement(_) => MessageKind::Announcement,
    };
    Some(Message {
        from: record_from_wire(datagram.from.as_ref()?)?,
        kind,
        changes: datagram
            .changes
            .iter()
            .filter_map(record_from_wire)
            .collect(),
    })
}

pub(crate) fn summary_to_wire(
    upstream: &UpstreamId,
    summary: &UpstreamSummary,
    leaving: bool,
    incarnation: Incarnation,
) -> wire::Summary {
    wire::Summary {
        upstream: upstream.to_string(),
        in_flight: summary.in_flight,
        concurrency: summary.concurrency,
        waiting: summary.waiting,
        wait_ms: summary.wait_ms as f32,
        service_ms: summary.service_ms as f32,
        ejected: summary.ejected,
        leaving,
        incarnation: incarnation.0,
    }
}

pub(crate) fn summary_from_wire(summary: &wire::Summary) -> UpstreamSummary {
    UpstreamSummary {
        in_flight: summary.in_flight,
        concurrency: summary.concurrency,
        waiting: summary.waiting,
        wait_ms: f64::from(summary.wait_ms),
        service_ms: f64::from(summary.service_ms),
        ejected: summary.ejected,
    }
}

pub(crate) fn cost_to_wire(cost: &Cost) -> wire::CostUnits {
    wire::CostUnits {
        tokens_in: cost.tokens_in,
        tokens_out: cost.tokens_out,
        busy_ms: cost.busy_ms,
    }
}

pub(crate) fn cost_from_wire(cost: Option<&wire::CostUnits>) -> Cost {
    cost.map_or_else(Cost::default, |cost| Cost {
        tokens_in: cost.tokens_in,
        tokens_out: cost.tokens_out,
        busy_ms: cost.busy_ms,
    })
}

pub(crate) fn release_to_wire(upstream: &UpstreamId, release: &Release) -> wire::PermitRelease {
    wire::PermitRelease {
        permit: release.permit.0,
        upstream: upstream.to_string(),
        outcome: to_number(&OUTCOMES, &release.outcome),
        run_state: to_number(&RUN_STATES, &release.run_state),
        cost: Some(cost_to_wire(&release.cost)),
        took_us: release.took.as_micros() as u64,
        first_byte_us: release
            .first_byte
            .map_or(0, |first| first.as_micros().max(1) as u64),
    }
}

pub(crate) fn release_from_wire(release: &wire::PermitRelease) -> Release {
    Release {
        permit: PermitId(release.permit),
        outcome: from_number(&OUTCOMES, release.outcome).unwrap_or(Outcome::Cancelled),
        run_state: from_number(&RUN_STATES, release.run_state).unwrap_or(RunState::Unknown),
        cost: cost_from_wire(release.cost.as_ref()),
        took: Duration::from_micros(release.took_us),
        first_byte: (release.first_byte_us > 0)
            .then(|| Duration::from_micros(release.first_byte_us)),
    }
}

pub(crate) fn held_from_wire(entry: &InstanceId, held: &wire::HeldPermit) -> HeldPermit {
    HeldPermit {
        permit: PermitId(held.permit),
        entry: entry.clone(),
        workspace: held.workspace.as_str().into(),
        expires_in: from_millis(held.expires_in_ms),
        estimate: cost_from_wire(held.estimate.as_ref()),
        fingerprint: Fingerprint(held.fingerprint),
    }
}

pub(crate) fn held_to_wire(upstream: &UpstreamId, held: &HeldPermit) -> wire::HeldPermit {
    wire::HeldPermit {
        permit: held.permit.0,
        upstream: upstream.to_string(),
        workspace: held.workspace.to_string(),
        expires_in_ms: millis(held.expires_in),
        estimate: Some(cost_to_wire(&held.estimate)),
        fingerprint: held.fingerprint.0,
    }
}
