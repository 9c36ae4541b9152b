//! Tests of merging files: order, overrides, defaults and differences.

use crate::base::{BASE, files, with_change};
use tc_config::{ConfigError, diff, merge, merge_with_overrides};
use tc_protocol::{
    FleetConfig, Limits, Model, Pipeline, Policy, Service, ServiceKind, Stage, Upstream, Workspace,
};

#[test]
fn later_files_override_key_by_key() {
    let config = with_change("[pipelines.notices]\ndeadline_ms = 900").expect("valid");
    let pipeline = &config.pipelines["notices"];
    assert_eq!(pipeline.deadline_ms, 900);
    assert_eq!(pipeline.stages.len(), 2, "other keys stay");
}

#[test]
fn arrays_are_replaced_whole() {
    let change = "[[pipelines.notices.stages]]\nname = \"only\"\nservice = \"encode\"";
    let config = with_change(change).expect("valid");
    let names: Vec<_> = config.pipelines["notices"]
        .stages
        .iter()
        .map(|s| s.name.as_str())
        .collect();
    assert_eq!(names, ["only"]);
}

#[test]
fn overrides_name_both_locations() {
    let change = "[pipelines.notices]\ndeadline_ms = 900\nworkspaces = [\"lintas\"]";
    let files = files(&[("10-base.toml", BASE), ("20-change.toml", change)]);
    let overrides = merge_with_overrides(&files, 1).expect("valid").overrides;
    let overrides: Vec<_> = overrides.iter().map(ToString::to_string).collect();
    let line = 1 + BASE[..BASE.find("deadline_ms").expect("there")]
        .matches('\n')
        .count();
    let expected =
        format!("20-change.toml:2 overrides pipelines.notices.deadline_ms of 10-base.toml:{line}");
    assert_eq!(overrides, [expected], "an equal value is not an override");
}

#[test]
fn files_are_merged_in_name_order() {
    let (ten, nine) = ("[policy]\nshard_size = 10", "[policy]\nshard_size = 9");
    let config = merge(&files(&[("9.toml", nine), ("10.toml", ten)]), 1).expect("valid");
    assert_eq!(config.policy.shard_size, 9, "10.toml sorts before 9.toml");
}

#[test]
fn empty_configurations_and_duplicate_file_names_are_rejected() {
    for texts in [&[][..], &[("a.toml", "# only a comment\n")]] {
        let error = merge(&files(texts), 1).expect_err("empty");
        assert!(matches!(error, ConfigError::Empty), "{error:?}");
    }
    let error = merge(&files(&[("a.toml", BASE), ("a.toml", "")]), 1).expect_err("twice");
    assert!(
        matches!(error, ConfigError::SameFileName { .. }),
        "{error:?}"
    );
}

/// Returns a configuration in which every key of the model has a value other than its default.
///
/// A key added to the model breaks compilation here; a key that the schema lacks fails the test below.
fn config_with_every_key() -> FleetConfig {
    let upstream = Upstream {
        id: "e1".into(),
        address: "10.0.0.1:9000".parse().expect("an address"),
        failure_domain: "kl-a".into(),
        region: "kl".into(),
    };
    let service = Service {
        kind: ServiceKind::Engine,
        idempotent: false,
        checks_orders: true,
        model: Some("draft".to_owned()),
        slots: 3,
        upstreams: vec![upstream],
    };
    let stage = Stage {
        name: "s".into(),
        service: "generate".into(),
        max_tokens: 5,
    };
    let pipeline = Pipeline {
        deadline_ms: 700,
        priority: 2,
        workspaces: vec!["lintas".into()],
        stages: vec![stage],
    };
    let workspace = Workspace {
        token_sha256: "a".repeat(64).into(),
        weight: 4,
        highest_priority: 1,
        limits: Limits {
            requests_per_s: Some(2.5),
            concurrency: Some(6),
            cost_per_s: Some(7.0),
        },
    };
    let model = Model {
        version: "7".to_owned(),
        floor: 2,
        adapters: vec!["legal".to_owned()],
    };
    let policy = Policy {
        address_max_age_s: 11,
        shard_size: 5,
        admission_quantile: 0.7,
        hedge_ratio: 0.04,
        retry_ratio: 0.2,
        crashes_to_quarantine: 3,
        claim_retention_s: 601,
        queue_per_workspace: 257,
        cross_domain_ms: 1.5,
        cross_region_ms: 21.0,
    };
    FleetConfig {
        revision: 9,
        pipelines: [("p".into(), pipeline)].into(),
        services: [("generate".into(), service)].into(),
        workspaces: [("lintas".into(), workspace)].into(),
        models: [("draft".to_owned(), model)].into(),
        policy,
    }
}

#[test]
fn every_key_of_the_model_can_be_written() {
    let config = config_with_every_key();
    let mut table = toml::Table::try_from(&config).expect("serialises");
    table.remove("revision");
    let text = table.to_string();
    assert_eq!(
        merge(&files(&[("a.toml", &text)]), 9).expect("valid"),
        config
    );
}

#[test]
fn omitted_keys_have_the_defaults_of_the_model() {
    let config = with_change("").expect("valid");
    assert_eq!(config.policy, Policy::default());
    assert_eq!(config.services["encode"].slots, 8);
    assert_eq!(config.pipelines["notices"].priority, 3);
}

#[test]
fn a_difference_names_the_key_and_both_values() {
    let old = with_change("").expect("valid");
    let change = r#"
[services.encode]
upstreams = [
    { id = "enc-0", address = "10.0.0.7:9000", failure_domain = "kl-a" },
    { id = "enc-1", address = "10.0.0.1:9000", failure_domain = "kl-a" },
    { id = "enc-2", address = "10.0.0.2:9001", failure_domain = "kl-b" },
]
[workspaces.lintas]
weight = 3
"#;
    let mut new = with_change(change).expect("valid");
    new.models.clear();
    new.revision = 77;
    let lines: Vec<_> = diff(&old, &new).iter().map(ToString::to_string).collect();
    let expected = [
        "- models.draft.adapters = []",
        "- models.draft.floor = 1",
        "- models.draft.version = \"7\"",
        "+ services.encode.upstreams.enc-0.address = \"10.0.0.7:9000\"",
        "+ services.encode.upstreams.enc-0.failure_domain = \"kl-a\"",
        "+ services.encode.upstreams.enc-0.id = \"enc-0\"",
        "+ services.encode.upstreams.enc-0.region = \"default\"",
        "~ services.encode.upstreams.enc-2.address = \"10.0.0.2:9000\" -> \"10.0.0.2:9001\"",
        "~ workspaces.lintas.weight = 1 -> 3",
    ];
    assert_eq!(lines, expected);
    assert!(diff(&old, &old).is_empty());
}
