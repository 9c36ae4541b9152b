//! Tests of log lines: one JSON object each, masked secrets, limited volume.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bolero::generator::produce;
use log::{Level, Log, Record};
use serde_json::{Value, json};
use tc_protocol::MonoTime;
use tc_telemetry::{LogDecision, LogRateLimiter, json_logger};

#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Lines {
    fn parse(&self) -> Vec<Value> {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines()
            .map(|line| serde_json::from_str(line).expect(line))
            .collect()
    }
}

fn log_all(message: &str, fields: &[(&str, log::kv::Value<'_>)], times: usize) -> Vec<Value> {
    let lines = Lines::default();
    let logger = json_logger("info", Box::new(lines.clone())).unwrap();
    for _ in 0..times {
        log_at(&logger, 7, message, fields);
    }
    lines.parse()
}

fn log_at(logger: &impl Log, line: u32, message: &str, fields: &[(&str, log::kv::Value<'_>)]) {
    let mut record = Record::builder();
    record
        .level(Level::Warn)
        .target("tc_caller::run")
        .line(Some(line))
        .key_values(&fields);
    logger.log(&record.args(format_args!("{message}")).build());
}

#[test]
fn a_line_is_one_json_object() {
    let hostile = "two\nlines \"quoted\" \u{1} \u{2028} end";
    let fields = [
        ("attempt", 3.into()),
        ("ms", 1.5.into()),
        ("ok", true.into()),
        ("detail", hostile.into()),
        ("level", "mine".into()),
    ];
    let [line] = <[Value; 1]>::try_from(log_all(hostile, &fields, 1)).unwrap();
    let expected = json!({
        "ts": line["ts"], "level": "WARN", "target": "tc_caller::run", "message": hostile,
        "attempt": 3, "ms": 1.5, "ok": true, "detail": hostile, "field_level": "mine",
    });
    assert_eq!(line, expected);
    assert!(line["ts"].as_str().unwrap().ends_with('Z'));
}

/// Guards against a caller's token in the log, because a message or field quotes a header, a URL or a peer's response
/// unmasked.
#[test]
fn secrets_are_masked() {
    for text in [
        "Authorization: Bearer S3CRET",
        "got bearer S3CRET, then Bearer S3CRET",
        "GET /x?token=S3CRET&y=1",
        "{\"token\":\"S3CRET\"}",
        "authorization: Basic S3CRET",
        "password=S3CRET;",
    ] {
        let fields = [
            ("detail", text.into()),
            ("fleet_token", "S3CRET".into()),
            ("Authorization", "S3CRET".into()),
        ];
        let line = log_all(text, &fields, 1).remove(0);
        assert!(!line.to_string().contains("S3CRET"), "{line}");
        assert!(line["message"].as_str().unwrap().contains("***"), "{line}");
    }
    let line = log_all(
        "200 tokens, bearer",
        &[("max_tokens", 64.into()), ("tokens_out", 5.into())],
        1,
    )
    .remove(0);
    assert_eq!(
        (&line["message"], &line["max_tokens"]),
        (&json!("200 tokens, bearer"), &json!(64))
    );
}

/// Guards against a log that fills its pipe under overload and blocks traffic, because each refused call logs. One call
/// site logs 50,000 lines at full speed, and one line of a megabyte.
#[test]
fn volume_is_bounded() {
    let started = std::time::Instant::now();
    let lines = log_all("refused", &[], 50_000);
    let seconds = started.elapsed().as_secs() as usize + 1;
    assert!(
        lines.len() <= 20 * (seconds + 1),
        "{} lines in {seconds} s",
        lines.len()
    );
    assert!(lines.len() >= 20);
    let line = log_all(&"é".repeat(500_000), &[], 1).remove(0);
    assert!(line["message"].as_str().unwrap().len() < 5_000);
}

/// Guards against a burst of failures of which nobody learns how many there were, because their place logs nothing more.
#[test]
fn suppressed_lines_are_reported_without_a_further_line_of_their_place() {
    let lines = Lines::default();
    let logger = json_logger("info", Box::new(lines.clone())).unwrap();
    for _ in 0..50 {
        log_at(&logger, 7, "a stream was cut", &[]);
    }
    std::thread::sleep(Duration::from_millis(2_100));
    for _ in 0..2 {
        log_at(&logger, 8, "configuration changed", &[]);
    }
    let lines = lines.parse();
    let reports: Vec<&Value> = lines
        .iter()
        .filter(|line| line["message"] == "log lines suppressed")
        .collect();
    let [report] = reports.as_slice() else {
        panic!("not one report in {lines:#?}");
    };
    assert_eq!(
        (
            &report["of_target"],
            &report["of_message"],
            &report["suppressed"]
        ),
        (
            &json!("tc_caller::run"),
            &json!("a stream was cut"),
            &json!(30)
        )
    );
    assert_eq!(lines.len(), 20 + 1 + 2);
}

/// Guards against a failure that leaves no line because the same place reports many successes, or many refusals that
/// are not failures of an upstream.
#[test]
fn common_statuses_do_not_crowd_out_rare_ones() {
    for (common, rare) in [(200, 500), (503, 504), (503, 502)] {
        let lines = Lines::default();
        let logger = json_logger("info", Box::new(lines.clone())).unwrap();
        for _ in 0..50 {
            log_at(&logger, 7, "answered", &[("status", common.into())]);
        }
        log_at(&logger, 7, "answered", &[("status", rare.into())]);
        let lines = lines.parse();
        let count = |status: i32| lines.iter().filter(|l| l["status"] == status).count();
        assert!(count(common) <= 40, "{} lines", count(common));
        assert_eq!(count(rare), 1, "{rare} among many {common}");
    }
}

/// Guards against a log whose volume grows with the variety of statuses that upstreams send.
#[test]
fn volume_is_bounded_for_any_status() {
    let lines = Lines::default();
    let logger = json_logger("info", Box::new(lines.clone())).unwrap();
    let started = Instant::now();
    for status in (0..u64::from(u16::MAX)).cycle().take(200_000) {
        log_at(&logger, 7, "answered", &[("status", status.into())]);
    }
    let seconds = started.elapsed().as_secs() as usize + 1;
    let count = lines.parse().len();
    assert!(
        count <= 10 * 20 * (seconds + 1),
        "{count} lines in {seconds} s"
    );
}

#[test]
fn a_wrong_level_is_refused() {
    for level in ["loud", "info,tc_caller=loud", "", "tc_caller"] {
        assert!(json_logger(level, Box::new(io::sink())).is_err(), "{level}");
    }
    assert!(json_logger("warn, tc_caller=debug", Box::new(io::sink())).is_ok());
}

/// Guards against a call site that exceeds its limit under overload, and against suppressed lines that are not
/// reported. Any call sites log at any times, and overdue counts are taken at any times. In any second, counted from the
/// first line after a pause, there may be no more lines of a call site than its limit allows. Each suppressed line must
/// be counted once: by the next line of its call site, or as overdue.
#[test]
fn the_rate_limit_holds_for_any_sequence() {
    const LIMIT: u64 = 3;
    tc_fuzz::check(2_000, produce::<Vec<(u8, u16, bool)>>(), |steps| {
        let limiter = LogRateLimiter::new(LIMIT as u32);
        let mut now = 0;
        let mut written: Vec<Vec<u64>> = vec![Vec::new(); 4];
        let mut suppressed_lines = [0; 4];
        for (call_site, pause, takes_overdue) in steps {
            let call_site = usize::from(call_site % 4);
            now += u64::from(*pause % 700);
            if *takes_overdue {
                for (site, count) in limiter.take_overdue(MonoTime::from_millis(now)) {
                    let uncounted = &mut suppressed_lines[site as usize - 1];
                    assert!(count > 0);
                    assert_eq!(count, std::mem::take(uncounted));
                }
            }
            match limiter.admit(call_site as u64 + 1, MonoTime::from_millis(now)) {
                LogDecision::Suppress => suppressed_lines[call_site] += 1,
                LogDecision::Write { suppressed } => {
                    assert_eq!(suppressed, std::mem::take(&mut suppressed_lines[call_site]));
                    written[call_site].push(now);
                }
            }
        }
        for times in written {
            // One second can span two windows, so it has at most twice the limit.
            for (n, time) in times.iter().enumerate() {
                let in_second = times[n..].iter().take_while(|t| **t < time + 1_000).count();
                assert!(in_second as u64 <= 2 * LIMIT);
            }
        }
        let rest = limiter.take_overdue(MonoTime::from_millis(now + 5_000));
        let rest: u64 = rest.iter().map(|(_, count)| count).sum();
        assert_eq!(rest, suppressed_lines.iter().sum::<u64>());
    });
}
