//! Requests that may crash upstreams: those reported to this instance, and those of the services it is home of.

mod confirm;
mod home;
mod reported;
mod table;
mod trial;

pub(crate) use confirm::{CalledUpstream, Confirmer};
pub(crate) use home::Origin;
pub(crate) use table::{SUSPECTS_PER_DATAGRAM, SuspectTable, TellHome, Told};
pub(crate) use trial::TrialGuard;
