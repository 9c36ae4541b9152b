//! The entry's side of permits: selects an upstream, requests a permit from its home, tracks and releases it.

mod baseline;
mod held;
mod permit_client;
mod route;
mod target;

pub(crate) use held::HeldTable;
pub(crate) use permit_client::{PermitClient, PermitClientArgs};
