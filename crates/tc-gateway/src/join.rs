//! How an instance that has just started and the others find each other.

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

/// Shortest and longest wait of an instance that knows no other before it looks again: those that start together find
/// each other within moments, and one that is alone for good costs the store little.
const LOOK_FOR_OTHERS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// Rounds in which only seeds are asked: where all start at once, seeds answer a moment later, and the store's list of a
/// fleet that starts for the first time is empty.
const ROUNDS_OF_SEEDS: u32 = 2;
/// How often those that watch the store look whether it lists instances that nobody here knows.
const LOOK_FOR_STRANGERS: Duration = Duration::from_secs(3);
/// Listed instances that are asked in one round: most live, and one that answers tells of all that it knows.
const ASKED: usize = 5;
/// Longest wait for an instance that is asked while this one looks for others. A machine that has no power yet does not say so;
/// without the limit all that start after a power loss would wait for the slowest seed's.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// Longest time for which a process that starts waits to know the same members as others. Hundreds agree within a second;
/// an instance among many that come and go is not to hold its callers for longer than they would wait.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Says when this instance knows the members well enough to place work by them.
#[derive(Clone)]
pub(crate) struct Settled(Arc<Sender<bool>>);

impl Settled {
    /// Not yet, but in a moment in any case.
    pub(crate) fn soon() -> Self {
        let settled = Self(Arc::new(Sender::new(false)));
        let late = settled.clone();
        tokio::spawn(async move {
            sleep(SETTLE).await;
            late.now("the time for it is over");
        });
        settled
    }

    /// Told when it is so.
    pub(crate) fn watch(&self) -> Receiver<bool> {
        self.0.subscribe()
    }

    fn now(&self, why: &'static str) {
        if !self.0.send_replace(true) {
            log::info!(why = why; "members are taken for known");
        }
    }
}

/// Finds other instances.
#[derive(Clone)]
pub(crate) struct Finder {
    pub(crate) settings: GatewaySettings,
    pub(crate) codec: PlatformCodec,
    pub(crate) store: Store,
    pub(crate) mesh: Mesh,
    pub(crate) settled: Settled,
}

impl Finder {
    /// Finds a first other instance: by seeds, or else by what the store lists.
    ///
    /// Seeds may be stale or down; the list may be out of reach. Either is enough. Whoever is found tells of all others that
    /// it knows; [`keep_members_same`] and [`Finder::look_for_strangers`] get the rest.
    pub(crate) async fn join(self) {
        let (mut wait, longest) = LOOK_FOR_OTHERS;
        let mut round = 0;
        loop {
            self.ask_seeds().await;
            let only_seeds = round < ROUNDS_OF_SEEDS && !self.settings.seeds.is_empty();
            if self.knows_nobody() && !only_seeds {
                self.ask_listed().await;
            }
            if !self.knows_nobody() {
                return;
            }
            sleep(wait.mul_f64(0.5 + rand::random::<f64>())).await;
            wait = (wait * 2).min(longest);
            round += 1;
        }
    }

    fn knows_nobody(&self) -> bool {
        self.mesh.other_addresses().is_empty()
    }

