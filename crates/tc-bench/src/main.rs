//! Entry of the load and experiment tool.

fn main() -> std::process::ExitCode {
    tc_bench::run()
}
