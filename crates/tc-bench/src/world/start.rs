//! Setting a world up, and what may be done to it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tc_config::{SourceFile, merge};
use tc_protocol::{FleetConfig, InstanceId, wire::ListedInstance, wire::ListedState};
use tc_stand_ins::{Platform, Recorder, WeightStore};

use super::{
    binary::SystemBinary,
    config_folder::{Applied, ConfigFolder},
    instance::Instance,
    relay::DomainCuts,
    spec::{Place, PolicyChoice, Timing, WorldSpec},
    upstream::UpstreamHandle,
};
use crate::{
    error::BenchError,
    load::{Http, http_client},
};

/// File that gives upstreams the addresses their stand-ins listen on; merged last.
const ADDRESSES_FILE: &str = "99-addresses.toml";
/// Instances a newcomer is told to ask.
const SEEDS: usize = 3;

/// A running world; dropping it ends everything it started.
pub(crate) struct World {
    /// Instances by index.
    pub(crate) instances: Vec<Instance>,
    /// Upstream stand-ins.
    pub(crate) upstreams: Vec<UpstreamHandle>,
    /// The platform stand-in.
    pub(crate) platform: Platform,
    /// Records of the upstreams.
    pub(crate) recorder: Recorder,
    /// The configuration as first applied.
    pub(crate) config: Arc<FleetConfig>,
    /// The folder it was applied from.
    pub(crate) folder: ConfigFolder,
    /// The system's binary.
    pub(crate) binary: SystemBinary,
    /// Client for the admin interface.
    pub(crate) http: Http,
    policy: PolicyChoice,
    logs: ConfigFolder,
    cuts: Option<DomainCuts>,
    /// Stops when dropped; engines know its address.
    _weights: Option<WeightStore>,
}

impl World {
    /// Starts everything and waits until every instance serves.
    pub(crate) async fn start(spec: WorldSpec) -> Result<Self, BenchError> {
        Self::start_with(spec, None).await
    }

    /// The same with relays between the instances, by which failure domains can be cut from each other.
    pub(crate) async fn start_cuttable(spec: WorldSpec) -> Result<(Self, DomainCuts), BenchError> {
        let cuts = DomainCuts::new();
        let world = Self::start_with(spec, Some(cuts.clone())).await?;
        Ok((world, cuts))
    }

    async fn start_with(spec: WorldSpec, cuts: Option<DomainCuts>) -> Result<Self, BenchError> {
        let binary = SystemBinary::find()?;
        let platform = Platform::start(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .map_err(|e| BenchError::world("the platform stand-in cannot listen", e))?;
        let recorder = Recorder::new();
        let drafted = merged(&spec.files)?;
        let weights = start_weights(spec.weights_per_s).await?;
        let weights_at = weights.as_ref().map(WeightStore::address);
        let upstreams = start_upstreams(&spec, &drafted, &recorder, weights_at).await?;
        let mut files = spec.files.clone();
        files.push(addresses_file(&upstreams));
        let config = Arc::new(merged(&files)?);
        let folder = ConfigFolder::create()?;
        folder.write_all(&files)?;
        let mut world = Self {
            instances: Vec::new(),
            upstreams,
            platform,
            recorder,
            config,
            folder,
            binary,
            http: http_client(),
            policy: spec.policy,
            logs: ConfigFolder::create()?,
            cuts,
            _weights: weights,
        };
        world.list_upstreams();
        world.apply_first().await?;
        for place in spec.places {
            world.prepare_instance(place)?;
        }
        for at in 0..world.instances.len() {
            world.start_instance(at)?;
        }
        world.wait_ready(world.instances.len()).await?;
        Ok(world)
    }

    async fn apply_first(&self) -> Result<(), BenchError> {
        let applied = self
            .folder
            .apply(&self.binary, self.platform.address(), "bench")
            .await?;
        match applied {
            Applied::Done => Ok(()),
            other => Err(BenchError::World(format!("config apply: {other:?}"))),
        }
    }

    fn list_upstreams(&self) {
        for upstream in &self.upstreams {
            self.list_upstream(upstream, ListedState::Live);
        }
    }

    /// Puts an upstream into the instance list in this state.
    pub(crate) fn list_upstream(&self, handle: &UpstreamHandle, state: ListedState) {
        self.platform.put_instance(ListedInstance {
            id: handle.upstream.id.as_str().into(),
            service: Some(handle.service.clone()),
            address: handle.upstream.address,
            failure_domain: handle.upstream.failure_domain.clone(),
            region: handle.upstream.region.clone(),
            state,
        });
    }

    /// Adds an instance without starting it; returns its index.
    pub(crate) fn prepare_instance(&mut self, place: Place) -> Result<usize, BenchError> {
        let at = self.instances.len();
        let id = format!("{}-i{}", place.failure_domain, at + 1);
        let instance = Instance::new(&id, place, self.logs.path(), self.cuts.as_ref())?;
        self.instances.push(instance);
        Ok(at)
    }

    /// Starts the process of instance `at`, for the first time or again, and lists it.
    pub(crate) fn start_instance(&mut self, at: usize) -> Result<(), BenchError> {
        let seeds: Vec<SocketAddr> = (0..self.instances.len())
            .filter(|other| *other != at)
            .take(SEEDS)
            .map(|other| self.instances[other].fleet)
            .collect();
        let (platform, policy) = (self.platform.address(), self.policy);
        self.instances[at].spawn(&self.binary, platform, &seeds, policy)?;
        self.platform
            .put_instance(self.instances[at].listed(ListedState::Live));
        Ok(())
    }

    /// Index of the instance with this identifier.
    pub(crate) fn index_of(&self, id: &InstanceId) -> Option<usize> {
        self.instances.iter().position(|i| i.id == *id)
    }

    /// Caller addresses, as in the settings of callers.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.caller).collect()
    }

