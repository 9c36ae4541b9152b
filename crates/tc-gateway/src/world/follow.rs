//! Following another instance that relays the state of the store.

use std::{sync::Arc, time::Duration};

use futures::{StreamExt, stream::BoxStream};
use tc_fleet::{Mesh, MeshError, RegistryEntry, StoreUpdate};
use tc_membership::{ListSchedule, SourceTiming, StoreSource};
use tc_protocol::{InstanceId, MonoTime};
use tokio::{
    sync::watch::{Receiver, Sender},
    time::{sleep, timeout},
};

use super::{StoreRead, WorldCell, WorldPart};

/// Publishes to other tasks whether this instance watches the store.
pub(crate) struct StoreRole {
    should_watch: Sender<bool>,
    list_schedule: Sender<ListSchedule>,
}

impl StoreRole {
    /// Creates a role that does not watch until decided otherwise.
    pub(crate) fn new(timing: SourceTiming) -> Self {
        Self {
            should_watch: Sender::new(false),
            list_schedule: Sender::new(timing.list_schedule(None)),
        }
    }

    /// Returns a receiver of whether this instance watches the store.
    pub(crate) fn should_watch(&self) -> Receiver<bool> {
        self.should_watch.subscribe()
    }

    /// Returns a receiver of [`StoreSource::list_schedule`].
    pub(crate) fn list_schedule(&self) -> Receiver<ListSchedule> {
        self.list_schedule.subscribe()
    }
}

type UpdateStream = BoxStream<'static, Result<StoreUpdate, MeshError>>;

/// An open stream of store updates from another instance.
struct SourceStream {
    /// The instance that is followed.
    id: InstanceId,
    updates: UpdateStream,
    assembler: UpdateAssembler,
    /// Start of the call; the times of confirmations are relative to it.
    store_read: StoreRead,
}

/// Puts updates together that were sent in several messages.
#[derive(Default)]
pub(super) struct UpdateAssembler {
    /// Entries of a list of which more messages follow.
    pending: Vec<RegistryEntry>,
}

impl UpdateAssembler {
    /// Adds the entries of earlier messages to an update, or returns `None` if more follow.
    pub(super) fn complete(&mut self, mut update: StoreUpdate) -> Option<StoreUpdate> {
        if let Some(list) = &mut update.upstreams {
            self.pending.append(&mut list.changed);
            if !update.more_follows {
                list.changed = std::mem::take(&mut self.pending);
            }
        }
        (!update.more_follows).then_some(update)
    }
}

struct Follower {
    mesh: Mesh,
    cell: Arc<WorldCell>,
    timing: SourceTiming,
    source: StoreSource,
    role: StoreRole,
    stream: Option<SourceStream>,
    is_settled: bool,
}

/// Follows one of the instances that watch the store, and decides whether this instance watches it
/// too. Runs until the future is dropped.
pub(crate) async fn follow_source(
    mesh: Mesh,
    cell: Arc<WorldCell>,
    timing: SourceTiming,
    role: StoreRole,
    mut settled: Receiver<bool>,
) {
    let mut members = mesh.changes();
    let pause_monitor = cell.pause_monitor();
    let mut pauses = pause_monitor.changes();
    let me = mesh.me().id.clone();
    let mut follower = Follower {
        source: StoreSource::new(me, timing, MonoTime::now()),
        mesh,
        cell,
        timing,
        role,
        stream: None,
        is_settled: false,
    };
    follower.update_members();
    loop {
        follower.update_source().await;
        let wait = follower.source.next_check_in(MonoTime::now());
        let event = next_event(&mut follower.stream, wait);
        tokio::select! {
            event = event => follower.handle(event),
            _ = members.changed() => follower.update_members(),
            Ok(_) = settled.wait_for(|settled| *settled), if !follower.is_settled => follower.mark_settled(),
            _ = pauses.changed() => follower.resumed(),
        }
    }
}

/// Result of waiting for a store update.
enum SourceEvent {
    /// No update within the wait.
    Timeout,
    Update(StoreUpdate),
    /// The stream has ended, for the given reason.
    Ended(String),
}

async fn next_event(stream: &mut Option<SourceStream>, wait: Duration) -> SourceEvent {
    let Some(stream) = stream else {
        sleep(wait).await;
        return SourceEvent::Timeout;
    };
    match timeout(wait, stream.updates.next()).await {
        Ok(Some(Ok(update))) => SourceEvent::Update(update),
        Ok(Some(Err(error))) => SourceEvent::Ended(error.to_string()),
        Ok(None) => SourceEvent::Ended("the stream ended".to_owned()),
        Err(_) => SourceEvent::Timeout,
    }
}

impl Follower {
    fn update_members(&mut self) {
        let members = self.mesh.members();
        self.source.update_members(&members);
        self.cell.followers().set_limit(self.source.max_followers());
    }

    fn mark_settled(&mut self) {
        self.is_settled = true;
        self.source.mark_settled();
    }

