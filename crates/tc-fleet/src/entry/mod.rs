//! The entry's side of permits: choosing an upstream, asking its home, keeping and giving back what was granted.

mod ask;
mod baseline;
mod held;
mod route;
mod target;

pub(crate) use ask::{AskDesk, DeskArgs};
pub(crate) use held::HeldTable;
