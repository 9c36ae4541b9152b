//! Operations on a home.

use bolero::TypeGenerator;

#[derive(Clone, Copy, Debug, TypeGenerator)]
pub(crate) enum Op {
    Request {
        requester: u8,
        priority: u8,
        slack_ms: u8,
        run_for_ms: u8,
        estimate: u8,
        may_redirect: bool,
    },
    Cancel(u8),
    Release {
        which: u8,
        outcome: u8,
        took_ms: u8,
    },
    ReleaseUnknown(u64),
    Wait {
        ms: u8,
    },
    Adopt {
        permit: u8,
        requester: u8,
        expires_in_ms: u8,
    },
    RemoveEntry(u8),
    LoadReport {
        running: u8,
        slots: u8,
        incarnation: bool,
        leaving: u8,
    },
    SetConfig {
        slots: u8,
        queue: u8,
    },
    SetLeaving(u8),
    SetServiceMedian {
        median_ms: u8,
        may_eject: bool,
    },
}
