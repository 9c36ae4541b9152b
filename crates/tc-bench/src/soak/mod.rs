//! A randomized soak of the gateway: real processes, faults from outside, promises checked by what callers and
//! upstreams saw.
//!
//! A seed gives the whole plan. Which requests meet which fault depends on the machine's scheduling, so a seed that failed
//! is run several times when it is looked into; its plan is always the same.

mod answers;
mod callers;
mod changes;
mod crashes;
mod departures;
mod drive;
mod faults;
mod hard_load;
mod judge;
mod limits;
mod notices;
mod plan;
mod process;
mod recovery;
mod responses;
mod retries;
mod shares;
mod silences;
mod upstreams;
mod versions;

use std::{
    fs,
    path::PathBuf,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

pub use drive::Outcome;

use self::plan::Plan;
pub use crate::world::SystemBinary;

use crate::error::BenchError;

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(1);

/// Size of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakShape {
    /// Gateway processes.
    pub instances: usize,
    /// Upstreams of each service.
    pub upstreams: usize,
    /// Callers, each with one request at a time.
    pub callers: usize,
    /// From the start to the end of the last fault.
    pub length: Duration,
    /// Evacuates failure domains besides the other faults, which stay the same.
    pub evacuations: bool,
    /// Lets upstreams announce rate limits besides the other faults, which stay the same.
    pub limits: bool,
    /// Lets upstreams announce that they are leaving or refuse requests with a backoff, besides the other faults, which
    /// stay the same.
    pub notices: bool,
    /// Upstreams that leave.
    pub leaving: LeavingUpstreams,
    /// Versions of the engines. With several, the faults of the store are left out.
    pub versions: EngineVersions,
    /// Requests that crash upstreams, besides the others.
    pub crashing: CrashingRequests,
    /// Sound upstreams that fall silent, besides the other faults, which stay the same.
    pub silences: SilentUpstreams,
    /// Configurations that operators write, besides the other faults, which stay the same.
    pub changes: ConfigurationChanges,
    /// Load, besides the other faults, which stay the same.
    pub load: OfferedLoad,
}

/// Load of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferedLoad {
    /// Callers of one workspace, each with one request at a time.
    Steady,
    /// Bursts of a second workspace besides, in which upstreams restart. Upstreams differ in speed and announce their load,
    /// some of them impossible figures. Instances pace upstreams that are new.
    Hard,
}

/// Configurations of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationChanges {
    /// They come among the other faults.
    Usual,
    /// They come in series, with routes and keys that are there for some seconds. Faults of the store then concern some
    /// instances each.
    InSeries,
}

/// Sound upstreams of a soak that fall silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SilentUpstreams {
    /// There are none.
    None,
    /// Those of all services, for a while and also in the middle of answers. Answers and deadlines are longer then.
    OfAllServices,
}

/// Requests of a soak that crash each upstream that runs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashingRequests {
    /// There are none.
    None,
    /// One request that is sent again and again, and requests that share a part of their prompts.
    Sent,
}

/// Upstreams of a soak that leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingUpstreams {
    /// Those of plain services.
    Plain,
    /// Those of all services, through the store alone. Faults of the store then concern one instance each.
    OfAllServices,
}

/// Software versions of a soak's engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineVersions {
    /// All have one version.
    One,
    /// Engines of several versions serve, break off and are replaced.
    Several,
}

/// Runs one seed. The logs of its processes stay in the outcome's folder when a promise was broken.
pub async fn soak(
    binary: &SystemBinary,
    seed: u64,
    shape: SoakShape,
) -> Result<Outcome, BenchError> {
    let folder = folder(seed)?;
    let mut plan = Plan::new(seed, shape.instances, shape.upstreams, shape.length);
    if shape.evacuations {
        plan.add_evacuations();
    }
    if shape.limits {
        plan.add_limits();
    }
    if shape.notices {
        plan.add_notices();
    }
    if shape.leaving == LeavingUpstreams::OfAllServices {
        plan.add_departures();
    }
    if shape.versions == EngineVersions::Several {
        plan.add_versions();
    }
    if shape.silences == SilentUpstreams::OfAllServices {
        plan.add_silences();
    }
    if shape.changes == ConfigurationChanges::InSeries {
        plan.add_changes();
    }
    if shape.load == OfferedLoad::Hard {
        plan.add_hard_load();
    }
    let outcome = drive::play(binary, &folder, plan, shape).await?;
    if outcome.broken.is_empty() {
        // Files that remain only take up space.
        let _ = fs::remove_dir_all(&folder);
    }
    Ok(outcome)
}

fn folder(seed: u64) -> Result<PathBuf, BenchError> {
    // Soaks of one seed may run at the same time in one process.
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let name = format!("tc-soak-{}-{seed}-{number}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).map_err(|e| BenchError::File {
        path: folder.display().to_string(),
        problem: e.to_string(),
    })?;
    Ok(folder)
}
