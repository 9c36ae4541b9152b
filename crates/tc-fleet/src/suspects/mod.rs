//! Requests that may crash upstreams: evidence of crashes, which all instances share, and trials, which the home of a
//! service decides on.

mod crash_check;
mod evidence;
mod known;
mod reports;
mod table;
mod trial;

pub(crate) use crash_check::{CalledUpstream, CrashCheck};
pub(crate) use known::Origin;
pub(crate) use reports::BlamedParts;
pub(crate) use table::{SuspectPeers, SuspectTable};
pub(crate) use trial::TrialGuard;
