//! The shipped binary: a thin shell around `tc_operator`, where the commands live.

use std::process::ExitCode;

fn main() -> ExitCode {
    tc_operator::run()
}
