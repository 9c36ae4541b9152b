//! Helpers to start several fleet layers in one process over real sockets, with a stand-in platform.

use std::{fmt::Write as _, net::SocketAddr, sync::Arc, time::Duration};

use serde_json::json;
use tc_fleet::{Fleet, FleetKeys, FleetSettings, PermitPolicy, ReportHandlers};
use tc_platform::{Store, StoreSettings};
use tc_protocol::{
    Attempt, Cost, Fingerprint, Incarnation, Member, MemberState, PermitRequest, RequestId,
    wire::{CONFIG_KIND, CONFIG_NAME, ConfigFile, ConfigObject, ListedInstance, ListedState},
};
use tc_stand_ins::Platform;
use tc_upstream::{ClientSettings, UpstreamClient};

pub(crate) const KEY: &str = "a key of the tests";

/// Timeout for conditions that must become true. Far longer than needed, so that tests do not fail on a slow machine.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// The fleet layer of one instance on its own runtime. Dropping it simulates a crash.
pub(crate) struct Instance {
    pub(crate) fleet: Fleet,
    pub(crate) member: Member,
    runtime: Option<tokio::runtime::Runtime>,
}

impl Instance {
    pub(crate) fn start(
        id: &str,
        domain: &str,
        platform: SocketAddr,
        seeds: Vec<SocketAddr>,
        key: &str,
    ) -> Self {
        let address = free_address();
        Self::start_at([address; 2], id, domain, platform, seeds, key)
    }

    /// Starts an instance that listens on the first address and advertises the second.
    pub(crate) fn start_at(
        [fleet_listen, fleet_address]: [SocketAddr; 2],
        id: &str,
        domain: &str,
        platform: SocketAddr,
        seeds: Vec<SocketAddr>,
        key: &str,
    ) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let member = Member {
            id: id.into(),
            incarnation: Incarnation(1),
            caller_address: free_address(),
            fleet_address,
            failure_domain: domain.into(),
            region: "kl".into(),
            state: MemberState::Alive,
            strength: Member::default_strength(),
        };
        let settings = FleetSettings {
            me: member.clone(),
            fleet_listen,
            seeds,
            keys: FleetKeys::new(&[key]).unwrap(),
            policy: PermitPolicy::Home,
            membership: tc_membership::MembershipConfig::default(),
            traffic: runtime.handle().clone(),
        };
        let store = store_at(platform);
        let reports = ReportHandlers {
            explain: Box::new(|_| Box::pin(async { None })),
            report: Box::new(|()| Box::pin(async { Some("{}".to_owned()) })),
        };
        let upstream = UpstreamClient::new(ClientSettings::default());
        let started = runtime.spawn(Fleet::start(settings, store, upstream, reports));
        let fleet = futures::executor::block_on(started).unwrap().unwrap();
        Self {
            fleet,
            member,
            runtime: Some(runtime),
        }
    }

    /// Ends all tasks and closes all sockets immediately.
    pub(crate) fn crash(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.crash();
    }
}

fn store_at(platform: SocketAddr) -> Store {
    Store::new(StoreSettings {
        address: platform,
        calls_per_s: 1_000.0,
        timeout: Duration::from_millis(500),
    })
}

/// Returns a client of the platform's store, like the one of an operator's command.
pub(crate) fn store(platform: &Platform) -> Store {
    store_at(platform.address())
}

fn free_address() -> SocketAddr {
    tc_stand_ins::free_address(std::net::Ipv4Addr::LOCALHOST.into()).unwrap()
}

/// Starts instances `i0`, `i1`, … and lists them in the platform.
pub(crate) fn start_listed(platform: &Platform, count: usize) -> Vec<Instance> {
    (0..count)
        .map(|number| {
            let id = format!("i{number}");
            let instance = Instance::start(&id, "kl-a", platform.address(), Vec::new(), KEY);
            list_instance(platform, &instance);
            instance
        })
        .collect()
}

