//! Fakes of the platform, engines, pools, plain services and the weight store, for tests and experiments.
//!
//! Each is a small HTTP server inside the test's own process. Dropping a stand-in's handle stops its server and closes
//! its connections. What upstreams saw is kept in a [`Recorder`], so that a test can judge what callers were told.

mod answer;
mod engine;
mod objects;
mod output;
mod pieces;
mod plain;
mod platform;
mod pool;
mod ports;
mod rate;
mod recorder;
mod scripted;
mod server;
mod slow_link;
mod sync;
mod upstream;
mod weight_store;

pub use engine::{Engine, EngineConfig};
pub use objects::{
    ObjectCall, ObjectSpelling, ObjectStore, ShownObject, StoreCopy, StoreEndpoint, StoreMode,
};
pub use output::{
    CRASH_MARKER, StageKind, engine_output, expected_pipeline_output, plain_output, pool_output,
};
pub use pieces::{
    AskedPiece, MakerCall, MakerConfig, MakerSpelling, NotMade, PieceMaker, ResultShelf,
};
pub use plain::{Plain, PlainConfig};
pub use platform::{Platform, PlatformFaults, RateLimits};
pub use pool::{Pool, PoolConfig};
pub use ports::free_address;
pub use recorder::{CallRecord, Ending, OrderRecord, Recorder, StageTotals};
pub use scripted::{Hold, Received, Script, ScriptedServer, Step, whole_answer};
pub use slow_link::SlowLink;
pub use upstream::{AnswerFault, UpstreamFaults, UpstreamHandle};
pub use weight_store::WeightStore;
