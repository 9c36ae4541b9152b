//! Regenerates `crates/tc-fleet/src/generated.rs` from `fleet.proto`. Run it from the repository root:
//! `cargo run --manifest-path tools/generate-proto/Cargo.toml`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let out = std::path::Path::new("crates/tc-fleet/src");
    let files = protox::compile(["fleet.proto"], ["crates/tc-fleet/proto"])?;
    tonic_prost_build::configure().build_transport(true).out_dir(out).compile_fds(files)?;
    std::fs::rename(out.join("tanagercroft.fleet.v1.rs"), out.join("generated.rs"))?;
    Ok(())
}
