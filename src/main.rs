//! Entry point of the `tanagercroft` binary. The commands are implemented in `tc_operator`.

use std::process::ExitCode;

fn main() -> ExitCode {
    tc_operator::run()
}
