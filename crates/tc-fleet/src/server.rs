//! gRPC service of the fleet, called by other instances.

use std::{collections::HashMap, sync::Arc};

use futures::future::BoxFuture;
use prost::Message as _;
use ractor::ActorRef;
use tc_protocol::{InstanceId, MonoTime, RequestId, UpstreamId};
use tokio::sync::{mpsc, oneshot};
use tokio_stream::{StreamExt as _, wrappers::ReceiverStream};
use tonic::{Request, Response, Status, Streaming};

use crate::{
    FleetKeys, convert,
    generated::{
        ConfigDelta, ConfigPull, EntryBatch, ExplainAnswer, ExplainQuestion, GrantedPermit,
        HomeBatch, Introduction, LeaveAnswer, LeaveOrder, MemberList, OrderAnswer, OrderPass,
        PermitAsk, PermitReply, QueuedAsk, RedirectTo, RefusedAsk, ReportAnswer, ReportQuestion,
        ShareGrants, ShareReport, SuspectAnswer, SuspectReport, fleet_server::Fleet,
        permit_reply::Verdict,
    },
    homes::{HomeAnswer, HomeRequest, HomeVerdict, HomesMsg, ReplyTo},
    key::TOKEN_HEADER,
    node::{NodeMsg, NodeParts},
    orders::OrderRelay,
    peers::unused_release,
    summary::SummaryTable,
};

/// Maximum number of replies in a batch.
const MAX_BATCH_REPLIES: usize = 64;
/// Maximum number of batches queued for a slow entry. Beyond it, replies stay in the unbounded channel.
const MAX_QUEUED_BATCHES: usize = 16;

/// Returns the JSON of an explanation stored here, or of this instance's report.
pub(crate) type JsonSource<Q> = Box<dyn Fn(Q) -> BoxFuture<'static, Option<String>> + Send + Sync>;

/// Implementation of the gRPC service, cheap to clone.
#[derive(Clone)]
pub(crate) struct FleetService(pub(crate) Arc<ServiceParts>);

/// State and functions that the service uses.
pub(crate) struct ServiceParts {
    pub(crate) parts: NodeParts,
    pub(crate) node: ActorRef<NodeMsg>,
    pub(crate) orders: Arc<OrderRelay>,
    pub(crate) explain: JsonSource<RequestId>,
    pub(crate) report: JsonSource<()>,
}

/// Returns an interceptor that rejects calls without a valid fleet token.
pub(crate) fn check_token(
    keys: FleetKeys,
) -> impl FnMut(Request<()>) -> Result<Request<()>, Status> + Clone {
    move |req| {
        let token = req
            .metadata()
            .get(TOKEN_HEADER)
            .map(|token| token.as_bytes().to_vec());
        if token.is_some_and(|token| keys.verify_token(&token)) {
            return Ok(req);
        }
        metrics::counter!("tc_fleet_calls_refused_total").increment(1);
        Err(Status::unauthenticated(
            "the fleet token is missing or wrong",
        ))
    }
}

#[tonic::async_trait]
impl Fleet for FleetService {
    type PermitsStream =
        std::pin::Pin<Box<dyn futures::Stream<Item = Result<HomeBatch, Status>> + Send + 'static>>;

    async fn permits(
        &self,
        req: Request<Streaming<EntryBatch>>,
    ) -> Result<Response<Self::PermitsStream>, Status> {
        let (answers, to_wire) = mpsc::unbounded_channel();
        let homes = self.0.parts.homes.clone();
        tokio::spawn(read_batches(req.into_inner(), homes, answers));
        let batches =
            ReceiverStream::new(batch_replies(to_wire, Arc::clone(&self.0.parts.summaries)))
                .map(Ok);
        Ok(Response::new(Box::pin(batches)))
    }

    async fn pull_config(&self, req: Request<ConfigPull>) -> Result<Response<ConfigDelta>, Status> {
        let have_revision = req.into_inner().have_revision;
        let delta = call_node(&self.0.node, |reply| NodeMsg::Delta {
            have_revision,
            reply,
        })
        .await?;
        Ok(Response::new(delta))
    }

    async fn introduce(&self, req: Request<Introduction>) -> Result<Response<MemberList>, Status> {
        let newcomer = req
            .into_inner()
            .me
            .as_ref()
            .and_then(convert::record_from_wire);
        let newcomer =
            newcomer.ok_or_else(|| Status::invalid_argument("the introduction has no member"))?;
        let _ = self.0.node.cast(NodeMsg::MergeRecords(vec![newcomer]));
        let records = call_node(&self.0.node, NodeMsg::Records).await?;
        let members = records.iter().map(convert::record_to_wire).collect();
        Ok(Response::new(MemberList {
            members,
            ..MemberList::default()
        }))
    }

