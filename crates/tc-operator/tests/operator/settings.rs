//! Settings of `serve`: which are taken, which are refused and what is said.

use std::collections::BTreeMap;

use tc_operator::Settings;

const KEY: &str = "a-fleet-key-of-the-test";
const TOKEN: &str = "an-operator-token";

fn variables(changes: &[(&str, &str)]) -> BTreeMap<String, String> {
    let needed = [
        ("TANAGERCROFT_INSTANCE_ID", "kl-a-1"),
        ("TANAGERCROFT_LISTEN", "10.0.0.1:8080"),
        ("TANAGERCROFT_FLEET_LISTEN", "10.0.0.1:8081"),
        ("TANAGERCROFT_ADMIN_LISTEN", "10.0.0.1:8082"),
        ("TANAGERCROFT_FAILURE_DOMAIN", "kl-a"),
        ("TANAGERCROFT_PLATFORM", "10.0.0.9:9400"),
        ("TANAGERCROFT_FLEET_KEY", KEY),
        ("TANAGERCROFT_OPERATOR_TOKEN", TOKEN),
    ];
    let all = needed.iter().chain(changes);
    all.map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect()
}

fn read(words: &str, changes: &[(&str, &str)]) -> Result<Settings, String> {
    let words: Vec<String> = words.split_whitespace().map(str::to_owned).collect();
    Settings::from_words(&words, variables(changes)).map_err(|e| format!("{e:?}"))
}

#[test]
fn what_is_needed_is_enough() {
    let settings = read("", &[]).expect("valid");
    assert_eq!(settings.region.as_str(), "default");
    assert_eq!(settings.traffic_threads, 2);
    assert_eq!(settings.drain_limit.as_millis(), 60_000);
    assert_eq!(settings.max_body_bytes, 1024 * 1024);
    assert!(settings.seeds.is_empty() && settings.otlp_endpoint.is_none());
    assert!((settings.store_calls_per_s - 50.0).abs() < f64::EPSILON);
}

#[test]
fn flags_win_over_variables() {
    let words = "--instance-id=kl-b-2 --listen 10.0.0.2:1 --region kl --seeds 10.0.0.3:1,[::1]:2 \
                 --traffic-threads 4 --log debug --otlp-endpoint http://10.0.0.8:4317 --drain-limit-ms 0 \
                 --store-calls-per-s 12.5 --max-body-bytes 5";
    let settings = read(words, &[("TANAGERCROFT_LOG", "error")]).expect("valid");
    assert_eq!(settings.instance_id.as_str(), "kl-b-2");
    assert_eq!(settings.listen.to_string(), "10.0.0.2:1");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.log, log::LevelFilter::Debug);
    assert_eq!(settings.max_body_bytes, 5);
}

#[test]
fn instances_are_told_where_this_one_listens_unless_it_advertises_another_address() {
    let settings = read("", &[]).expect("valid");
    assert_eq!(settings.fleet_advertise.to_string(), "10.0.0.1:8081");
    let advertise = ("TANAGERCROFT_FLEET_ADVERTISE", "192.0.2.7:9081");
    let settings = read("--fleet-listen 0.0.0.0:8081", &[advertise]).expect("valid");
    assert_eq!(settings.fleet_listen.to_string(), "0.0.0.0:8081");
    assert_eq!(settings.fleet_advertise.to_string(), "192.0.2.7:9081");
}

#[test]
fn keys_rotate_and_no_secret_is_shown() {
    let keys = "the-new-fleet-key-0001, the-old-fleet-key-0001";
    let settings = read("", &[("TANAGERCROFT_FLEET_KEY", keys)]).expect("valid");
    let exposed: Vec<_> = settings
        .fleet_keys
        .iter()
        .map(tc_operator::Secret::expose)
        .collect();
    assert_eq!(
        exposed,
        ["the-new-fleet-key-0001", "the-old-fleet-key-0001"]
    );
    let shown = format!("{settings:?}");
    assert!(
        !shown.contains("fleet-key-0001") && !shown.contains(TOKEN),
        "{shown}"
    );
}

/// Words, changed variables, and what the error must name and say.
type Case = (
    &'static str,
    &'static [(&'static str, &'static str)],
    &'static str,
    &'static str,
);

