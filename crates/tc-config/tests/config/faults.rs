//! Tests of the faults reported for invalid configurations: code, key, line and help text.

use crate::base::with_change;
use miette::Diagnostic;
use tc_config::{ConfigError, Fault};
use tc_protocol::TcError;

/// A change to the base configuration and the single fault it must cause.
struct Case {
    change: &'static str,
    code: &'static str,
    key: &'static str,
    line: usize,
    /// Text that the message or its help must contain.
    expected_text: &'static str,
}

const fn case(
    change: &'static str,
    code: &'static str,
    key: &'static str,
    line: usize,
    expected_text: &'static str,
) -> Case {
    Case {
        change,
        code,
        key,
        line,
        expected_text,
    }
}

const TOKEN_OF_LINTAS: &str = "000000000000000000000000000000000000000000000000000000000000000a";

#[rustfmt::skip]
const CASES: &[Case] = &[
    case("[pipelines", "syntax", "", 1, "TOML"),
    case("a = 1\na = 2", "syntax", "", 2, "duplicate key"),
    case("[pipeline.x]", "unknown_key", "pipeline", 1, "did you mean `pipelines`"),
    case("revision = 4", "unknown_key", "revision", 1, "known here: pipelines"),
    case("[pipelines.notices]\ndedline_ms = 90", "unknown_key", "pipelines.notices.dedline_ms", 2, "did you mean `deadline_ms`"),
    case("[workspaces.lintas.limits]\nrequest_per_s = 9", "unknown_key", "workspaces.lintas.limits.request_per_s", 2, "requests_per_s"),
    case("[pipelines.notices]\ndeadline_ms = \"2s\"", "wrong_type", "pipelines.notices.deadline_ms", 2, "\"2s\" is not a whole number"),
    case("[pipelines.notices]\ndeadline_ms = -1", "wrong_type", "pipelines.notices.deadline_ms", 2, "0 or above"),
    case("[pipelines.notices]\ndeadline_ms = 99999999999999999999", "wrong_type", "pipelines.notices.deadline_ms", 2, "whole number"),
    case("[pipelines.notices]\npriority = 300", "wrong_type", "pipelines.notices.priority", 2, "0 to 255"),
    case("[pipelines.notices]\nstages = \"encode\"", "wrong_type", "pipelines.notices.stages", 2, "array of tables"),
    case("[pipelines.notices]\nstages = [1]", "wrong_type", "pipelines.notices.stages.0", 2, "a table"),
    case("[pipelines.notices]\nworkspaces = [\"lintas\", 2]", "wrong_type", "pipelines.notices.workspaces.1", 2, "text in quotes"),
    case("pipelines = 3", "wrong_type", "pipelines", 1, "a table"),
    case("[services.encode]\nkind = \"gpu\"", "wrong_type", "services.encode.kind", 2, "one of \"engine\", \"pool\", \"plain\""),
    case("[services.encode]\nidempotent = 1", "wrong_type", "services.encode.idempotent", 2, "`true` or `false`"),
    case("[services.encode]\nslots = 1979-05-27", "wrong_type", "services.encode.slots", 2, "1979-05-27"),
    case("[[services.billing.upstreams]]\nid = \"b\"\naddress = \"billing.local:80\"\nfailure_domain = \"kl-a\"", "wrong_type", "services.billing.upstreams.0.address", 3, "an IP number with a port"),
    case("[pipelines.new]\nstages = [{ name = \"a\", service = \"encode\" }]", "missing_key", "pipelines.new", 1, "add `deadline_ms"),
    case("[workspaces.new]\nweight = 2", "missing_key", "workspaces.new", 1, "token_sha256"),
    case("[models.\"a b\"]\nversion = \"1\"", "bad_name", "models.a b", 1, "letters, digits"),
    case("[pipelines.notices]\nstages = [{ name = \"\", service = \"encode\" }]", "bad_name", "pipelines.notices.stages.0.name", 2, "letters, digits"),
    case("[pipelines.notices]\nstages = [{ name = \"a\", service = \"encod\" }]", "unknown_service", "pipelines.notices.stages.0.service", 2, "did you mean `encode`"),
    case("[services.generate]\nmodel = \"drafts\"", "unknown_model", "services.generate.model", 2, "did you mean `draft`"),
    case("[pipelines.notices]\nworkspaces = [\"lintas\", \"zz\"]", "unknown_workspace", "pipelines.notices.workspaces.1", 2, "known here: lintas, trinacria"),
    case("[pipelines.notices]\nstages = []", "no_stages", "pipelines.notices.stages", 2, "at least one"),
    case("[pipelines.notices]\nstages = [\n{ name = \"a\", service = \"encode\" },\n{ name = \"a\", service = \"generate\" }]", "duplicate_stage", "pipelines.notices.stages.1.name", 4, "each stage its own"),
    case("[pipelines.notices]\ndeadline_ms = 49", "deadline_out_of_range", "pipelines.notices.deadline_ms", 2, "50 to 600000 ms"),
    case("[pipelines.notices]\ndeadline_ms = 600001", "deadline_out_of_range", "pipelines.notices.deadline_ms", 2, "50 to 600000 ms"),
    case("[pipelines.notices]\npriority = 8", "priority_out_of_range", "pipelines.notices.priority", 2, "0 (most urgent) to 7"),
    case("[workspaces.lintas]\nhighest_priority = 8", "priority_out_of_range", "workspaces.lintas.highest_priority", 2, "0 (most urgent) to 7"),
    case("[pipelines.notices]\nstages = [{ name = \"a\", service = \"generate\", max_tokens = 0 }]", "not_positive", "pipelines.notices.stages.0.max_tokens", 2, "above zero"),
    case("[services.encode]\nslots = 0", "not_positive", "services.encode.slots", 2, "above zero"),
    case("[workspaces.lintas]\nweight = 0", "not_positive", "workspaces.lintas.weight", 2, "above zero"),
    case("[workspaces.lintas.limits]\nrequests_per_s = 0", "not_positive", "workspaces.lintas.limits.requests_per_s", 2, "leave an optional key out"),
    case("[workspaces.lintas.limits]\nconcurrency = 0", "not_positive", "workspaces.lintas.limits.concurrency", 2, "above zero"),
    case("[workspaces.lintas.limits]\ncost_per_s = -2.5", "not_positive", "workspaces.lintas.limits.cost_per_s", 2, "-2.5 is not above zero"),
    case("[workspaces.lintas.limits]\ncost_per_s = inf", "not_positive", "workspaces.lintas.limits.cost_per_s", 2, "finite"),
    case("[policy]\nadmission_quantile = 1", "out_of_range", "policy.admission_quantile", 2, "between 0 and 1"),
    case("[policy]\nadmission_quantile = 0.0", "out_of_range", "policy.admission_quantile", 2, "between 0 and 1"),
    case("[policy]\nadmission_quantile = nan", "out_of_range", "policy.admission_quantile", 2, "between 0 and 1"),
    case("[policy]\nhedge_ratio = 1.5", "out_of_range", "policy.hedge_ratio", 2, "from 0 to 1"),
    case("[policy]\nretry_ratio = -0.1", "out_of_range", "policy.retry_ratio", 2, "from 0 to 1"),
    case("[policy]\ncross_domain_ms = -1", "out_of_range", "policy.cross_domain_ms", 2, "from 0 up"),
    case("[policy]\naddress_max_age_s = 61", "out_of_range", "policy.address_max_age_s", 2, "from 1 to 60"),
    case("[policy]\nshard_size = 0", "not_positive", "policy.shard_size", 2, "above zero"),
    case("[policy]\nclaim_retention_s = 1", "retention_too_short", "policy.claim_retention_s", 2, "2 s at least"),
    case("[workspaces.lintas]\ntoken_sha256 = \"secret\"", "token_hash", "workspaces.lintas.token_sha256", 2, "sha256sum"),
    case("[workspaces.lintas]\ntoken_sha256 = \"000000000000000000000000000000000000000000000000000000000000000A\"", "token_hash", "workspaces.lintas.token_sha256", 2, "lower-case"),
    case("[workspaces.trinacria]\ntoken_sha256 = \"000000000000000000000000000000000000000000000000000000000000000a\"", "shared_token", "workspaces.trinacria.token_sha256", 2, "\"lintas\" has the same token"),
    case("[[services.billing.upstreams]]\nid = \"enc-1\"\naddress = \"10.0.0.9:80\"\nfailure_domain = \"kl-a\"", "duplicate_upstream", "services.encode.upstreams.0.id", 8, "\"billing\""),
    case("[services.billing]\nupstreams = [\n{ id = \"b1\", address = \"10.0.0.9:80\", failure_domain = \"kl-a\" },\n{ id = \"b2\", address = \"10.0.0.9:80\", failure_domain = \"kl-a\" }]", "duplicate_address", "services.billing.upstreams.1.address", 4, "\"b1\""),
    case("[services.billing]\nupstreams = [{ id = \"b1\", address = \"0.0.0.0:80\", failure_domain = \"kl-a\" }]", "unusable_address", "services.billing.upstreams.0.address", 2, "nothing can be reached"),
    case("[services.billing]\nupstreams = [{ id = \"b1\", address = \"10.0.0.9:0\", failure_domain = \"kl-a\" }]", "unusable_address", "services.billing.upstreams.0.address", 2, "port"),
    case("[services.rank]\nkind = \"engine\"", "engine_without_model", "services.rank.model", 1, "add `model"),
    case("[services.encode]\nmodel = \"draft\"", "model_without_engine", "services.encode.model", 2, "kind = \"engine\""),
];

