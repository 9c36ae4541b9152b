//! Evidence of crashes as it is sent between instances.

use tc_policy::{CrashEvidence, CrashId, SuspectKind};
use tc_protocol::Fingerprint;

use crate::{convert, generated};

pub(super) fn evidence_to_wire(evidence: &CrashEvidence) -> generated::CrashEvidence {
    let ids = |crashes: &[CrashId]| crashes.iter().map(|crash| crash.0).collect();
    generated::CrashEvidence {
        fingerprint: evidence.fingerprint.0,
        crashes: ids(&evidence.crashes),
        cleared: ids(&evidence.cleared),
        age_ms: convert::millis(evidence.age),
        is_part: evidence.kind == SuspectKind::PromptPart,
        alone: ids(&evidence.alone),
    }
}

pub(super) fn evidence_from_wire(evidence: &generated::CrashEvidence) -> CrashEvidence {
    let crashes = |ids: &[u64]| ids.iter().copied().map(CrashId).collect();
    CrashEvidence {
        fingerprint: Fingerprint(evidence.fingerprint),
        kind: if evidence.is_part {
            SuspectKind::PromptPart
        } else {
            SuspectKind::Request
        },
        crashes: crashes(&evidence.crashes),
        cleared: crashes(&evidence.cleared),
        alone: crashes(&evidence.alone),
        age: convert::from_millis(evidence.age_ms),
    }
}
