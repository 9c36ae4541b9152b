//! The permit stream to one home. It batches the messages of traffic threads and dispatches the replies.

use std::{collections::HashMap, sync::Arc, time::Duration};

use prost::Message as _;
use tc_policy::HeldPermit;
use tc_protocol::{
    Cost, Incarnation, Member, MonoTime, Outcome, PermitId, Release, RunState, UpstreamId,
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

use super::pool::Client;
use crate::{
    convert,
    generated::{EntryBatch, HomeBatch, PermitAsk, PermitReply, permit_reply::Verdict},
    homes::{HomeAnswer, HomeVerdict},
    summary::SummaryTable,
};

/// Maximum number of messages in a batch.
const MAX_BATCH_MESSAGES: usize = 64;
/// Maximum number of batches queued for the connection. Beyond it, the stream's task waits.
const MAX_QUEUED_BATCHES: usize = 16;
/// Timeout for opening a stream, during which requests wait.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of abandoned requests that are remembered in order to release a late grant.
const MAX_ABANDONED: usize = 4_096;
/// Delay before a broken stream is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(50);
/// Timeout for the first reply to a request; a home sends a verdict or "queued" at once. The kernel of a paused home still
/// accepts bytes, so only the missing reply reveals the pause. Without this timeout, a request would wait for its whole
/// slack.
const FIRST_REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which pending requests are checked for the timeout.
const REPLY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Called with the home's answer, or `None` if the home is unreachable.
pub(crate) type OnAnswer = Box<dyn FnOnce(Option<HomeAnswer>) + Send>;

/// Message from an entry to a home.
pub(crate) enum ToHome {
    Request {
        request: PermitAsk,
        on_answer: OnAnswer,
    },
    Cancel(u64),
    Release {
        upstream: UpstreamId,
        release: Release,
    },
    Held {
        upstream: UpstreamId,
        held: HeldPermit,
    },
    /// Fails all pending requests, because the home stopped answering probes.
    FailPending,
}

impl ToHome {
    /// Fails a request because its home is unreachable. Other messages are dropped, since nothing waits for them.
    pub(crate) fn fail(self) {
        if let Self::Request { on_answer, .. } = self {
            on_answer(None);
        }
    }
}

/// Arguments of a stream task.
pub(crate) struct StreamArgs {
    pub(crate) me: Member,
    pub(crate) client: Client,
    pub(crate) summaries: Arc<SummaryTable>,
}

struct Pending {
    upstream: UpstreamId,
    on_answer: OnAnswer,
    sent_at: MonoTime,
    queued: bool,
}

/// Runs the permit stream until the peer is dropped from the pool.
pub(crate) async fn run(args: StreamArgs, mut from_entry: mpsc::UnboundedReceiver<ToHome>) {
    loop {
        // The stream is opened only for a first message, so that peers without traffic cost nothing.
        let Some(first) = from_entry.recv().await else {
            return;
        };
        let mut session = Session::new(&args);
        let may_reopen = session.run(first, &mut from_entry).await;
        session.fail_all();
        if !may_reopen {
            return;
        }
        // Messages that arrived while the stream was broken would otherwise wait for repeated failed attempts to reopen
        // it.
        while let Ok(message) = from_entry.try_recv() {
            message.fail();
        }
        tokio::time::sleep(REOPEN_DELAY).await;
    }
}

struct Session<'a> {
    args: &'a StreamArgs,
    pending: HashMap<u64, Pending>,
    // A grant may cross a cancellation. Unless it is released, the home counts it as in flight until the permit
    // expires, and the upstream stays below its concurrency.
    abandoned: HashMap<u64, UpstreamId>,
    unused: Vec<(UpstreamId, PermitId)>,
    cancelled: Vec<u64>,
}

