//! Definitions of all metrics, with their units, summaries and labels.

use metrics::{Unit, describe_counter, describe_gauge, describe_histogram};

/// Type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MetricKind {
    /// Value that only increases.
    Counter,
    /// Value that can increase and decrease.
    Gauge,
    /// Distribution of values.
    Histogram,
}

/// Unit of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricUnit {
    /// Number of items or events.
    Count,
    /// Bytes.
    Bytes,
    /// Milliseconds.
    Milliseconds,
}

/// Limit of the number of values of a label.
///
/// No label may take values that a caller can choose: each new value would create a series that is never removed, and
/// memory would grow with the variety of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LabelBound {
    /// Values fixed in the code, at most this many.
    FixedSet(u32),
    /// Names of the configured services.
    Services,
    /// Names of the configured stages and plain services.
    Stages,
    /// Names of the configured workspaces, at most 1,000; the others share the value `other`.
    Workspaces,
}

/// Label of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Label {
    /// Name of the label.
    pub name: &'static str,
    /// Limit of the number of its values.
    pub bound: LabelBound,
}

/// Definition of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// Name of the metric.
    pub name: &'static str,
    /// Type of the metric.
    pub kind: MetricKind,
    /// Unit of its values.
    pub unit: MetricUnit,
    /// Its labels, in the order in which the code reports them.
    pub labels: &'static [Label],
    /// Help text without the labels.
    pub summary: &'static str,
}

/// `broken`, `invalid` or `deadline`; `new` or `failures`.
const CAUSE: Label = fixed_set("cause", 3);
const EVIDENCE: Label = fixed_set("evidence", 2);
const UNMADE_CAUSE: Label = fixed_set("cause", 5);
const UNUSED_CAUSE: Label = fixed_set("cause", 3);
const KIND: Label = fixed_set("kind", 19);
const UPSTREAM_KIND: Label = fixed_set("kind", 6);
const OUTCOME: Label = fixed_set("outcome", 7);
const PURPOSE: Label = fixed_set("purpose", 8);
const RESULT: Label = fixed_set("result", 9);
/// The problem codes, and `answered`, `late` and `caller-left`.
const REQUEST_RESULT: Label = fixed_set("result", 22);
const ROLE: Label = fixed_set("role", 2);
/// `control` or `traffic`.
const RUNTIME: Label = fixed_set("runtime", 2);
const SCOPE: Label = fixed_set("scope", 2);
const SERVICE: Label = Label {
    name: "service",
    bound: LabelBound::Services,
};
const STAGE: Label = Label {
    name: "stage",
    bound: LabelBound::Stages,
};
/// Response statuses of the admin interface.
const STATUS: Label = fixed_set("status", 8);
/// Response statuses of the gateway itself. [`REASON`] gives their cause.
const REFUSAL_STATUS: Label = fixed_set("status", 10);
const LEVEL: Label = fixed_set("level", 10);
const REASON: Label = fixed_set("reason", 30);
const VERDICT: Label = fixed_set("verdict", 6);
const WAY: Label = fixed_set("way", 2);
const WORKSPACE: Label = Label {
    name: "workspace",
    bound: LabelBound::Workspaces,
};

const fn fixed_set(name: &'static str, max_values: u32) -> Label {
    Label {
        name,
        bound: LabelBound::FixedSet(max_values),
    }
}

