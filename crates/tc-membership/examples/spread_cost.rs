//! Measures the membership state machines in simulated time: messages sent, and how fast changes
//! propagate.
//!
//! Prints one JSON object per fleet size. Links delay messages by up to 2 ms, and a configuration
//! pull takes 3 ms. Sockets, codecs and CPU time are not covered.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use serde_json::json;
use support::{Net, id};
use tc_membership::MembershipConfig;
use tc_protocol::MemberState;

const SIZES: [usize; 4] = [8, 32, 128, 360];
const WARM_UP: Duration = Duration::from_mins(1);
const WINDOW: Duration = Duration::from_mins(1);
/// Simulated instance-seconds spent looking for false suspicions at each fleet size.
const LOSSY_INSTANCE_S: u64 = 40_000;
const TIME_LIMIT: Duration = Duration::from_mins(10);
/// Size of one record on the wire, as assumed by the bandwidth budget.
const RECORD_BYTES: f64 = 90.0;
/// IP and UDP headers, the authentication tag and the message's own fields.
const MESSAGE_BYTES: f64 = 28.0 + 32.0 + 16.0;

fn main() {
    for size in SIZES {
        let seeds = if size <= 32 { 100 } else { 3 };
        println!("{}", measure(size, seeds));
    }
}

fn settled(size: usize, seed: u64) -> Net {
    let mut net = Net::joined(size, MembershipConfig::default(), seed);
    net.run(WARM_UP, |_, _, _| {});
    net
}

fn measure(size: usize, seeds: u64) -> serde_json::Value {
    let (messages, records) = idle_cost(size);
    let mut crashes = Vec::new();
    let mut revisions = Vec::new();
    let mut reports = Vec::new();
    for seed in 0..seeds {
        let mut net = settled(size, seed);
        net.publish(0, 1);
        let activation_time = net.run_until(TIME_LIMIT, |net| {
            net.nodes.iter().all(|n| n.puller.active_revision() == 1)
        });
        let report_time = net.run_until(TIME_LIMIT, |net| {
            net.nodes
                .iter()
                .all(|n| n.membership.lowest_revision() == 1)
        });
        revisions.push(activation_time.unwrap_or(TIME_LIMIT));
        reports.push(activation_time.unwrap_or(TIME_LIMIT) + report_time.unwrap_or(TIME_LIMIT));
        crashes.push(crash_detection_time(&mut net, size / 2));
    }
    let (suspicions, false_deaths) = false_suspicions(size);
    json!({
        "instances": size,
        "messages_per_s": messages,
        "records_per_s": records,
        "bytes_per_s": messages * MESSAGE_BYTES + records * RECORD_BYTES,
        "runs": seeds,
        "crash_known_by_all_s": percentiles(crashes),
        "revision_in_force_at_all_s": percentiles(revisions),
        "lowest_revision_known_by_all_s": percentiles(reports),
        "refuted_suspicions_per_instance_hour_at_1_percent_loss": suspicions,
        "live_called_dead_at_1_percent_loss": false_deaths,
    })
}

/// Returns the messages and records sent per instance and second while nothing happens.
fn idle_cost(size: usize) -> (f64, f64) {
    let mut net = settled(size, 1);
    let (messages, records) = (net.messages, net.records);
    net.run(WINDOW, |_, _, _| {});
    let per = size as f64 * WINDOW.as_secs_f64();
    let sent = (net.messages - messages) as f64 / per;
    (sent, (net.records - records) as f64 / per)
}

fn crash_detection_time(net: &mut Net, index: usize) -> Duration {
    net.crash(index);
    let crashed = id(index);
    let knows = |net: &Net, i: usize| {
        let members = net.nodes[i].membership.members();
        members
            .iter()
            .any(|m| m.id == crashed && m.state == MemberState::Dead)
    };
    let all = |net: &Net| (0..net.nodes.len()).all(|i| i == index || knows(net, i));
    net.run_until(TIME_LIMIT, all).unwrap_or(TIME_LIMIT)
}

/// Returns the suspicions refuted per instance and hour, and how often a live instance was
/// considered dead, sampled every second.
fn false_suspicions(size: usize) -> (f64, usize) {
    let mut net = settled(size, 2);
    net.links.loss = 0.01;
    let mut false_deaths = 0;
    let seconds = LOSSY_INSTANCE_S / size as u64;
    for _ in 0..seconds {
        net.run(Duration::from_secs(1), |_, _, _| {});
        let members = net.nodes.iter().flat_map(|n| n.membership.members());
        false_deaths += members.filter(|m| m.state == MemberState::Dead).count();
    }
    let own = |i: usize| {
        net.nodes[i]
            .membership
            .records()
            .into_iter()
            .find(|r| r.member.id == id(i))
    };
    let refuted: u32 = (0..size).filter_map(own).map(|r| r.refutation).sum();
    (
        f64::from(refuted) * 3600.0 / (seconds as f64 * size as f64),
        false_deaths,
    )
}

fn percentiles(mut times: Vec<Duration>) -> serde_json::Value {
    times.sort_unstable();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_secs_f64();
    json!({ "median": at(0.5), "p95": at(0.95), "max": at(1.0) })
}
