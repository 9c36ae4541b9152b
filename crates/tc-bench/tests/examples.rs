//! The example folders are valid alone and together, and have the sizes that their users named.

use std::path::Path;

use sha2::{Digest, Sha256};
use tc_config::{SourceFile, merge, read_folder};
use tc_protocol::{FleetConfig, ServiceKind};

fn files(user: &str) -> Vec<SourceFile> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(user);
    read_folder(&folder).unwrap()
}

fn config(user: &str) -> FleetConfig {
    merge(&files(user), 1).unwrap()
}

#[test]
fn sizes_are_those_of_today() {
    let cases: [(&str, &[(&str, usize)]); 2] = [
        (
            "lintas",
            &[
                ("drafting", 12),
                ("status-pages", 4),
                ("console", 5),
                ("notifications", 5),
                ("probe-collector", 5),
            ],
        ),
        (
            "trinacria",
            &[
                ("language", 12),
                ("auction-hall", 4),
                ("vehicle-records", 5),
                ("adjuster-portal", 5),
                ("member-invoicing", 5),
            ],
        ),
    ];
    for (user, services) in cases {
        let config = config(user);
        assert_eq!(config.workspaces.len(), 5, "{user}");
        for (service, count) in services {
            assert_eq!(
                config.services[*service].upstreams.len(),
                *count,
                "{user} {service}"
            );
        }
        let once = config.services.values().filter(|s| !s.idempotent).count();
        assert!(once >= 1, "{user}");
    }
}

#[test]
fn pipelines_run_four_stages_and_end_at_an_engine() {
    for user in ["lintas", "trinacria"] {
        let config = config(user);
        for (name, pipeline) in &config.pipelines {
            let stages: Vec<&str> = pipeline.stages.iter().map(|s| s.name.as_str()).collect();
            assert_eq!(
                stages,
                ["encode", "retrieve", "rerank", "generate"],
                "{name}"
            );
            let last = &config.services[&pipeline.stages[3].service];
            assert_eq!(last.kind, ServiceKind::Engine, "{name}");
        }
    }
}

#[test]
fn token_of_each_workspace_is_its_name_and_token() {
    for user in ["lintas", "trinacria"] {
        for (name, workspace) in &config(user).workspaces {
            let hash = Sha256::digest(format!("{name}-token"));
            let digits = workspace.token_sha256.as_bytes().chunks(2);
            let written: Vec<u8> = digits
                .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
                .collect();
            assert_eq!(written, hash.as_slice(), "{name}");
        }
    }
}

#[test]
fn both_folders_merge_with_each_other() {
    let mut both = Vec::new();
    for (order, user) in ["lintas", "trinacria"].iter().enumerate() {
        for file in files(user) {
            both.push(SourceFile::new(
                &format!("{order}-{user}-{}", file.name),
                &file.text,
            ));
        }
    }
    let merged = merge(&both, 1).unwrap();
    let (lintas, trinacria) = (config("lintas"), config("trinacria"));
    assert_eq!(
        merged.services.len(),
        lintas.services.len() + trinacria.services.len()
    );
    assert_eq!(
        merged.workspaces.len(),
        lintas.workspaces.len() + trinacria.workspaces.len()
    );
    assert_eq!(
        merged.pipelines.len(),
        lintas.pipelines.len() + trinacria.pipelines.len()
    );
}
