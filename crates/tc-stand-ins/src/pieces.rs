//! Upstreams that make pieces in batches and keep their results, in any spelling.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};

use tokio::{
    sync::Semaphore,
    time::{Instant, sleep},
};

use crate::{
    scripted::{Received, Script, ScriptedServer, whole_answer},
    sync::lock,
};

/// A piece as it is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AskedPiece {
    /// The request it belongs to.
    pub request: String,
    /// The stage's place in its route.
    pub stage: u64,
    /// Its number within the stage.
    pub piece: u64,
    /// The request's own input, for stages that come first.
    pub key: Option<String>,
    /// Results of earlier stages.
    pub inputs: Vec<String>,
}

/// A call to a maker, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MakerCall {
    /// Makes pieces.
    Make(Vec<AskedPiece>),
    /// Gives up results.
    Free(Vec<String>),
}

/// Why a piece was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotMade {
    /// One of its inputs is no longer kept.
    InputGone,
    /// No room is left for its result.
    NoRoom,
}

/// Wire format of the calls and answers of makers.
#[derive(Clone, Copy)]
pub struct MakerSpelling {
    /// Decodes a call; `None` when it is none.
    pub read_call: fn(&Received) -> Option<MakerCall>,
    /// Encodes what became of the pieces, in their order.
    pub made: fn(&[Result<String, NotMade>]) -> String,
    /// Headers of an answer to this request.
    pub answer_headers: fn(&Received) -> String,
    /// Headers by which a maker says that it did not run a call.
    pub not_run_headers: &'static str,
}

/// Behavior of a maker.
#[derive(Clone, Copy, Debug)]
pub struct MakerConfig {
    /// Time of a call, whatever is in it.
    pub call_time: Duration,
    /// Time of each piece beyond that.
    pub piece_time: Duration,
    /// Most pieces in a call.
    pub max_pieces: usize,
    /// Results that it keeps at most.
    pub room: usize,
    /// Time for which it keeps a result that is not freed.
    pub result_life: Duration,
}

impl Default for MakerConfig {
    fn default() -> Self {
        Self {
            call_time: Duration::from_millis(30),
            piece_time: Duration::ZERO,
            max_pieces: 8,
            room: 64,
            result_life: Duration::from_secs(4),
        }
    }
}

struct Kept {
    request: String,
    stage: u64,
    maker: SocketAddr,
    until: Instant,
}

/// All results that the makers of one test keep, and what was wrong about the calls that named them.
#[derive(Default)]
pub struct ResultShelf {
    kept: Mutex<HashMap<String, Kept>>,
    wrong: Mutex<Vec<String>>,
    /// For each stage, the stages whose results it reads. Without it, a stage may read those of all earlier ones.
    inputs: Option<Vec<Vec<u64>>>,
}

impl ResultShelf {
    /// Creates a shelf for a route whose stages read the results of the given stages and of no others.
    #[must_use]
    pub fn with_inputs(inputs: Vec<Vec<u64>>) -> Self {
        Self {
            inputs: Some(inputs),
            ..Self::default()
        }
    }

    /// Violations by callers that mix up requests; empty if there are none.
    #[must_use]
    pub fn wrong(&self) -> Vec<String> {
        lock(&self.wrong).clone()
    }

    /// Results that are kept now.
    #[must_use]
    pub fn len(&self) -> usize {
        let now = Instant::now();
        let kept = lock(&self.kept);
        kept.values().filter(|kept| kept.until > now).count()
    }

    /// Whether no result is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether every result is kept. One of another request is noted as wrong.
    pub fn all_kept(&self, request: &str, results: &[String]) -> bool {
        let now = Instant::now();
        let kept = lock(&self.kept);
        for result in results {
            match kept.get(result) {
                Some(found) if found.until > now => {
                    if found.request != request {
                        self.note(format!("{request} was given {result} of {}", found.request));
                    }
                }
                _ => return false,
            }
        }
        true
    }

    /// Results that lie at a maker are gone with it.
    pub fn lose(&self, maker: SocketAddr) {
        lock(&self.kept).retain(|_, kept| kept.maker != maker);
    }

    fn note(&self, wrong: String) {
        lock(&self.wrong).push(wrong);
    }

