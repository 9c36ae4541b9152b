//! Requests that may crash upstreams: what this instance has heard of, and the services whose suspects it is home of.

mod confirm;
mod hearsay;
mod home;
mod table;
mod trial;

pub(crate) use confirm::{CalledUpstream, Confirmer};
pub(crate) use home::Origin;
pub(crate) use table::SuspectTable;
pub(crate) use trial::TrialGuard;