/// All metrics, sorted by name.
#[rustfmt::skip]
pub const METRICS: &[Metric] = &[
    count("tc_admin_requests_total", &[STATUS], "Requests to the admin interface."),
    millis("tc_batch_call_ms", &[SERVICE], "Time of a call that makes pieces of stages."),
    count("tc_batch_displaced_total", &[REASON, SERVICE], "Stages of requests displaced at their home by more urgent work."),
    count("tc_batch_jobs_total", &[RESULT, SERVICE], "Stages of requests that ended at their home: `on_time`, `late` for the latency target of their request, or `refused`."),
    count("tc_batch_pieces_total", &[SERVICE], "Pieces of stages sent to upstreams."),
    count("tc_batch_pieces_unmade_total", &[UNMADE_CAUSE, SERVICE], "Pieces that a call did not make: `input_gone`, `no_room`, `late`, `failed`, or `unwanted` before it was sent."),
    count("tc_batch_results_reclaimed_total", &[SERVICE], "Fetched results freed before the end of their hold time, as waiting pieces needed their room."),
    count("tc_batch_results_unused_total", &[UNUSED_CAUSE, SERVICE], "Results discarded by their home: `request_gone`, `duplicate`, or `refused` with their job."),
    count("tc_brittle_refusals_total", &[], "Requests refused by an upstream that survives few refusals."),
    count("tc_caller_resumes_total", &[], "Streams that a caller came back to with Last-Event-ID."),
    count("tc_claims_total", &[VERDICT], "Claims on idempotency keys in the platform's store."),
    millis("tc_config_delay_ms", &[], "Time since this instance was last known to have every configuration, when it applies a newer one: the most that has passed since the store accepted that one."),
    gauge("tc_config_faults", &[], "Entries of the configuration in force that cannot be used; requests that need them are refused."),
    count("tc_config_fetches_total", &[], "Configurations fetched from an instance that gossiped them, as no source had sent them."),
    count("tc_config_rejected_total", &[], "Configurations that were read and refused as invalid."),
    gauge("tc_config_revision", &[], "Revision of the configuration in force."),
    count("tc_engine_load_reports_total", &[SERVICE], "Answers of engines whose announced load reached the home of their service."),
    count("tc_engine_refusals_total", &[SERVICE], "Runs that an engine refused because it was full, at the home that chose it."),
    gauge("tc_evacuated_domains", &[], "Failure domains that are evacuated, as this instance knows. Values that differ between instances for longer than seconds mean that some hear from nobody."),
    millis("tc_event_loop_delay_ms", &[RUNTIME], "Delay of a timer on the event loop of the `control` or `traffic` runtime, sampled every 50 ms."),
    count("tc_expired_permits_total", &[], "Permits that ended because their holder never released them."),
    count("tc_failures_total", &[KIND], "Problems told to callers."),
    count("tc_false_deaths_total", &[], "Broken connections whose upstream turned out to be alive."),
    count("tc_fleet_calls_refused_total", &[], "Calls between instances refused for a wrong fleet token."),
    Metric { unit: MetricUnit::Bytes, ..count("tc_fleet_stream_bytes_total", &[ROLE], "Bytes of permit batches sent to other instances, before HTTP/2.") },
    count("tc_forwarded_total", &[], "Requests forwarded to the instance their key is bound to or their stream is at."),
    Metric { unit: MetricUnit::Bytes, ..count("tc_gossip_bytes_total", &[WAY], "Bytes of gossip.") },
    count("tc_gossip_oversized_total", &[], "Gossip messages not sent because they were too large."),
    count("tc_gossip_refused_total", &[], "Gossip messages dropped because they were not authentic or not understood."),
    count("tc_gossip_send_failures_total", &[], "Gossip messages the kernel refused to send."),
    count("tc_hedges_total", &[SERVICE], "Second calls made beside a slow one."),
    count("tc_held_bytes_refusals_total", &[], "Requests and answers for which this process had no room, because it holds too many bytes for slow callers and upstreams."),
    gauge_millis("tc_home_planning_ms", &[], "Time that this process has spent in the planners of the homes of batch services since it started."),
    count("tc_late_results_total", &[], "Results dropped because another attempt had won or nobody waited."),
    count("tc_load_report_faults_total", &[REASON], "Times that a figure in the load reports of an upstream began to be unusable."),
    count("tc_log_lines_dropped_total", &[], "Log lines dropped because nobody read the output."),
    count("tc_log_lines_suppressed_total", &[], "Log lines left out by the rate gate."),
    count("tc_outcomes_not_recorded_total", &[], "Claims whose outcome could not be recorded."),
    millis("tc_pace_duration_ms", &[SCOPE], "Time for which an upstream that had just started or recovered was paced, at the `home` of its service or at an `instance` that sends without one."),
    gauge("tc_paced_upstreams", &[SERVICE], "Upstreams that the home of a service paces as they have just started or recovered."),
    gauge("tc_paced_upstreams_without_home", &[], "Upstreams that this instance paces for requests that it sends without a home."),
    count("tc_paces_begun_total", &[SCOPE, CAUSE], "Paces that began because an upstream was `new` or recovers from `failures`."),
    count("tc_paces_ended_total", &[SCOPE, REASON], "Paces that ended: the window covered `all_slots`, the upstream was `like_peers`, or `always_slow` so that fewer requests did not help."),
    count("tc_paces_lowered_total", &[SCOPE, EVIDENCE], "Windows lowered because an answer was `slow` or a request `failed`."),
    count("tc_pauses_total", &[], "Times this process found that it had been paused."),
    count("tc_peer_requests_total", &[RESULT], "Requests that this instance had another one serve as it reached no upstream."),
    count("tc_platform_calls_total", &[PURPOSE, RESULT], "Calls to the platform."),
    gauge_millis("tc_process_cpu_ms", &[], "Processor time that this process has used since it started."),
    gauge("tc_promised_returns", &[], "Refused requests that have a place at this home and are not back yet."),
    count("tc_promised_returns_total", &[RESULT], "Refused requests that returned at the time they were given: `admitted` by the home of their first stage, or `returned` to an instance of a plain service."),
    count("tc_prompt_fetches_total", &[SERVICE], "Prompts of which an engine was told to fetch a part from another one."),
    count("tc_quarantine_refusals_total", &[], "Requests refused because they, or a part of their prompt, have crashed upstreams."),
    gauge("tc_quarantined_parts", &[], "Prompt parts, or sets of them, that are quarantined as far as this instance knows."),
    gauge("tc_quarantined_requests", &[], "Requests that are quarantined as far as this instance knows."),
    count("tc_redirects_total", &[], "Asks that a home redirected to another upstream."),
    count("tc_registry_unreadable_total", &[], "Registered upstreams that could not be read and were left out."),
    count("tc_requests_total", &[WORKSPACE, REQUEST_RESULT], "Requests that ended."),
    count("tc_retries_total", &[SERVICE], "Calls repeated after a failure."),
    count("tc_retry_decisions_total", &[RESULT, SERVICE], "Decisions on whether the retry budget of a service allows another send of a routed request: `allowed` or `refused`."),
    millis("tc_return_time_ms", &[SERVICE], "Times after which refused requests were told to return, by the home of their first stage or, for plain services, by the instance that has them."),
    count("tc_routed_answers_total", &[SERVICE], "Routed requests that an upstream answered."),
    millis("tc_routed_first_byte_ms", &[SERVICE], "Time from a routed request's arrival to the first byte of its answer."),
    count("tc_routed_refusals_total", &[REFUSAL_STATUS, REASON], "Routed requests that ended without an upstream's answer."),
    count("tc_routed_streams_cut_total", &[CAUSE, REASON], "Streams that broke after they had begun and could not be resumed."),
    count("tc_silent_attempts_total", &[RESULT], "Routed requests whose upstream sent no answer, or no first event, for a large part of their time: `hedged` if another upstream was tried beside it, else `waited`."),
    millis("tc_stage_ms", &[STAGE], "Time of a stage's call."),
    count("tc_stage_refusals_total", &[SERVICE], "Stages of requests that their home refused at once."),
    count("tc_stages_remade_total", &[], "Times that stages of a request were made again as results were gone."),
    count("tc_stalled_callers_total", &[], "Connections closed because their caller took nothing of its answer."),
    gauge("tc_store_away", &[], "1 while the store does not answer this instance, which holds back its reads."),
    gauge_millis("tc_store_confirmed_age_ms", &[], "Time since the start of the newest reading of the store, by any instance, whose result this instance is known to hold."),
    gauge("tc_store_followers", &[], "Instances that follow this one for changes of the store."),
    count("tc_store_hedged_calls_total", &[], "Reads of the store that were repeated because an earlier one was not answered soon."),
    count("tc_store_probes_total", &[], "Calls that looked whether the store answers again."),
    count("tc_store_restores_total", &[], "Restores of the store from an older copy that this instance noticed in the list of upstreams."),
    gauge("tc_store_watcher", &[], "1 while this instance watches the store itself: four of a fleet, and others whom nobody tells anything."),
    count("tc_stream_origin_copies_total", &[RESULT], "Origins of streams that were to be copied to another instance: `sent`, `failed`, or `dropped` because the queue was full."),
    gauge("tc_stream_origins", &[], "Streams whose origin this instance keeps."),
    count("tc_stream_resumes_total", &[], "Streams resumed at an engine after a broken connection."),
    count("tc_stream_resumptions_total", &[RESULT], "Requests that resume a stream of an earlier attempt: the origin was `found_here` or `found_elsewhere`, or they were refused: `unknown`, `contradicted`, `no_attempt`, `uncovered`, `other_service`."),
    count("tc_stream_silences_total", &[RESULT], "Silences of engines in the middle of streams for which another engine was sought, by what ended the wait: `went_on`, `replaced`, `not_replaced` or `broke`."),
    count("tc_superseded_total", &[], "Times this process found another, later one with its instance's name."),
    count("tc_suspects_total", &[], "Inputs that became suspects because an upstream died under them."),
    count("tc_throttled_total", &[], "Requests refused before they ran because too few like them found room."),
    count("tc_uneven_choices_total", &[REASON], "Choices of an upstream by the time until it would be done: `first` or `sooner` of two that were drawn, or `all_full`."),
    count("tc_unknown_releases_total", &[], "Releases of permits that the home did not know."),
    count("tc_unreachable_homes_total", &[], "Asks whose home could not be reached."),
    gauge("tc_unreachable_services", &[], "Services of which this instance reaches no upstream, so that others serve their requests."),
    millis("tc_upstream_call_ms", &[UPSTREAM_KIND], "Time of a call to an upstream."),
    count("tc_upstream_calls_total", &[UPSTREAM_KIND, OUTCOME], "Calls to upstreams."),
    count("tc_upstream_connects_total", &[], "Connections made to upstreams."),
    count("tc_upstream_fetches_total", &[], "Changes of upstreams fetched from an instance that gossiped them, as no source had sent them."),
    count("tc_upstream_limit_answers_total", &[], "Answers of upstreams that announced a rate limit."),
    gauge("tc_upstream_limits", &[], "Upstreams whose last answer here announced a rate limit."),
    count("tc_upstream_rests_total", &[], "Answers of upstreams that asked this instance for a rest."),
    count("tc_upstreams_leaving_total", &[], "Upstreams that announced in an answer here that they are leaving."),
    count("tc_urgency_requests_total", &[LEVEL], "Requests sent to engines, by the urgency that the engine was told, 0 being the most urgent."),
];

