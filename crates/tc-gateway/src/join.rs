//! Discovery between instances: how a newly started instance and the others find each other.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::join_all;
use rand::seq::{IteratorRandom, SliceRandom};
use tc_fleet::{Mesh, MeshError};
use tc_membership::{ComparisonOutcome, ViewSync, store_watchers};
use tc_platform::{Freshness, Purpose, Store, StoredObject};
use tc_protocol::{Member, MemberState, MonoTime};
use tokio::{
    sync::watch::{Receiver, Sender},
    time::{sleep, timeout},
};

use crate::{codec::PlatformCodec, settings::GatewaySettings};

/// Minimum and maximum delay before an instance that knows no others tries again. Instances that
/// start together find each other quickly, and an instance that remains alone makes few store
/// calls.
const JOIN_WAITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Number of rounds in which only seeds are asked. When all instances start together, the seeds
/// answer a moment later, and in a fleet that starts for the first time the list in the store is
/// empty.
const SEED_ONLY_ROUNDS: u32 = 2;
/// Interval at which watchers check whether the store lists unknown instances.
const UNKNOWN_MEMBERS_INTERVAL: Duration = Duration::from_secs(3);
/// Maximum number of listed instances that are asked in one round. Most of them are alive, and one
/// that answers reports all members that it knows.
const MAX_ADDRESSES_PER_ROUND: usize = 5;
/// Timeout of calls to instances during discovery. A machine without power does not refuse
/// connections. Without this limit, all instances that start after a power loss would wait for the
/// slowest seed.
const INTRODUCTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum time for which a starting process waits for its list of members to match the others'.
/// Hundreds of instances agree within a second. In a fleet where many instances come and go,
/// callers must not be delayed for longer than they would wait.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Signals that this instance knows enough members to place work by them.
#[derive(Clone)]
pub(crate) struct Settled(Arc<Sender<bool>>);

impl Settled {
    /// Creates an unset signal that is set after [`SETTLE_TIMEOUT`] at the latest.
    pub(crate) fn with_timeout() -> Self {
        let settled = Self(Arc::new(Sender::new(false)));
        let late = settled.clone();
        tokio::spawn(async move {
            sleep(SETTLE_TIMEOUT).await;
            late.mark_settled("timeout");
        });
        settled
    }

    /// Returns a receiver of whether the members are settled.
    pub(crate) fn subscribe(&self) -> Receiver<bool> {
        self.0.subscribe()
    }

    fn mark_settled(&self, why: &'static str) {
        if !self.0.send_replace(true) {
            log::info!(why = why; "members are settled");
        }
    }
}

/// Discovers other instances.
#[derive(Clone)]
pub(crate) struct Discovery {
    pub(crate) settings: GatewaySettings,
    pub(crate) codec: PlatformCodec,
    pub(crate) store: Store,
    pub(crate) mesh: Mesh,
    pub(crate) settled: Settled,
}

impl Discovery {
    /// Finds a first other instance through the seeds or, failing that, the list in the store.
    ///
    /// Seeds may be outdated or down, and the store may be unreachable; either is enough. The
    /// instance found reports all members that it knows. [`sync_members`] and
    /// [`Discovery::join_unknown_members`] find the rest.
    pub(crate) async fn join(self) {
        let (mut wait, max_wait) = JOIN_WAITS;
        let mut round = 0;
        loop {
            self.ask_seeds().await;
            let only_seeds = round < SEED_ONLY_ROUNDS && !self.settings.seeds.is_empty();
            if self.knows_no_others() && !only_seeds {
                self.ask_listed().await;
            }
            if !self.knows_no_others() {
                return;
            }
            sleep(wait.mul_f64(0.5 + rand::random::<f64>())).await;
            wait = (wait * 2).min(max_wait);
            round += 1;
        }
    }

    fn knows_no_others(&self) -> bool {
        self.mesh.other_addresses().is_empty()
    }

    /// Gets the list of members from one seed, and announces this instance to the others.
    ///
    /// Two seeds that started at the same time do not know each other, and an instance introduced
    /// by only one of them would be isolated from the other's members. The list is requested from
    /// one seed only: hundreds of lists of 30 KB each would occupy a seed's slow link for seconds.
    async fn ask_seeds(&self) {
        let me = self.settings.me.fleet_address;
        let mut seeds = self.settings.seeds.clone();
        seeds.retain(|seed| *seed != me);
        seeds.shuffle(&mut rand::rng());
        let Some((first, others)) = seeds.split_first() else {
            return;
        };
        let announced = others.iter().map(|seed| self.announce(*seed));
        let (known, announced) = tokio::join!(self.introduce(*first), join_all(announced));
        let answered = others.iter().zip(announced).find(|(_, answered)| *answered);
        if let (false, Some((seed, _))) = (known, answered) {
            self.introduce(*seed).await;
        }
    }

    async fn ask_listed(&self) {
        match self.unknown_members(Freshness::Current).await {
            Some(unknown) if unknown.is_empty() => self.settled.mark_settled("no other is listed"),
            unknown => self.introduce_to_any(unknown.unwrap_or_default()).await,
        }
    }

    async fn introduce_to_any(&self, addresses: Vec<SocketAddr>) {
        for address in addresses {
            if self.introduce(address).await {
                return;
            }
        }
    }

    /// Returns true if the instance at the address answered.
    async fn introduce(&self, address: SocketAddr) -> bool {
        answers_in_time(self.mesh.introduce_at(address)).await
    }

    /// Returns true if the instance at the address answered.
    async fn announce(&self, address: SocketAddr) -> bool {
        answers_in_time(self.mesh.announce_at(address)).await
    }