    async fn shares(&self, req: Request<ShareReport>) -> Result<Response<ShareGrants>, Status> {
        let view = self.0.parts.view.load_full();
        let grants = self
            .0
            .parts
            .limits
            .handle_report(MonoTime::now(), &view, &req.into_inner());
        Ok(Response::new(grants))
    }

    async fn suspects(
        &self,
        req: Request<SuspectReport>,
    ) -> Result<Response<SuspectAnswer>, Status> {
        let answer = self
            .0
            .parts
            .suspects
            .handle_report(MonoTime::now(), &req.into_inner());
        Ok(Response::new(answer))
    }

    async fn explain(
        &self,
        req: Request<ExplainQuestion>,
    ) -> Result<Response<ExplainAnswer>, Status> {
        let request = RequestId::from(req.into_inner().request.as_str());
        let json = (self.0.explain)(request).await.unwrap_or_default();
        Ok(Response::new(ExplainAnswer { json }))
    }

    async fn pass_order(&self, req: Request<OrderPass>) -> Result<Response<OrderAnswer>, Status> {
        Ok(Response::new(self.0.orders.relay(req.into_inner()).await))
    }

    async fn leave(&self, req: Request<LeaveOrder>) -> Result<Response<LeaveAnswer>, Status> {
        let message = if req.into_inner().leave {
            NodeMsg::Leave
        } else {
            NodeMsg::CancelLeave
        };
        let _ = self.0.node.cast(message);
        Ok(Response::new(LeaveAnswer {}))
    }

    async fn report(
        &self,
        _req: Request<ReportQuestion>,
    ) -> Result<Response<ReportAnswer>, Status> {
        let json = (self.0.report)(()).await.unwrap_or_default();
        Ok(Response::new(ReportAnswer { json }))
    }
}

/// Sends a request to the node actor and waits for the reply. Fails only while this instance is stopping.
pub(crate) async fn call_node<T>(
    node: &ActorRef<NodeMsg>,
    message: impl FnOnce(oneshot::Sender<T>) -> NodeMsg,
) -> Result<T, Status> {
    let (reply, answer) = oneshot::channel();
    let _ = node.cast(message(reply));
    answer
        .await
        .map_err(|_| Status::unavailable("this instance is stopping"))
}

struct RequestReply {
    number: u64,
    upstream: UpstreamId,
    answer: Option<HomeAnswer>,
}

/// Forwards an entry's requests and releases to the homes until its stream ends.
async fn read_batches(
    mut batches: Streaming<EntryBatch>,
    homes: ActorRef<HomesMsg>,
    answers: mpsc::UnboundedSender<RequestReply>,
) {
    while let Ok(Some(batch)) = batches.message().await {
        let entry = InstanceId::from(batch.from.as_str());
        for release in &batch.releases {
            let upstream = release.upstream.as_str().into();
            let release = convert::release_from_wire(release);
            let _ = homes.cast(HomesMsg::Release { upstream, release });
        }
        for held in &batch.held {
            let upstream = held.upstream.as_str().into();
            let held = convert::held_from_wire(&entry, held);
            let _ = homes.cast(HomesMsg::AdoptPermit { upstream, held });
        }
        for number in batch.cancelled_asks {
            let entry = entry.clone();
            let _ = homes.cast(HomesMsg::Cancel {
                upstream: None,
                entry,
                number,
            });
        }
        for request in &batch.asks {
            forward_request(&homes, &entry, request, &answers);
        }
    }
}

fn forward_request(
    homes: &ActorRef<HomesMsg>,
    entry: &InstanceId,
    request: &PermitAsk,
    answers: &mpsc::UnboundedSender<RequestReply>,
) {
    let upstream = UpstreamId::from(request.upstream.as_str());
    let number = request.ask;
    let waiting = RequestReply {
        number,
        upstream: upstream.clone(),
        answer: None,
    };
    let to_entry = answers.clone();
    let on_queued = Box::new(move || {
        let _ = to_entry.send(waiting);
    });
    let reply = reply_to(homes.clone(), upstream.clone(), number, answers.clone());
    let request = home_request_from_wire(entry, request);
    let _ = homes.cast(HomesMsg::RequestPermit {
        upstream,
        request,
        on_queued,
        reply,
    });
}