fn faults(change: &str) -> Vec<Fault> {
    match with_change(change) {
        Err(ConfigError::Invalid { faults }) => faults,
        other => panic!("{change}: {other:?}"),
    }
}

#[test]
fn each_fault_has_its_code_key_line_and_help() {
    for case in CASES {
        let faults = faults(case.change);
        assert_eq!(faults.len(), 1, "{}: {faults:?}", case.change);
        let fault = &faults[0];
        let code = fault.code().expect("a code").to_string();
        assert_eq!(
            code,
            format!("tc::config::{}", case.code),
            "{}",
            case.change
        );
        assert_eq!(fault.key(), case.key, "{}", case.change);
        assert_eq!(fault.line(), case.line, "{}", case.change);
        let help = fault.help().expect("a help text");
        let text = format!("{fault}\n{help}");
        assert!(text.contains(case.expected_text), "{}: {text}", case.change);
    }
}

#[test]
fn a_rendered_fault_shows_the_file_and_the_line() {
    let error = with_change("[policy]\nshard_size = 0").expect_err("a fault");
    let mut text = String::new();
    miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::none())
        .render_report(&mut text, &error)
        .expect("rendered");
    for part in [
        "20-change.toml:2",
        "shard_size = 0",
        "tc::config::not_positive",
        "help:",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

#[test]
fn all_faults_are_reported_together() {
    let change = r#"
[pipelines.notices]
deadline_ms = 1
[pipelines.other]
deadline_ms = "x"
[services.encode]
slots = 0
colour = "red"
"#;
    let keys: Vec<_> = faults(change).iter().map(|f| f.key().to_owned()).collect();
    let expected = [
        "pipelines.notices.deadline_ms",
        "pipelines.other",
        "pipelines.other.deadline_ms",
        "services.encode.slots",
        "services.encode.colour",
    ];
    assert_eq!(keys, expected);
}

#[test]
fn a_service_with_a_fault_is_still_known_to_pipelines() {
    let faults = faults("[services.encode]\nkind = \"gpu\"");
    assert_eq!(faults.len(), 1, "{faults:?}");
}

#[test]
fn conversion_to_tc_error_keeps_the_location_and_all_faults() {
    let error = with_change("[policy]\nshard_size = 0\nhedge_ratio = 9").expect_err("faults");
    let TcError::Config {
        problem, at, help, ..
    } = TcError::from(error)
    else {
        panic!("not a configuration error");
    };
    assert!(
        problem.starts_with("20-change.toml:2: policy.shard_size"),
        "{problem}"
    );
    assert!(at.is_some());
    assert!(
        help.contains("20-change.toml:3: policy.hedge_ratio"),
        "{help}"
    );
}

#[test]
fn a_shared_token_fault_does_not_show_the_token_hash() {
    let shared = format!("[workspaces.trinacria]\ntoken_sha256 = \"{TOKEN_OF_LINTAS}\"");
    let message = faults(&shared)[0].to_string();
    assert!(!message.contains(TOKEN_OF_LINTAS), "{message}");
}