    /// Registers this instance in the store while it is one of the watchers, and periodically looks
    /// for listed instances that no member knows. Runs until the future is dropped.
    ///
    /// Instances that start together may form groups that do not know each other. Each group then
    /// has its own homes, so batches are half full and upstreams are busy with the calls of another
    /// group. Comparing lists within a group never reveals this. Each group has some watchers, and
    /// one introduction joins two groups. Only watchers register themselves: a new instance needs
    /// only one that answers, and a list of hundreds is read page by page.
    pub(crate) async fn join_unknown_members(self) {
        let mut settled = self.settled.subscribe();
        // Fails only when the process ends.
        let _ = settled.wait_for(|settled| *settled).await;
        // Era of the store in which this instance last found itself registered, or registered itself.
        let mut registered_in: Option<u16> = None;
        loop {
            if self.is_watcher()
                && let Some(listed) = self.listed_members(Freshness::SecondsOld).await
            {
                // A store that was restored from an older copy may have lost the entry.
                if registered_in.is_none_or(|era| era < listed.era) && self.register().await {
                    registered_in = Some(listed.era);
                }
                let unknown = self.unknown_of(listed);
                self.introduce_to_any(unknown).await;
            }
            sleep(UNKNOWN_MEMBERS_INTERVAL.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    fn is_watcher(&self) -> bool {
        let members = self.mesh.members();
        let watchers = store_watchers(&members);
        watchers.iter().any(|w| w.id == self.mesh.me().id)
    }

    /// Returns a random selection of addresses that the store lists but this instance does not
    /// know, or `None` if the store cannot be read.
    async fn unknown_members(&self, freshness: Freshness) -> Option<Vec<SocketAddr>> {
        let listed = self.listed_members(freshness).await?;
        Some(self.unknown_of(listed))
    }

    fn unknown_of(&self, listed: ListedMembers) -> Vec<SocketAddr> {
        let mut unknown = listed.addresses;
        let members = self.mesh.members();
        let known: HashSet<SocketAddr> = members.iter().map(|m| m.fleet_address).collect();
        unknown.retain(|address| !known.contains(address));
        unknown.shuffle(&mut rand::rng());
        unknown.truncate(MAX_ADDRESSES_PER_ROUND);
        unknown
    }

    async fn listed_members(&self, freshness: Freshness) -> Option<ListedMembers> {
        let kind = self.codec.kinds.members;
        let dialect = &self.codec.store;
        let listed = self
            .store
            .list_kind(Purpose::Members, dialect, kind, freshness);
        let page = listed.await.inspect_err(|error| {
            log::warn!(error = error.to_string().as_str(); "listing other instances in the store failed");
        });
        let page = page.ok()?;
        let address = |object: &StoredObject| object.value.get("fleet")?.as_str()?.parse().ok();
        Some(ListedMembers {
            addresses: page.items.iter().filter_map(address).collect(),
            era: page.revision.era,
        })
    }

    async fn register(&self) -> bool {
        let address = self.settings.me.fleet_address.to_string();
        let value = serde_json::json!({ "fleet": address });
        let kind = self.codec.kinds.members;
        let dialect = &self.codec.store;
        let name = &self.settings.node_name;
        let put = self
            .store
            .put_kind(Purpose::Members, dialect, kind, name, &value);
        let put = put.await.inspect_err(|error| {
            log::warn!(error = error.to_string().as_str(); "registering this instance in the store failed; retrying");
        });
        put.is_ok()
    }
}

/// The instances that the store lists.
struct ListedMembers {
    addresses: Vec<SocketAddr>,
    /// Number of restores of the store.
    era: u16,
}

async fn answers_in_time(call: impl Future<Output = Result<(), MeshError>>) -> bool {
    match timeout(INTRODUCTION_TIMEOUT, call).await {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            log::debug!(error = error.to_string().as_str(); "an instance asked during discovery does not answer");
            false
        }
        Err(_) => {
            log::debug!("an instance asked during discovery does not answer in time");
            false
        }
    }
}

/// Compares the list of members with those of other instances, at short intervals while they
/// differ. Runs until the future is dropped.
///
/// The members are settled once [`ViewSync`] has found others with the same list.
pub(crate) async fn sync_members(mesh: Mesh, settled: Settled) {
    let mut sync = ViewSync::new(MonoTime::now(), rand::random());
    loop {
        sleep(sync.next_comparison().since(MonoTime::now())).await;
        let outcome = match pick_member(&mesh) {
            None => ComparisonOutcome::NoAnswer,
            Some(other) => mesh.compare_members(&other).await.unwrap_or_else(|error| {
                log::debug!(error = error.to_string().as_str(); "comparing members with another instance failed");
                mesh.report_failed_call(&other.id);
                ComparisonOutcome::NoAnswer
            }),
        };
        sync.record(MonoTime::now(), outcome, rand::random());
        if sync.is_settled() {
            settled.mark_settled("other instances know the same members");
        }
    }
}

/// Returns a random instance to compare members with. Half of the time it is one of the presumed
/// watchers of the store. All instances soon agree on these, so what one instance tells them
/// reaches the others at their next comparison.
fn pick_member(mesh: &Mesh) -> Option<Member> {
    let members = mesh.members();
    let me = &mesh.me().id;
    let responds = |m: &Member| matches!(m.state, MemberState::Alive | MemberState::Isolated);
    let is_other = |m: &&Member| responds(m) && m.id != *me;
    let watchers = store_watchers(&members).into_iter().filter(is_other);
    let watcher = watchers.choose(&mut rand::rng()).filter(|_| rand::random());
    let any = || members.iter().filter(is_other).choose(&mut rand::rng());
    watcher.or_else(any).cloned()
}