#[rustfmt::skip]
const CASES: &[Case] = &[
    ("", &[("TANAGERCROFT_INSTANCE_ID", "")], "--instance-id", "missing"),
    ("", &[("TANAGERCROFT_INSTANCE_ID", "kl a")], "TANAGERCROFT_INSTANCE_ID", "cannot be a name"),
    ("--region kl/a", &[], "--region", "cannot be a name"),
    ("", &[("TANAGERCROFT_LISTEN", "")], "--listen", "missing"),
    ("--listen 10.0.0.1", &[], "--listen", "has no port"),
    ("--listen host-a:8080", &[], "--listen", "is a host name"),
    ("--listen 10.0.0.1:99999", &[], "--listen", "not an IP number with a port"),
    ("--listen 0.0.0.0:8080", &[], "--listen", "nobody can connect"),
    ("--listen 10.0.0.1:0", &[], "--listen", "port 0"),
    ("--fleet-listen 10.0.0.1:8080", &[], "--fleet-listen", "is the address of --listen too"),
    ("--fleet-listen 0.0.0.0:8081", &[], "--fleet-listen", "nobody can connect"),
    ("--fleet-advertise 0.0.0.0:8081", &[], "--fleet-advertise", "nobody can connect"),
    ("--fleet-advertise 10.0.0.1:0", &[], "--fleet-advertise", "port 0"),
    ("--fleet-advertise host-a:8081", &[], "--fleet-advertise", "is a host name"),
    ("--fleet-advertise 10.0.0.1:8080", &[], "--fleet-advertise", "is the address of --listen too"),
    ("", &[("TANAGERCROFT_FLEET_ADVERTISE", "10.0.0.1")], "TANAGERCROFT_FLEET_ADVERTISE", "has no port"),
    ("--admin-listen :8082", &[], "--admin-listen", "not an IP number"),
    ("--platform platform.local:1", &[], "--platform", "is a host name"),
    ("--seeds 10.0.0.1:1,host:2", &[], "--seeds", "\"host:2\" is a host name"),
    ("--traffic-threads 0", &[], "--traffic-threads", "from 1 to 256"),
    ("--traffic-threads two", &[], "--traffic-threads", "from 1 to 256"),
    ("--log loud", &[], "--log", "not a log level"),
    ("--otlp-endpoint 10.0.0.1:4317", &[], "--otlp-endpoint", "use http://"),
    ("--otlp-endpoint http://collector:4317", &[], "--otlp-endpoint", "IP number"),
    ("--drain-limit-ms 60s", &[], "--drain-limit-ms", "whole number"),
    ("--store-calls-per-s nan", &[], "--store-calls-per-s", "from 1 to 2000"),
    ("--policy best", &[], "--policy", "use home or baseline"),
    ("--max-body-bytes -1", &[], "--max-body-bytes", "from 1 to"),
    ("", &[("TANAGERCROFT_FLEET_KEY", "")], "TANAGERCROFT_FLEET_KEY", "16 bytes or more"),
    ("", &[("TANAGERCROFT_FLEET_KEY", "sixteen-bytes-ok,short")], "TANAGERCROFT_FLEET_KEY", "key 2 has 5 bytes"),
    ("", &[("TANAGERCROFT_OPERATOR_TOKEN", "")], "TANAGERCROFT_OPERATOR_TOKEN", "missing"),
    ("", &[("TANAGERCROFT_OPERATOR_TOKEN", "a token")], "TANAGERCROFT_OPERATOR_TOKEN", "a space"),
    ("", &[("TANAGERCROFT_REGOIN", "kl")], "TANAGERCROFT_REGOIN", "did you mean TANAGERCROFT_REGION?"),
    ("--fleet-key x", &[], "--fleet-key", "has no flag"),
    ("--fleet-lisen 10.0.0.1:1", &[], "--fleet-lisen", "did you mean --fleet-listen?"),
    ("extra", &[], "extra", "unexpected argument"),
];

#[test]
fn a_wrong_setting_is_named_and_explained() {
    for (words, changes, names, says) in CASES {
        let error = read(words, changes).expect_err(words);
        let error = error.replace("\n  │ ", " ").replace("\n        ", " ");
        assert!(error.contains(names), "{words} {changes:?}: {error}");
        assert!(error.contains(says), "{words} {changes:?}: {error}");
        assert!(!error.contains(KEY), "{error}");
    }
}

#[test]
fn all_that_is_missing_is_told_at_once() {
    let error = Settings::from_words(&[], BTreeMap::new()).expect_err("nothing is set");
    let error = format!("{error:?}");
    for name in [
        "--instance-id",
        "--listen",
        "--fleet-listen",
        "--admin-listen",
        "--failure-domain",
        "--platform",
        "TANAGERCROFT_FLEET_KEY",
        "TANAGERCROFT_OPERATOR_TOKEN",
    ] {
        assert!(
            error.contains(&format!("setting {name}: missing")),
            "{name} in {error}"
        );
    }
}