/// Lists an instance in the platform.
pub(crate) fn list_instance(platform: &Platform, instance: &Instance) {
    platform.put_instance(ListedInstance {
        id: instance.member.id.clone(),
        service: None,
        address: instance.member.fleet_address,
        failure_domain: "kl-a".into(),
        region: "kl".into(),
        state: ListedState::Live,
    });
}

/// Stores a configuration in the platform, with one pool service `encode` that has `upstreams`.
pub(crate) async fn put_config(
    platform: &Platform,
    revision: u64,
    upstreams: &[SocketAddr],
    slots: u32,
) {
    let mut text = format!("[services.encode]\nkind = \"pool\"\nslots = {slots}\n");
    for (number, address) in upstreams.iter().enumerate() {
        let _ = write!(
            text,
            "[[services.encode.upstreams]]\nid = \"e{number}\"\naddress = \"{address}\"\nfailure_domain = \"kl-a\"\nregion = \"kl\"\n"
        );
    }
    put_config_text(platform, revision, text).await;
}

/// Stores a configuration with a single file in the platform.
pub(crate) async fn put_config_text(platform: &Platform, revision: u64, text: String) {
    let file = ConfigFile { text, revision };
    let object = ConfigObject {
        revision,
        files: [("10-services.toml".to_owned(), file)].into(),
        applied_by: "test".to_owned(),
        apply_id: revision.to_string(),
        applied_at_ms: 0,
    };
    let store = Store::new(StoreSettings {
        address: platform.address(),
        calls_per_s: 100.0,
        timeout: Duration::from_secs(2),
    });
    let purpose = tc_platform::Purpose::Operator;
    let found = store.get(purpose, CONFIG_KIND, CONFIG_NAME).await.unwrap();
    let value = json!(object);
    match found {
        Some(found) => store
            .update(purpose, CONFIG_KIND, CONFIG_NAME, found.version, &value)
            .await
            .unwrap(),
        None => store
            .create(purpose, CONFIG_KIND, CONFIG_NAME, &value)
            .await
            .unwrap(),
    };
}

/// Waits until `holds` returns true. Panics with `what` after [`TIMEOUT`].
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = std::time::Instant::now();
    while !holds() {
        assert!(started.elapsed() < TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until every instance sees `count` live members and at least configuration `revision`.
pub(crate) async fn wait_until_settled(instances: &[Instance], count: usize, revision: u64) {
    wait_until("all instances see each other and the configuration", || {
        instances.iter().all(|instance| {
            let view = instance.fleet.view();
            let alive = view
                .members
                .iter()
                .filter(|m| m.state == MemberState::Alive)
                .count();
            alive == count && view.config.revision >= revision
        })
    })
    .await;
}

/// Returns a permit request for the service `encode`.
pub(crate) fn permit_request(request: &str, slack: Duration) -> PermitRequest {
    PermitRequest {
        request: RequestId::from(request),
        attempt: Attempt(0),
        workspace: "lintas".into(),
        service: "encode".into(),
        priority: 3,
        slack,
        run_for: Duration::from_secs(30),
        estimate: Cost {
            busy_ms: 5.0,
            ..Cost::default()
        },
        prefix: None,
        fingerprint: Fingerprint(7),
        excluded: Vec::new(),
    }
}

/// Starts a platform and instances, and waits until all instances have the first configuration.
pub(crate) async fn start_settled(
    count: usize,
    upstreams: usize,
    slots: u32,
) -> (Arc<Platform>, Vec<Instance>) {
    let platform = Arc::new(
        Platform::start("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap(),
    );
    let addresses: Vec<SocketAddr> = (0..upstreams).map(|_| free_address()).collect();
    put_config(&platform, 1, &addresses, slots).await;
    let instances = start_listed(&platform, count);
    wait_until_settled(&instances, count, 1).await;
    (platform, instances)
}

/// Runs a test on its own runtime.
pub(crate) fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap()
        .block_on(test);
}