    /// Drops the stream and all confirmations after a pause, because their age is unknown.
    fn resumed(&mut self) {
        self.stream = None;
        self.source.resumed(MonoTime::now());
        self.cell.reset_confirmations();
    }

    /// Publishes whether this instance watches, and switches to another source if necessary.
    async fn update_source(&mut self) {
        self.update_role();
        let source = self.source.source(MonoTime::now());
        let current = self.stream.as_ref().map(|stream| &stream.id);
        if source.as_ref() != current {
            self.stream = None;
            if let Some(source) = source {
                self.follow(source).await;
                self.update_role();
            }
        }
    }

    /// Publishes whether this instance watches the store and when it lists it.
    fn update_role(&self) {
        let now = MonoTime::now();
        let age = now.since(self.cell.confirmed());
        metrics::gauge!("tc_store_confirmed_age_ms").set(age.as_secs_f64() * 1_000.0);
        let schedule = self.source.list_schedule();
        self.role.list_schedule.send_replace(schedule);
        let should_watch = self.source.should_watch(now);
        let gate = self.cell.store_gate();
        gate.set_role(self.source.probe_role(now));
        let begins = should_watch && !*self.role.should_watch.borrow();
        if begins && self.source.suspects_store(now) {
            gate.suspect();
        }
        let changed = self.role.should_watch.send_if_modified(|known| {
            let changed = *known != should_watch;
            *known = should_watch;
            changed
        });
        if changed {
            log::info!(watches = should_watch, confirmed_age_ms = age.as_millis() as u64; "store watcher role changed");
            metrics::gauge!("tc_store_watcher").set(f64::from(u8::from(should_watch)));
        }
    }

    async fn follow(&mut self, source: InstanceId) {
        let members = self.mesh.members();
        let Some(member) = members.iter().find(|member| member.id == source) else {
            return;
        };
        let store_read = StoreRead::start(&self.cell.pause_monitor());
        let have = self.cell.have();
        let limit = self.timing.heartbeat_interval;
        let mesh = self.mesh.clone();
        let opening = timeout(limit, mesh.follow_world(member, have));
        match self.updating_role(opening).await {
            Ok(Ok(updates)) => {
                log::info!(from = source.as_str(), config = have.config_version, upstreams = have.upstreams_revision.to_string().as_str(); "following another instance for store changes");
                self.stream = Some(SourceStream {
                    id: source,
                    updates,
                    assembler: UpdateAssembler::default(),
                    store_read,
                });
            }
            // The source is alive, so it need not be probed and its connection is kept.
            Ok(Err(MeshError::Full { .. })) => {
                self.source.source_failed(MonoTime::now(), &source);
            }
            Ok(Err(error)) => self.source_failed(&source, &error.to_string()),
            Err(_) => self.source_failed(&source, "no answer in time"),
        }
    }

    /// Waits for a future, and updates the role meanwhile. A source that does not answer must not delay a read of the store.
    async fn updating_role<T>(&mut self, future: impl Future<Output = T>) -> T {
        tokio::pin!(future);
        loop {
            let wait = self.source.next_check_in(MonoTime::now());
            tokio::select! {
                output = &mut future => return output,
                () = sleep(wait) => self.update_role(),
            }
        }
    }

    fn handle(&mut self, event: SourceEvent) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        let from = stream.id.clone();
        let store_read = stream.store_read;
        match event {
            SourceEvent::Timeout => {}
            SourceEvent::Update(update) => match stream.assembler.complete(update) {
                Some(update) => self.apply_update(&from, &store_read, &update),
                None => self.source.record_partial_update(MonoTime::now(), &from),
            },
            SourceEvent::Ended(problem) => self.source_failed(&from, &problem),
        }
    }

    fn apply_update(&mut self, from: &InstanceId, store_read: &StoreRead, update: &StoreUpdate) {
        let now = MonoTime::now();
        let confirmed = update.confirmed_ms.map_or_else(MonoTime::default, |ms| {
            store_read.started_at.offset_by_millis(ms).min(now)
        });
        self.source.record_confirmation(now, from, confirmed);
        if !self.cell.apply_update(update) {
            log::info!(from = from.as_str(); "relayed store changes do not apply to the local state; following the source again");
            self.stream = None;
            return;
        }
        self.cell.confirm_all(store_read, confirmed);
        if now.since(confirmed) < self.timing.stale_after {
            self.cell
                .record_full_read(WorldPart::Config, store_read.pauses);
            self.cell
                .record_full_read(WorldPart::Upstreams, store_read.pauses);
            self.cell
                .record_full_read(WorldPart::Evacuations, store_read.pauses);
        }
    }

    fn source_failed(&mut self, from: &InstanceId, problem: &str) {
        log::info!(from = from.as_str(), problem = problem; "following an instance for store changes failed");
        self.stream = None;
        self.source.source_failed(MonoTime::now(), from);
        self.mesh.report_failed_call(from);
    }
}
