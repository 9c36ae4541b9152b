//! How an instance that has just started and the others find each other.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use futures::future::join_all;
use rand::seq::{IteratorRandom, SliceRandom};
use tc_fleet::Mesh;
use tc_membership::{Compared, ViewSync, store_watchers};
use tc_platform::{Freshness, Purpose, Store};
use tc_protocol::{Member, MemberState, MonoTime};
use tokio::time::sleep;

use crate::{edges::Edges, settings::GatewaySettings};

/// Shortest and longest wait of an instance that knows no other before it looks again: those that start together find
/// each other within moments, and one that is alone for good costs the store little.
const LOOK_FOR_OTHERS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));
/// How often those that watch the store look whether it lists instances that nobody here knows.
const LOOK_FOR_STRANGERS: Duration = Duration::from_secs(3);
/// Listed instances that are asked in one round: most live, and one that answers tells of all that it knows.
const ASKED: usize = 5;

/// Tells the store of this instance, and finds others: by seeds, or else by what the store lists.
///
/// Seeds may be stale or down; the list may be out of reach. Either is enough. Whoever is found tells of all others that
/// it knows; [`keep_members_same`] and [`look_for_strangers`] get the rest.
pub(crate) async fn join(settings: GatewaySettings, edges: Edges, store: Store, mesh: Mesh) {
    let mut registered = false;
    let (mut wait, longest) = LOOK_FOR_OTHERS;
    loop {
        introduce_to_seeds(&mesh, &settings).await;
        if !registered {
            registered = register(&settings, edges, &store).await;
        }
        if mesh.other_addresses().is_empty() {
            let strangers = strangers(edges, &store, &mesh, Freshness::Current).await;
            introduce_to_first(&mesh, strangers).await;
        }
        if registered && !mesh.other_addresses().is_empty() {
            return;
        }
        sleep(wait.mul_f64(0.5 + rand::random::<f64>())).await;
        wait = (wait * 2).min(longest);
    }
}

/// All seeds, not the first that answers: two that started at the same time know nothing of each other, and whoever was
/// introduced by one of them alone would be on an island.
async fn introduce_to_seeds(mesh: &Mesh, settings: &GatewaySettings) {
    let seeds = settings.seeds.iter();
    let others = seeds.filter(|seed| **seed != settings.me.fleet_address);
    let introductions = others.map(|seed| introduce(mesh, *seed));
    join_all(introductions).await;
}

async fn introduce_to_first(mesh: &Mesh, addresses: Vec<SocketAddr>) {
    for address in addresses {
        if introduce(mesh, address).await {
            return;
        }
    }
}

/// Whether the instance at the address answered.
async fn introduce(mesh: &Mesh, address: SocketAddr) -> bool {
    let introduced = mesh.introduce_at(address).await;
    if let Err(error) = &introduced {
        log::debug!(error = error.to_string().as_str(); "an instance that may know others does not answer");
    }
    introduced.is_ok()
}

/// Compares the list of members with those of others by chance, often while they differ; runs until it is dropped.
pub(crate) async fn keep_members_same(mesh: Mesh) {
    let mut sync = ViewSync::new(MonoTime::now(), rand::random());
    loop {
        sleep(sync.next().since(MonoTime::now())).await;
        let outcome = match some_member(&mesh) {
            None => Compared::NoAnswer,
            Some(other) => mesh.compare_members(&other).await.unwrap_or_else(|error| {
                log::debug!(error = error.to_string().as_str(); "an instance did not tell its members");
                mesh.doubt(&other.id);
                Compared::NoAnswer
            }),
        };
        sync.compared(MonoTime::now(), outcome, rand::random());
    }
}

fn some_member(mesh: &Mesh) -> Option<Member> {
    let members = mesh.members();
    let me = &mesh.me().id;
    let alive = members
        .iter()
        .filter(|member| member.state == MemberState::Alive && member.id != *me);
    alive.choose(&mut rand::rng()).cloned()
}

/// Looks now and then whether the store lists instances that nobody here knows; runs until it is dropped.
///
/// Instances that start together may end in groups that know nothing of each other: each group then has homes of its own,
/// seen as calls that are half full and upstreams that are busy with another's. Comparing lists within a group never
/// shows it. Each group has some that watch the store, and one introduction joins two groups.
pub(crate) async fn look_for_strangers(edges: Edges, store: Store, mesh: Mesh) {
    loop {
        sleep(LOOK_FOR_STRANGERS.mul_f64(0.5 + rand::random::<f64>())).await;
        let members = mesh.members();
        let watchers = store_watchers(&members);
        if !watchers.iter().any(|watcher| watcher.id == mesh.me().id) {
            continue;
        }
        let strangers = strangers(edges, &store, &mesh, Freshness::SecondsOld).await;
        introduce_to_first(&mesh, strangers).await;
    }
}

/// Some addresses by chance that the store lists and nobody here knows.
async fn strangers(
    edges: Edges,
    store: &Store,
    mesh: &Mesh,
    freshness: Freshness,
) -> Vec<SocketAddr> {
    let mut listed = listed(edges, store, freshness).await;
    let members = mesh.members();
    let known: HashSet<SocketAddr> = members.iter().map(|m| m.fleet_address).collect();
    listed.retain(|address| !known.contains(address));
    listed.shuffle(&mut rand::rng());
    listed.truncate(ASKED);
    listed
}

async fn register(settings: &GatewaySettings, edges: Edges, store: &Store) -> bool {
    let value = serde_json::json!({ "fleet": settings.me.fleet_address.to_string() });
    let kind = edges.kinds.members;
    let put = store
        .put_kind(
            Purpose::Members,
            &edges.store,
            kind,
            &settings.machine,
            &value,
        )
        .await;
    if let Err(error) = &put {
        log::warn!(error = error.to_string().as_str(); "this instance could not be written to the store; tried again");
    }
    put.is_ok()
}

async fn listed(edges: Edges, store: &Store, freshness: Freshness) -> Vec<SocketAddr> {
    let kind = edges.kinds.members;
    let listed = store.list_kind(Purpose::Members, &edges.store, kind, freshness);
    match listed.await {
        Ok(page) => page
            .items
            .iter()
            .filter_map(|object| object.value.get("fleet")?.as_str()?.parse().ok())
            .collect(),
        Err(error) => {
            log::warn!(error = error.to_string().as_str(); "other instances cannot be read from the store");
            Vec::new()
        }
    }
}
