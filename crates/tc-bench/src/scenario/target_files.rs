//! The configuration file of the size the users want to reach.

use std::fmt::Write;

use sha2::{Digest, Sha256};

use crate::world::TARGET_DOMAINS;

const WORKSPACES: usize = 610;
const PIPELINES: usize = 26;
const MODELS: usize = 10;
const ENGINES_PER_MODEL: usize = 70;
/// Stages of a pipeline: three to six.
const FEWEST_STAGES: usize = 3;
const STAGE_COUNTS: usize = 4;
/// Engines that nobody listens for; the load goes to the standard world's upstreams.
const UNUSED_PORT: u16 = 9;

/// Workspaces, pipelines, models and engines of the target's size, beside the standard world's.
pub(super) fn target_file() -> String {
    let mut text = String::new();
    for model in 0..MODELS {
        add_model(&mut text, model);
    }
    for pipeline in 0..PIPELINES {
        add_pipeline(&mut text, pipeline);
    }
    for workspace in 0..WORKSPACES {
        add_workspace(&mut text, workspace);
    }
    text
}

// Writing to a String cannot fail, so the results below say nothing.

fn add_model(text: &mut String, model: usize) {
    let _ = write!(
        text,
        "[models.target-{model}]\nversion = \"1\"\n\n[services.target-{model}]\nkind = \"engine\"\nmodel = \"target-{model}\"\nslots = 4\n\n"
    );
    for engine in 0..ENGINES_PER_MODEL {
        let (domain, region) = TARGET_DOMAINS[engine % TARGET_DOMAINS.len()];
        let _ = write!(
            text,
            "[[services.target-{model}.upstreams]]\nid = \"target-{model}-{engine}\"\naddress = \"127.1.{model}.{}:{UNUSED_PORT}\"\nfailure_domain = \"{domain}\"\nregion = \"{region}\"\n\n",
            engine + 1,
        );
    }
}

fn add_pipeline(text: &mut String, pipeline: usize) {
    let model = format!("target-{}", pipeline % MODELS);
    let next_model = format!("target-{}", (pipeline + 1) % MODELS);
    let services = [
        "encoders",
        "retrievers",
        &model,
        "rerankers",
        &next_model,
        "encoders",
    ];
    let _ = write!(
        text,
        "[pipelines.target-{pipeline}]\ndeadline_ms = 5000\n\n"
    );
    for (stage, service) in services
        .iter()
        .take(FEWEST_STAGES + pipeline % STAGE_COUNTS)
        .enumerate()
    {
        let _ = write!(
            text,
            "[[pipelines.target-{pipeline}.stages]]\nname = \"stage-{stage}\"\nservice = \"{service}\"\n\n"
        );
    }
}

/// Every workspace has limits: the dearest case for the limit homes.
fn add_workspace(text: &mut String, workspace: usize) {
    let name = format!("target-{workspace}");
    let _ = write!(text, "[workspaces.{name}]\ntoken_sha256 = \"");
    for byte in Sha256::digest(&name) {
        let _ = write!(text, "{byte:02x}");
    }
    let _ = write!(
        text,
        "\"\n\n[workspaces.{name}.limits]\nrequests_per_s = 20.0\nconcurrency = 40\n\n"
    );
}
