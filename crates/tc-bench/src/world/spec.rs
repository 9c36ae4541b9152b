//! Specification of a world.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use tc_config::SourceFile;
use tc_protocol::{FailureDomain, Region, ServiceKind, ServiceName};

use crate::error::BenchError;

/// Policy of the instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum PolicyChoice {
    /// The system's own.
    #[default]
    Home,
    /// Round robin, first in first out, no admission.
    Baseline,
}

impl PolicyChoice {
    /// The word on the command line and in reports.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Baseline => "baseline",
        }
    }
}

/// Where an instance runs.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) failure_domain: FailureDomain,
    pub(crate) region: Region,
}

/// Speed of the upstreams of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timing {
    /// Time of a call to a pool or plain service, or to an engine's first token.
    pub(crate) base: Duration,
    /// Time of each generated token; engines only.
    pub(crate) per_token: Duration,
    /// Age of load reports.
    pub(crate) load_lag: Duration,
}

impl Timing {
    /// A call takes `base_us`, and `per_token_us` more for each token.
    pub(crate) const fn micros(base_us: u64, per_token_us: u64) -> Self {
        Self {
            base: Duration::from_micros(base_us),
            per_token: Duration::from_micros(per_token_us),
            load_lag: Duration::from_millis(200),
        }
    }

    /// Returns the defaults of a service.
    pub(crate) const fn usual(kind: ServiceKind) -> Self {
        match kind {
            ServiceKind::Engine => Self::micros(20_000, 1_000),
            ServiceKind::Pool | ServiceKind::Plain => Self::micros(5_000, 0),
        }
    }
}

/// Specification of a world.
#[derive(Clone)]
pub(crate) struct WorldSpec {
    /// Configuration files; upstream addresses in them are replaced by those of the stand-ins.
    pub(crate) files: Vec<SourceFile>,
    /// Services that are faster or slower than usual.
    pub(crate) timings: BTreeMap<ServiceName, Timing>,
    /// Where the instances run; one instance each.
    pub(crate) places: Vec<Place>,
    /// Their policy.
    pub(crate) policy: PolicyChoice,
    /// Models a second that the weight store serves; without it engines load at once.
    pub(crate) weights_per_s: Option<f64>,
}

/// Places of `count` instances spread over four failure domains `<prefix>-1` to `<prefix>-4` of `region`.
pub(super) fn spread(count: usize, prefix: &str, region: &str) -> Vec<Place> {
    (0..count)
        .map(|at| Place {
            failure_domain: format!("{prefix}-{}", at % 4 + 1).into(),
            region: region.into(),
        })
        .collect()
}

/// The two example folders served by eight instances, four in each user's region.
pub(crate) fn example_spec(policy: PolicyChoice) -> Result<WorldSpec, BenchError> {
    let mut files = Vec::new();
    for (order, user) in ["lintas", "trinacria"].iter().enumerate() {
        for file in example_files(user)? {
            files.push(SourceFile {
                name: Arc::from(format!("{}-{user}-{}", order + 1, file.name)),
                text: file.text,
            });
        }
    }
    let mut places = spread(4, "kl", "kl");
    places.extend(spread(4, "ct", "sicily-east"));
    Ok(WorldSpec {
        files,
        timings: BTreeMap::new(),
        places,
        policy,
        weights_per_s: None,
    })
}

fn example_files(user: &str) -> Result<Vec<SourceFile>, BenchError> {
    let folder = examples_folder().join(user);
    tc_config::read_folder(&folder).map_err(|e| BenchError::world(&folder.display().to_string(), e))
}

/// The folder of examples in the source tree this tool was built from.
fn examples_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}
