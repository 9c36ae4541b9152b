//! Requests that may crash upstreams: those reported to this instance, and those of the services whose suspect home it
//! is.

mod crash_check;
mod home;
mod reported;
mod table;
mod trial;

pub(crate) use crash_check::{CalledUpstream, CrashCheck};
pub(crate) use home::Origin;
pub(crate) use table::{MAX_SUSPECTS_PER_DATAGRAM, ReportResult, SendReport, SuspectTable};
pub(crate) use trial::TrialGuard;