const fn count(name: &'static str, labels: &'static [Label], summary: &'static str) -> Metric {
    Metric {
        name,
        kind: MetricKind::Counter,
        unit: MetricUnit::Count,
        labels,
        summary,
    }
}

const fn gauge(name: &'static str, labels: &'static [Label], summary: &'static str) -> Metric {
    Metric {
        kind: MetricKind::Gauge,
        ..count(name, labels, summary)
    }
}

const fn gauge_millis(
    name: &'static str,
    labels: &'static [Label],
    summary: &'static str,
) -> Metric {
    Metric {
        unit: MetricUnit::Milliseconds,
        ..gauge(name, labels, summary)
    }
}

const fn millis(name: &'static str, labels: &'static [Label], summary: &'static str) -> Metric {
    Metric {
        kind: MetricKind::Histogram,
        unit: MetricUnit::Milliseconds,
        ..count(name, labels, summary)
    }
}

impl Metric {
    /// Returns the help text: the summary and the names of the labels.
    ///
    /// ```
    /// let retries = tc_telemetry::METRICS.iter().find(|m| m.name == "tc_retries_total").unwrap();
    /// assert_eq!(retries.description(), "Calls repeated after a failure, by service.");
    /// ```
    #[must_use]
    pub fn description(&self) -> String {
        let labels: Vec<&str> = self.labels.iter().map(|label| label.name).collect();
        match labels.as_slice() {
            [] => self.summary.to_owned(),
            labels => format!(
                "{}, by {}.",
                self.summary.trim_end_matches('.'),
                labels.join(" and ")
            ),
        }
    }
}

/// Registers the descriptions of all metrics with the recorder.
pub(crate) fn describe_all() {
    for metric in METRICS {
        let unit = match metric.unit {
            MetricUnit::Count => Unit::Count,
            MetricUnit::Bytes => Unit::Bytes,
            MetricUnit::Milliseconds => Unit::Milliseconds,
        };
        let description = metric.description();
        match metric.kind {
            MetricKind::Counter => describe_counter!(metric.name, unit, description),
            MetricKind::Gauge => describe_gauge!(metric.name, unit, description),
            MetricKind::Histogram => describe_histogram!(metric.name, unit, description),
        }
    }
}