    /// Gets the list of members from one seed, and makes this instance known to the others.
    ///
    /// Two seeds that started at the same time know nothing of each other, and whoever was introduced by one of them alone
    /// would be on an island. Lists are asked of one only: hundreds of 30 KB each take a seed's slow link for seconds.
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
        match self.strangers(Freshness::Current).await {
            Some(strangers) if strangers.is_empty() => self.settled.now("no other is listed"),
            strangers => self.introduce_to_first(strangers.unwrap_or_default()).await,
        }
    }

    async fn introduce_to_first(&self, addresses: Vec<SocketAddr>) {
        for address in addresses {
            if self.introduce(address).await {
                return;
            }
        }
    }

    /// Whether the instance at the address answered.
    async fn introduce(&self, address: SocketAddr) -> bool {
        answered(self.mesh.introduce_at(address)).await
    }

    /// Whether the instance at the address answered.
    async fn announce(&self, address: SocketAddr) -> bool {
        answered(self.mesh.announce_at(address)).await
    }

    /// While this instance is one of those that watch the store: lists itself there, and looks now and then whether the store
    /// lists instances that nobody here knows. Runs until it is dropped.
    ///
    /// Instances that start together may end in groups that know nothing of each other: each group then has homes of its
    /// own, seen as calls that are half full and upstreams that are busy with another's. Comparing lists within a group
    /// never shows it. Each group has some that watch the store, and one introduction joins two groups. Only these list
    /// themselves: a newcomer needs one that answers, and a list of hundreds is read page by page.
    pub(crate) async fn look_for_strangers(self) {
        let mut settled = self.settled.watch();
        // Fails only when the process ends.
        let _ = settled.wait_for(|settled| *settled).await;
        let mut registered = false;
        loop {
            if self.is_watcher() {
                if !registered {
                    registered = self.register().await;
                }
                let strangers = self.strangers(Freshness::SecondsOld).await;
                self.introduce_to_first(strangers.unwrap_or_default()).await;
            }
            sleep(LOOK_FOR_STRANGERS.mul_f64(0.5 + rand::random::<f64>())).await;
        }
    }

    fn is_watcher(&self) -> bool {
        let members = self.mesh.members();
        let watchers = store_watchers(&members);
        watchers.iter().any(|w| w.id == self.mesh.me().id)
    }

    /// Some addresses by chance that the store lists and nobody here knows; `None` when the store cannot be read.
    async fn strangers(&self, freshness: Freshness) -> Option<Vec<SocketAddr>> {
        let mut listed = self.listed(freshness).await?;
        let members = self.mesh.members();
        let known: HashSet<SocketAddr> = members.iter().map(|m| m.fleet_address).collect();
        listed.retain(|address| !known.contains(address));
        listed.shuffle(&mut rand::rng());
        listed.truncate(ASKED);
        Some(listed)
    }

    async fn listed(&self, freshness: Freshness) -> Option<Vec<SocketAddr>> {
        let kind = self.codec.kinds.members;
        let dialect = &self.codec.store;
        let listed = self
            .store
            .list_kind(Purpose::Members, dialect, kind, freshness);
        let page = listed.await.inspect_err(|error| {
            log::warn!(error = error.to_string().as_str(); "other instances cannot be read from the store");
        });
        let items = page.ok()?.items;
        let address = |object: &StoredObject| object.value.get("fleet")?.as_str()?.parse().ok();
        Some(items.iter().filter_map(address).collect())
    }

    async fn register(&self) -> bool {
        let address = self.settings.me.fleet_address.to_string();
        let value = serde_json::json!({ "fleet": address });
        let kind = self.codec.kinds.members;
        let dialect = &self.codec.store;
        let name = &self.settings.machine;
        let put = self
            .store
            .put_kind(Purpose::Members, dialect, kind, name, &value);
        let put = put.await.inspect_err(|error| {
            log::warn!(error = error.to_string().as_str(); "this instance could not be written to the store; tried again");
        });
        put.is_ok()
    }
}

async fn answered(call: impl Future<Output = Result<(), MeshError>>) -> bool {
    match timeout(ANSWER_LIMIT, call).await {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            log::debug!(error = error.to_string().as_str(); "an instance that may know others does not answer");
            false
        }
        Err(_) => {
            log::debug!("an instance that may know others does not answer in time");
            false
        }
    }
}

/// Compares the list of members with those of others, often while they differ; runs until it is dropped.
///
/// They are settled once another instance was found to know the same members.
pub(crate) async fn keep_members_same(mesh: Mesh, settled: Settled) {
    let mut sync = ViewSync::new(MonoTime::now(), rand::random());
    loop {
        sleep(sync.next_comparison().since(MonoTime::now())).await;
        let outcome = match some_member(&mesh) {
            None => ComparisonOutcome::NoAnswer,
            Some(other) => mesh.compare_members(&other).await.unwrap_or_else(|error| {
                log::debug!(error = error.to_string().as_str(); "an instance did not tell its members");
                mesh.doubt(&other.id);
                ComparisonOutcome::NoAnswer
            }),
        };
        sync.record(MonoTime::now(), outcome, rand::random());
        if sync.is_settled() {
            settled.now("others know the same");
        }
    }
}

/// Each second time one of the few that watch the store, as far as is known here: all instances soon agree on these, so
/// what one has told them the others hear from them next.
fn some_member(mesh: &Mesh) -> Option<Member> {
    let members = mesh.members();
    let me = &mesh.me().id;
    let is_other = |m: &&Member| m.state == MemberState::Alive && m.id != *me;
    let few = store_watchers(&members).into_iter().filter(is_other);
    let few = few.choose(&mut rand::rng()).filter(|_| rand::random());
    let any = || members.iter().filter(is_other).choose(&mut rand::rng());
    few.or_else(any).cloned()
}