/// Returns a function that sends the answer on the stream. If the stream has ended, a granted permit is released.
fn reply_to(
    homes: ActorRef<HomesMsg>,
    upstream: UpstreamId,
    number: u64,
    answers: mpsc::UnboundedSender<RequestReply>,
) -> ReplyTo {
    Box::new(move |answer| {
        let request_reply = RequestReply {
            number,
            upstream,
            answer: Some(answer),
        };
        let Err(mpsc::error::SendError(lost)) = answers.send(request_reply) else {
            return;
        };
        if let Some(HomeVerdict::Granted { permit, .. }) = lost.answer.map(|a| a.verdict) {
            let release = unused_release(permit);
            let _ = homes.cast(HomesMsg::Release {
                upstream: lost.upstream,
                release,
            });
        }
    })
}

/// Collects the replies that are ready into batches. Under load one write carries many of them, and none is delayed.
fn batch_replies(
    mut answers: mpsc::UnboundedReceiver<RequestReply>,
    table: Arc<SummaryTable>,
) -> mpsc::Receiver<HomeBatch> {
    let (to_wire, batches) = mpsc::channel(MAX_QUEUED_BATCHES);
    tokio::spawn(async move {
        let mut ready = Vec::with_capacity(MAX_BATCH_REPLIES);
        while answers.recv_many(&mut ready, MAX_BATCH_REPLIES).await > 0 {
            let batch = build_batch(ready.drain(..), &table);
            let bytes = batch.encoded_len() as u64;
            metrics::counter!("tc_fleet_stream_bytes_total", "role" => "home").increment(bytes);
            if to_wire.send(batch).await.is_err() {
                return;
            }
        }
    });
    batches
}

fn build_batch(answers: impl Iterator<Item = RequestReply>, table: &SummaryTable) -> HomeBatch {
    let mut batch = HomeBatch::default();
    let mut summaries = HashMap::new();
    for request_reply in answers {
        let verdict = match &request_reply.answer {
            Some(answer) => {
                summaries.insert(
                    request_reply.upstream.clone(),
                    (answer.summary, answer.leaving),
                );
                verdict_to_wire(&answer.verdict)
            }
            None => Verdict::Queued(QueuedAsk {}),
        };
        batch.replies.push(PermitReply {
            ask: request_reply.number,
            verdict: Some(verdict),
        });
    }
    // A verdict in the same batch makes the preceding "queued" redundant.
    drop_superseded(&mut batch.replies);
    batch.summaries = summaries
        .iter()
        .map(|(id, (summary, leaving))| {
            let incarnation = table
                .cell(id)
                .map(|cell| cell.incarnation())
                .unwrap_or_default();
            convert::summary_to_wire(id, summary, *leaving, incarnation)
        })
        .collect();
    batch
}

fn drop_superseded(replies: &mut Vec<PermitReply>) {
    let answered: std::collections::HashSet<u64> = replies
        .iter()
        .filter(|reply| !matches!(reply.verdict, Some(Verdict::Queued(_))))
        .map(|reply| reply.ask)
        .collect();
    replies.retain(|reply| {
        !matches!(reply.verdict, Some(Verdict::Queued(_))) || !answered.contains(&reply.ask)
    });
}

fn home_request_from_wire(entry: &InstanceId, request: &PermitAsk) -> HomeRequest {
    HomeRequest {
        entry: entry.clone(),
        number: request.ask,
        workspace: request.workspace.as_str().into(),
        weight: request.weight,
        priority: request.priority.min(7) as u8,
        slack: convert::from_millis(request.slack_ms),
        run_for: convert::from_millis(request.run_for_ms),
        estimate: convert::cost_from_wire(request.estimate.as_ref()),
        fingerprint: tc_protocol::Fingerprint(request.fingerprint),
        may_redirect: !request.no_redirect,
        suspect: request.suspect,
    }
}

fn verdict_to_wire(verdict: &HomeVerdict) -> Verdict {
    match verdict {
        HomeVerdict::Granted {
            permit,
            expires_in,
            waited,
        } => Verdict::Granted(GrantedPermit {
            permit: permit.0,
            expires_in_ms: convert::millis(*expires_in),
            waited_us: waited.as_micros() as u64,
        }),
        HomeVerdict::Redirect { wait, better } => Verdict::Redirect(RedirectTo {
            upstream: better
                .as_ref()
                .map(UpstreamId::to_string)
                .unwrap_or_default(),
            wait_ms: convert::millis(*wait),
        }),
        HomeVerdict::Refused {
            reason,
            retry_after,
        } => Verdict::Refused(RefusedAsk {
            reason: convert::reason_to_wire(*reason),
            retry_after_ms: convert::millis(*retry_after),
        }),
    }
}
