//! Validation of pipelines and their stages.

use std::collections::BTreeSet;

use tc_protocol::{FleetConfig, Pipeline, Stage};

use super::{Context, MAX_DEADLINE_MS, MIN_DEADLINE_MS};
use crate::FaultKind;

pub(super) fn check(config: &FleetConfig, cx: &mut Context<'_>) {
    for (name, pipeline) in &config.pipelines {
        check_pipeline(name.as_str(), pipeline, cx);
    }
}

fn check_pipeline(name: &str, pipeline: &Pipeline, cx: &mut Context<'_>) {
    let found = pipeline.deadline_ms;
    if !(MIN_DEADLINE_MS..=MAX_DEADLINE_MS).contains(&found) {
        let path = ["pipelines", name, "deadline_ms"];
        cx.add_fault(&path, FaultKind::DeadlineOutOfRange { found });
    }
    cx.check_priority(&["pipelines", name, "priority"], pipeline.priority);
    for (index, workspace) in pipeline.workspaces.iter().enumerate() {
        let path = ["pipelines", name, "workspaces", &index.to_string()];
        let workspace = workspace.as_str();
        cx.check_reference(&path, "workspaces", workspace, |nearest, known| {
            FaultKind::UnknownWorkspace {
                name: workspace.to_owned(),
                nearest,
                known,
            }
        });
    }
    check_stages(name, &pipeline.stages, cx);
}

fn check_stages(pipeline: &str, stages: &[Stage], cx: &mut Context<'_>) {
    if stages.is_empty() {
        cx.add_fault(&["pipelines", pipeline, "stages"], FaultKind::NoStages);
    }
    let mut seen = BTreeSet::new();
    for (index, stage) in stages.iter().enumerate() {
        let index = index.to_string();
        let path_to = |key| ["pipelines", pipeline, "stages", &index, key];
        let name = stage.name.as_str();
        cx.check_name(&path_to("name"), name);
        if !seen.insert(name) {
            let name = name.to_owned();
            cx.add_fault(&path_to("name"), FaultKind::DuplicateStage { name });
        }
        let service = stage.service.as_str();
        cx.check_reference(
            &path_to("service"),
            "services",
            service,
            |nearest, known| FaultKind::UnknownService {
                name: service.to_owned(),
                nearest,
                known,
            },
        );
        cx.check_positive(&path_to("max_tokens"), f64::from(stage.max_tokens));
    }
}