    fn keep(
        &self,
        maker: SocketAddr,
        config: &MakerConfig,
        asked: &AskedPiece,
    ) -> Result<String, NotMade> {
        let now = Instant::now();
        let mut kept = lock(&self.kept);
        kept.retain(|_, kept| kept.until > now);
        if kept.values().filter(|kept| kept.maker == maker).count() >= config.room {
            return Err(NotMade::NoRoom);
        }
        let AskedPiece {
            request,
            stage,
            piece,
            ..
        } = asked;
        let result = format!("{maker}/{request}-{stage}-{piece}");
        kept.insert(
            result.clone(),
            Kept {
                request: request.clone(),
                stage: *stage,
                maker,
                until: now + config.result_life,
            },
        );
        Ok(result)
    }

    fn free(&self, results: &[String]) {
        let mut kept = lock(&self.kept);
        for result in results {
            kept.remove(result);
        }
    }

    /// Results must be of stages that the stage reads, and each be there once.
    fn check_inputs(&self, asked: &AskedPiece) {
        let kept = lock(&self.kept);
        for (i, input) in asked.inputs.iter().enumerate() {
            let is_foreign = kept
                .get(input)
                .is_some_and(|kept| !self.may_read(asked.stage, kept.stage));
            if is_foreign || asked.inputs[..i].contains(input) {
                self.note(format!("{} was wrongly given {input}", asked.request));
            }
        }
        if asked.key.is_some() != asked.inputs.is_empty() {
            self.note(format!("{} has both inputs or neither", asked.request));
        }
    }

    fn may_read(&self, reader: u64, stage: u64) -> bool {
        match &self.inputs {
            None => stage < reader,
            Some(inputs) => inputs
                .get(reader as usize)
                .is_some_and(|inputs| inputs.contains(&stage)),
        }
    }
}

/// One maker: a call at a time, others are refused as not run.
pub struct PieceMaker {
    /// Where it listens.
    pub address: SocketAddr,
    /// Received calls.
    pub server: ScriptedServer,
}

struct Maker {
    address: OnceLock<SocketAddr>,
    spelling: MakerSpelling,
    config: MakerConfig,
    shelf: Arc<ResultShelf>,
    turns: Semaphore,
}

impl PieceMaker {
    /// Starts one whose results lie on `shelf`.
    pub async fn start(
        spelling: MakerSpelling,
        config: MakerConfig,
        shelf: Arc<ResultShelf>,
    ) -> Self {
        Self::start_observed(spelling, config, shelf, |_| {}).await
    }

    /// Starts one like [`PieceMaker::start`] that shows each call to `observe` before it answers.
    pub async fn start_observed(
        spelling: MakerSpelling,
        config: MakerConfig,
        shelf: Arc<ResultShelf>,
        observe: impl Fn(&Received) + Send + Sync + 'static,
    ) -> Self {
        let maker = Arc::new(Maker {
            address: OnceLock::new(),
            spelling,
            config,
            shelf,
            turns: Semaphore::new(1),
        });
        let answering = Arc::clone(&maker);
        let server = ScriptedServer::start(move |req| {
            observe(&req);
            let maker = Arc::clone(&answering);
            async move { maker.answer(&req).await }
        })
        .await;
        maker.address.get_or_init(|| server.address);
        Self {
            address: server.address,
            server,
        }
    }
}

impl Maker {
    async fn answer(&self, req: &Received) -> Script {
        let headers = (self.spelling.answer_headers)(req);
        match (self.spelling.read_call)(req) {
            Some(MakerCall::Make(pieces)) => self.make(&headers, &pieces).await,
            Some(MakerCall::Free(results)) => {
                self.shelf.free(&results);
                whole_answer(200, &headers, "")
            }
            None => whole_answer(400, self.spelling.not_run_headers, ""),
        }
    }

    async fn make(&self, headers: &str, pieces: &[AskedPiece]) -> Script {
        let Ok(_turn) = self.turns.try_acquire() else {
            return whole_answer(503, self.spelling.not_run_headers, "");
        };
        if pieces.len() > self.config.max_pieces {
            self.shelf
                .note(format!("{} pieces in a call", pieces.len()));
        }
        let pieces_time = self.config.piece_time * pieces.len() as u32;
        sleep(self.config.call_time + pieces_time).await;
        let made: Vec<_> = pieces.iter().map(|piece| self.make_one(piece)).collect();
        whole_answer(200, headers, &(self.spelling.made)(&made))
    }

    fn make_one(&self, asked: &AskedPiece) -> Result<String, NotMade> {
        self.shelf.check_inputs(asked);
        if !self.shelf.all_kept(&asked.request, &asked.inputs) {
            return Err(NotMade::InputGone);
        }
        let address = self.address.get().copied();
        let address = address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
        self.shelf.keep(address, &self.config, asked)
    }
}
