//! Wire types of the upstream and platform APIs, shared by the clients and the stand-in servers.

mod headers;
mod platform;
mod upstream;

pub use headers::{
    ATTEMPT, FORWARDED, IDEMPOTENCY_KEY, INSTANCE, INSTANCE_BINDING, LAST_EVENT_ID, PRIORITY,
    REQUEST_ID, RUN_STATE, STAGE, TIMEOUT_MS, TRACEPARENT,
};
pub use platform::{
    AddressAnswer, CONFIG_KIND, CONFIG_NAME, CallerAddress, ConfigFile, ConfigObject, InstanceList,
    ListedInstance, ListedState, MAX_OBJECT_BYTES, ObjectItem, ObjectList,
};
pub use upstream::{
    CompletionChoice, CompletionRequest, CompletionResponse, LoadReport, Order, OrderRefused,
    PoolRequest, PoolResponse, STREAM_DONE, StreamEvent, Usage,
};