    /// Upstreams of one service.
    pub(crate) fn service(&self, name: &str) -> Vec<&UpstreamHandle> {
        self.upstreams
            .iter()
            .filter(|u| u.service.as_str() == name)
            .collect()
    }

    /// Waits for a planned stop of instance `at`, told to the platform as well.
    pub(crate) async fn stop_planned(&mut self, at: usize, limit: Duration) -> Option<i32> {
        self.platform
            .put_instance(self.instances[at].listed(ListedState::Leaving));
        self.instances[at].terminate();
        let status = self.instances[at].wait_exit(limit).await?;
        self.platform
            .remove_instance(self.instances[at].id.as_str());
        status.code()
    }
}

fn merged(files: &[SourceFile]) -> Result<FleetConfig, BenchError> {
    merge(files, 1).map_err(|e| BenchError::world("configuration", e))
}

async fn start_weights(per_s: Option<f64>) -> Result<Option<WeightStore>, BenchError> {
    let Some(per_s) = per_s else { return Ok(None) };
    WeightStore::start(SocketAddr::from(([127, 0, 0, 1], 0)), per_s)
        .await
        .map(Some)
        .map_err(|e| BenchError::world("the weight store stand-in cannot listen", e))
}

async fn start_upstreams(
    spec: &WorldSpec,
    config: &FleetConfig,
    recorder: &Recorder,
    weights: Option<SocketAddr>,
) -> Result<Vec<UpstreamHandle>, BenchError> {
    let mut handles = Vec::new();
    for (name, service) in &config.services {
        let timing = spec
            .timings
            .get(name)
            .copied()
            .unwrap_or(Timing::usual(service.kind));
        for upstream in &service.upstreams {
            let handle =
                UpstreamHandle::start(name, service, upstream, timing, recorder, weights).await?;
            handles.push(handle);
        }
    }
    Ok(handles)
}

/// Arrays replace arrays in a merge, so this file replaces every upstream's address.
fn addresses_file(upstreams: &[UpstreamHandle]) -> SourceFile {
    let text: String = upstreams.iter().map(address_table).collect();
    SourceFile {
        name: Arc::from(ADDRESSES_FILE),
        text: Arc::from(text),
    }
}

fn address_table(handle: &UpstreamHandle) -> String {
    let upstream = &handle.upstream;
    format!(
        "[[services.{}.upstreams]]\nid = \"{}\"\naddress = \"{}\"\nfailure_domain = \"{}\"\nregion = \"{}\"\n\n",
        handle.service, upstream.id, upstream.address, upstream.failure_domain, upstream.region,
    )
}
