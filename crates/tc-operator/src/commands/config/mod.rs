//! Commands on the configuration.

pub(super) mod apply;
pub(super) mod check;
pub(super) mod check_routing;
pub(super) mod diff;
pub(super) mod history;
pub(super) mod show;

use crate::command::Flag;

/// Operator that runs the command.
pub(crate) const OPERATOR_NAME: Flag = Flag::value(
    "--as",
    "NAME",
    "TANAGERCROFT_OPERATOR",
    "who applies it, for `config history` (default: the user's name)",
);
