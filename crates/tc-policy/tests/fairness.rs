//! Tests that one workspace's burst does not delay others, and that capacity is shared by weight.

mod support;

use std::time::Duration;

use support::{
    answered, at, granted, home, ms, request,
    traffic::{Traffic, simulate},
};
use tc_policy::{HomeEvent, PermitDecision};

/// Largest allowed ratio of the small workspaces' p99 with and without another workspace's burst.
const MAX_P99_RATIO: f64 = 1.25;

const fn traffic(name: &'static str, calls_per_s: f64, service_ms: f64) -> Traffic {
    Traffic {
        name,
        weight: 1,
        calls_per_s,
        service_ms,
        slack: ms(2_000),
    }
}

/// Guards against the small workspaces' p99 growing to several times its normal value while a large one bursts.
///
/// Queue order is fair only among waiting requests, not against running calls. When the small workspaces pause for a
/// moment, the large one, with ten times its share of calls waiting, takes every slot. The next small call is first
/// in the queue, but has to wait until one of the large calls ends.
#[test]
fn burst_keeps_p99_of_small_workspaces() {
    // Slots, calls per second of each small workspace, service time of the bursting one (100 ms for the small ones),
    // and seconds to run. This gives about 1,500 small calls, so that 15 of them are beyond the p99.
    let cases = [
        (8, 1.0, 100.0, 400),
        (8, 2.0, 100.0, 200),
        (8, 4.0, 100.0, 100),
        (16, 4.0, 100.0, 100),
        (8, 1.0, 1_000.0, 400),
        (8, 2.0, 1_000.0, 200),
        (16, 4.0, 1_000.0, 100),
        (32, 8.0, 1_000.0, 50),
    ];
    for (slots, rate, service_ms, seconds) in cases {
        let duration = Duration::from_secs(seconds);
        let small = ["a", "b", "c", "d"];
        let mut all = small.map(|name| traffic(name, rate, 100.0)).to_vec();
        let alone = simulate(1, slots, &all, duration);
        // With five workspaces of equal weight, ten times the share is twice the capacity.
        let twice_capacity = f64::from(slots) * 2_000.0 / service_ms;
        all.push(traffic("large", twice_capacity, service_ms));
        let burst = simulate(1, slots, &all, duration);
        let p99_ratio = burst.p99(&small) / alone.p99(&small);
        assert!(
            p99_ratio <= MAX_P99_RATIO,
            "p99 x {p99_ratio:.2} with {slots} slots, {rate}/s, calls of {service_ms} ms"
        );
        assert!(small.iter().all(|name| !burst.refused.contains_key(name)));
        assert!(burst.refused.contains_key("large"));
    }
}

#[test]
fn overload_shares_the_capacity_by_weight() {
    let (slots, duration) = (8, Duration::from_secs(100));
    let mut all = ["a", "b", "c", "d"].map(|name| traffic(name, 64.0, 100.0));
    all[3].weight = 3;
    let observed = simulate(1, slots, &all, duration);
    let total: f64 = observed.served_ms.values().sum();
    let capacity = f64::from(slots) * duration.as_secs_f64() * 1_000.0;
    assert!(
        total >= 0.97 * capacity,
        "used {:.3} of the capacity",
        total / capacity
    );
    for one in all {
        let share = observed.served_ms[one.name] / total;
        let fair = f64::from(one.weight) / 6.0;
        assert!(
            (share / fair - 1.0).abs() < 0.05,
            "{} got a share of {share:.3}",
            one.name
        );
    }
}

#[test]
fn single_workspace_uses_every_slot() {
    let duration = Duration::from_secs(100);
    let observed = simulate(1, 8, &[traffic("only", 160.0, 100.0)], duration);
    assert!(observed.served_ms["only"] >= 0.99 * 8.0 * duration.as_secs_f64() * 1_000.0);
}

