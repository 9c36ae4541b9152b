//! Pace of upstreams that have just started or recovered.
//!
//! Such an upstream is empty and looks best to every sender. A window limits its requests in progress: it starts with
//! few, grows with answers that arrive in the expected time, and falls back at failures and slow answers. It binds
//! only while most upstreams of the service are not paced, and never refuses a request.
//!
//! The home of a service keeps exact windows ([`HomePaces`]). Instances that send without a home divide a window that
//! they all compute alike ([`LocalPaces`]).

mod arrivals;
mod home;
mod local;
mod share;
mod window;

pub use arrivals::{Arrivals, SeenUpstream};
pub use home::HomePaces;
pub use local::{LocalOutcome, LocalPaces, Sender};
pub use share::{SharedWindow, share_of_window};
pub use window::{Evidence, PaceCause, PaceChange, PaceEnd, PaceEvent, PacedWindow};

/// Returns true if paces bind: beyond half of the upstreams, the paced ones are needed.
const fn binds(paced: usize, all: usize) -> bool {
    paced * 2 <= all
}
