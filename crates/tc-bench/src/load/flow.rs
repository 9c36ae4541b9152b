//! Flows: requests of one kind from one workspace, and their rate over time.

use std::time::Duration;

use tc_protocol::{PipelineName, ServiceName, WorkspaceName};

/// Input size of a request unless a scenario says otherwise, in bytes.
const INPUT_BYTES: usize = 400;

/// Target of a request.
#[derive(Clone, Debug)]
pub(crate) enum What {
    /// A pipeline, answered as JSON.
    Pipeline(PipelineName),
    /// A pipeline, answered as a stream.
    Stream(PipelineName),
    /// A read of a plain service.
    Read(ServiceName),
    /// A non-idempotent call of a plain service.
    Once(ServiceName, Resend),
}

/// Treatment of a non-idempotent request by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Resend {
    /// Echoes the instance's binding beside the key.
    pub(crate) bound: bool,
    /// Sends the same key again after a broken connection, silence or an unknown outcome, at most so often.
    pub(crate) times: u32,
    /// Sends every request twice at the same moment.
    pub(crate) twice: bool,
}

impl Resend {
    /// A caller that echoes the binding and never resends.
    pub(crate) const BOUND: Self = Self {
        bound: true,
        times: 0,
        twice: false,
    };
    /// A caller that knows of no binding and never resends.
    pub(crate) const CLAIMED: Self = Self {
        bound: false,
        times: 0,
        twice: false,
    };

    /// The same caller, resending up to `times` times.
    pub(crate) const fn again(mut self, times: u32) -> Self {
        self.times = times;
        self
    }
}

/// A rate over a span of the run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateSpan {
    /// Start, from the start of the load.
    pub(crate) from: Duration,
    /// End, from the start of the load.
    pub(crate) to: Duration,
    /// Requests a second.
    pub(crate) per_s: f64,
}

/// Requests of one kind by one workspace.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    /// Sending workspace.
    pub(crate) workspace: WorkspaceName,
    /// Kind of the requests.
    pub(crate) what: What,
    /// Rate over time.
    pub(crate) rates: Vec<RateSpan>,
    /// Time the caller gives.
    pub(crate) timeout: Duration,
    /// Priority the caller asks for.
    pub(crate) priority: Option<u8>,
    /// Size of the input, in bytes.
    pub(crate) input_bytes: usize,
    /// Text every input carries.
    pub(crate) marker: &'static str,
    /// Uses one input for all requests, as a caller that resends does.
    pub(crate) same_input: bool,
}

impl Flow {
    /// Adds a rate over a span.
    pub(crate) fn rate(mut self, from: Duration, to: Duration, per_s: f64) -> Self {
        self.rates.push(RateSpan { from, to, per_s });
        self
    }

    /// Sets the time the caller gives.
    pub(crate) fn timeout_ms(mut self, ms: u64) -> Self {
        self.timeout = Duration::from_millis(ms);
        self
    }

    /// A flow without any rate yet.
    pub(crate) fn new(workspace: &str, what: What) -> Self {
        Self {
            workspace: workspace.into(),
            what,
            rates: Vec::new(),
            timeout: Duration::from_millis(1_500),
            priority: None,
            input_bytes: INPUT_BYTES,
            marker: "",
            same_input: false,
        }
    }

    /// Returns the target in one word, for records.
    pub(crate) fn target(&self) -> String {
        match &self.what {
            What::Pipeline(name) => format!("pipeline/{name}"),
            What::Stream(name) => format!("stream/{name}"),
            What::Read(name) | What::Once(name, _) => format!("service/{name}"),
        }
    }
}

/// A flow of one rate from start to `end`.
pub(crate) fn steady_flow(workspace: &str, what: What, per_s: f64, end: Duration) -> Flow {
    Flow::new(workspace, what).rate(Duration::ZERO, end, per_s)
}