/// Guards against a workspace that starves the others when it returns from a long idle time. This happens if idle time
/// counts as credit. Here, one workspace runs alone for a while before another one sends many requests.
#[test]
fn idle_time_earns_no_credit() {
    let mut home = home(1);
    let mut now = at(1);
    granted(&mut home, now, request("late"));
    now = at(2);
    let first = home.permits().next().expect("it runs").permit;
    home.release(now, &answered(first, ms(1)));
    for _ in 0..200 {
        now = now.after(ms(10));
        let permit = granted(&mut home, now, request("busy"));
        now = now.after(ms(100));
        home.release(now, &answered(permit, ms(100)));
    }
    let running = granted(&mut home, now, request("busy"));
    let mut late = Vec::new();
    for _ in 0..20 {
        for workspace in ["late", "busy"] {
            let PermitDecision::Queued(key) = home.request_permit(now, patient_request(workspace))
            else {
                panic!("one slot, one running");
            };
            if workspace == "late" {
                late.push(key);
            }
        }
    }
    let mut running = running;
    let mut granted_to_late = 0;
    for _ in 0..20 {
        now = now.after(ms(100));
        home.release(now, &answered(running, ms(100)));
        for event in home.poll(now) {
            if let HomeEvent::Granted {
                request, permit, ..
            } = event
            {
                running = permit;
                granted_to_late += usize::from(late.contains(&request));
            }
        }
    }
    assert!(
        (9..=11).contains(&granted_to_late),
        "{granted_to_late} of 20"
    );
}

fn patient_request(workspace: &str) -> tc_policy::HomePermitRequest {
    let mut new = request(workspace);
    new.slack = ms(60_000);
    new
}

#[test]
fn within_a_workspace_order_is_by_priority_then_slack() {
    let mut home = home(1);
    let running = granted(&mut home, at(1), request("a"));
    // Priority, slack in milliseconds, position in the order of grants.
    let table = [(3, 500, 3), (1, 900, 1), (3, 400, 2), (0, 950, 0)];
    let mut expected = [None; 4];
    for (priority, slack, position) in table {
        let mut new = request("a");
        new.priority = priority;
        new.slack = ms(slack);
        let PermitDecision::Queued(key) = home.request_permit(at(1), new) else {
            panic!("one slot, one running");
        };
        expected[position] = Some(key);
    }
    let mut running = running;
    for (position, key) in expected.into_iter().enumerate() {
        let now = at(10 + position as u64 * 10);
        home.release(now, &answered(running, ms(10)));
        let events = home.poll(now);
        let [
            HomeEvent::Granted {
                request, permit, ..
            },
        ] = events[..]
        else {
            panic!("one grant, not {events:?}");
        };
        assert_eq!(Some(request), key, "position {position}");
        running = permit;
    }
}

#[test]
fn new_workspace_waits_at_most_one_call_of_each_competitor() {
    for competitors in [1_u64, 2, 5, 10] {
        let mut home = home(1);
        let mut running = granted(&mut home, at(1), request("busy-0"));
        for competitor in 0..competitors {
            for _ in 0..50 {
                home.request_permit(at(1), patient_request(&format!("busy-{competitor}")));
            }
        }
        // Some calls run before, so that virtual time has advanced when the newcomer arrives.
        let mut now = at(1);
        let mut newcomer = None;
        let mut calls_before = 0;
        for round in 0..10 + competitors {
            now = now.after(ms(100));
            home.release(now, &answered(running, ms(100)));
            if round == 10 {
                newcomer = match home.request_permit(now, patient_request("newcomer")) {
                    PermitDecision::Queued(key) => Some(key),
                    other => panic!("others wait: {other:?}"),
                };
            }
            for event in home.poll(now) {
                if let HomeEvent::Granted {
                    request, permit, ..
                } = event
                {
                    running = permit;
                    calls_before += u64::from(newcomer.is_some());
                    newcomer = newcomer.filter(|&key| key != request);
                }
            }
        }
        assert!(
            newcomer.is_none(),
            "still waiting after {calls_before} calls with {competitors} competitors"
        );
    }
}