impl<'a> Session<'a> {
    fn new(args: &'a StreamArgs) -> Self {
        Self {
            args,
            pending: HashMap::new(),
            abandoned: HashMap::new(),
            unused: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    /// Opens the stream and runs it until it ends. Returns whether it may be reopened.
    async fn run(
        &mut self,
        first: ToHome,
        from_entry: &mut mpsc::UnboundedReceiver<ToHome>,
    ) -> bool {
        let (to_wire, batches) = mpsc::channel(MAX_QUEUED_BATCHES);
        let mut batch = self.empty_batch();
        self.add_to_batch(&mut batch, first);
        if send(&to_wire, batch).await.is_err() {
            return true;
        }
        let mut client = self.args.client.clone();
        let opened =
            tokio::time::timeout(OPEN_TIMEOUT, client.permits(ReceiverStream::new(batches)));
        let Ok(Ok(answers)) = opened.await else {
            return true;
        };
        self.exchange(from_entry, to_wire, answers.into_inner())
            .await
    }

    async fn exchange(
        &mut self,
        from_entry: &mut mpsc::UnboundedReceiver<ToHome>,
        to_wire: mpsc::Sender<EntryBatch>,
        mut answers: Streaming<HomeBatch>,
    ) -> bool {
        let mut reply_check = tokio::time::interval(REPLY_CHECK_INTERVAL);
        reply_check.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut messages = Vec::with_capacity(MAX_BATCH_MESSAGES);
        loop {
            tokio::select! {
                answer = answers.message() => match answer {
                    Ok(Some(answer)) => {
                        self.handle_batch(answer);
                        if !self.flush(&to_wire).await {
                            return true;
                        }
                    }
                    _ => return true,
                },
                count = from_entry.recv_many(&mut messages, MAX_BATCH_MESSAGES) => {
                    if count == 0 {
                        return false;
                    }
                    let mut batch = self.empty_batch();
                    for message in messages.drain(..) {
                        self.add_to_batch(&mut batch, message);
                    }
                    if send(&to_wire, batch).await.is_err() {
                        return true;
                    }
                }
                _ = reply_check.tick(), if !self.pending.is_empty() => {
                    self.fail_unanswered();
                    if !self.flush(&to_wire).await {
                        return true;
                    }
                }
            }
        }
    }

    /// Releases grants of abandoned requests and cancels requests that timed out. Returns `false` if the stream is broken.
    async fn flush(&mut self, to_wire: &mpsc::Sender<EntryBatch>) -> bool {
        if self.unused.is_empty() && self.cancelled.is_empty() {
            return true;
        }
        let mut batch = self.empty_batch();
        batch.cancelled_asks = std::mem::take(&mut self.cancelled);
        for (upstream, permit) in self.unused.drain(..) {
            batch
                .releases
                .push(convert::release_to_wire(&upstream, &unused_release(permit)));
        }
        send(to_wire, batch).await.is_ok()
    }

    fn empty_batch(&self) -> EntryBatch {
        EntryBatch {
            from: self.args.me.id.to_string(),
            incarnation: self.args.me.incarnation.0,
            ..EntryBatch::default()
        }
    }

    fn add_to_batch(&mut self, batch: &mut EntryBatch, message: ToHome) {
        match message {
            ToHome::Request { request, on_answer } => {
                let sent_at = MonoTime::now();
                let upstream = request.upstream.as_str().into();
                let pending = Pending {
                    upstream,
                    on_answer,
                    sent_at,
                    queued: false,
                };
                self.pending.insert(request.ask, pending);
                batch.asks.push(request);
            }
            ToHome::Cancel(number) => {
                self.abandon(number);
                batch.cancelled_asks.push(number);
            }
            ToHome::Release { upstream, release } => {
                batch
                    .releases
                    .push(convert::release_to_wire(&upstream, &release));
            }
            ToHome::Held { upstream, held } => {
                batch.held.push(convert::held_to_wire(&upstream, &held));
            }
            ToHome::FailPending => self.fail_all(),
        }
    }

    fn handle_batch(&mut self, batch: HomeBatch) {
        let now = MonoTime::now();
        for summary in &batch.summaries {
            let load = convert::summary_from_wire(summary);
            let summaries = &self.args.summaries;
            summaries.store(now, &summary.upstream, &load, summary.leaving);
            summaries.record_incarnation(&summary.upstream, Incarnation(summary.incarnation));
        }
        for reply in batch.replies {
            self.handle_reply(reply);
        }
    }

    fn handle_reply(&mut self, reply: PermitReply) {
        if matches!(reply.verdict, Some(Verdict::Queued(_))) {
            if let Some(pending) = self.pending.get_mut(&reply.ask) {
                pending.queued = true;
            }
            return;
        }
        let Some(pending) = self.pending.remove(&reply.ask) else {
            self.handle_late_reply(&reply);
            return;
        };
        (pending.on_answer)(
            reply
                .verdict
                .and_then(verdict_from_wire)
                .map(answer_without_summary),
        );
    }

    fn fail_unanswered(&mut self) {
        let now = MonoTime::now();
        let unanswered: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| {
                !pending.queued && now.since(pending.sent_at) > FIRST_REPLY_TIMEOUT
            })
            .map(|(number, _)| *number)
            .collect();
        for number in unanswered {
            if let Some(on_answer) = self.abandon(number) {
                self.cancelled.push(number);
                on_answer(None);
            }
        }
    }

    fn abandon(&mut self, number: u64) -> Option<OnAnswer> {
        let pending = self.pending.remove(&number)?;
        if self.abandoned.len() < MAX_ABANDONED {
            self.abandoned.insert(number, pending.upstream);
        }
        Some(pending.on_answer)
    }

    fn handle_late_reply(&mut self, reply: &PermitReply) {
        let Some(upstream) = self.abandoned.remove(&reply.ask) else {
            return;
        };
        if let Some(Verdict::Granted(granted)) = &reply.verdict {
            self.unused.push((upstream, PermitId(granted.permit)));
        }
    }

    fn fail_all(&mut self) {
        for (_, pending) in self.pending.drain() {
            (pending.on_answer)(None);
        }
    }
}

/// Sends a batch and counts its bytes.
async fn send(
    to_wire: &mpsc::Sender<EntryBatch>,
    batch: EntryBatch,
) -> Result<(), mpsc::error::SendError<EntryBatch>> {
    let bytes = batch.encoded_len() as u64;
    metrics::counter!("tc_fleet_stream_bytes_total", "role" => "entry").increment(bytes);
    to_wire.send(batch).await
}

/// Creates the release of a permit that was never used.
pub(crate) fn unused_release(permit: PermitId) -> Release {
    Release {
        permit,
        outcome: Outcome::Unused,
        run_state: RunState::NotRun,
        cost: Cost::default(),
        took: Duration::ZERO,
        first_byte: None,
    }
}

/// Creates an answer with a default summary. Summaries are sent separately from the replies of a batch.
fn answer_without_summary(verdict: HomeVerdict) -> HomeAnswer {
    HomeAnswer {
        verdict,
        summary: tc_protocol::UpstreamSummary::default(),
        leaving: false,
    }
}

fn verdict_from_wire(verdict: Verdict) -> Option<HomeVerdict> {
    match verdict {
        Verdict::Granted(granted) => Some(HomeVerdict::Granted {
            permit: PermitId(granted.permit),
            expires_in: convert::from_millis(granted.expires_in_ms),
            waited: Duration::from_micros(granted.waited_us),
        }),
        Verdict::Redirect(redirect) => Some(HomeVerdict::Redirect {
            wait: convert::from_millis(redirect.wait_ms),
            better: (!redirect.upstream.is_empty()).then(|| redirect.upstream.as_str().into()),
        }),
        Verdict::Refused(refused) => Some(HomeVerdict::Refused {
            reason: convert::reason_from_wire(refused.reason),
            retry_after: convert::from_millis(refused.retry_after_ms),
        }),
        Verdict::Queued(_) => None,
    }
}
