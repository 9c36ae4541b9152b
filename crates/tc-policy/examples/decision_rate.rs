//! Prints the decisions per second on one core: `cargo run --release -p tc-policy --example decision_rate`.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::StdRng};
use tc_policy::{
    Home, HomeConfig, HomeEvent, HomePermitRequest, PermitDecision, UpstreamCandidate,
    choose_upstream,
};
use tc_protocol::{
    Attempt, Cost, Fingerprint, MonoTime, Outcome, PermitId, PermitRequest, Release, RunState,
    Upstream, UpstreamState, UpstreamSummary, WorkspaceName,
};

/// Number of workspaces that send requests.
const WORKSPACES: usize = 10;
/// Number of candidate upstreams.
const CANDIDATES: usize = 12;
/// Slots of the home's upstream.
const SLOTS: u32 = 8;
/// Decisions per measurement.
const ROUNDS: u32 = 1_000_000;

fn main() {
    print_rate("request and release, free slots", free_slots());
    print_rate("request and release, backlog of 10 workspaces", backlog());
    print_rate("choose of 12, by wait", choices(false));
    print_rate("choose of 12, by prefix", choices(true));
}

fn print_rate(what: &str, took: Duration) {
    let rate = f64::from(ROUNDS) / took.as_secs_f64();
    println!("{what}: {rate:.0} a second");
}

fn new_home() -> Home {
    Home::new(HomeConfig {
        slots: SLOTS,
        queue_per_workspace: 256,
        grace: Duration::from_secs(1),
        first_permit: 1,
    })
}

fn home_requests() -> Vec<HomePermitRequest> {
    (0..WORKSPACES)
        .map(|i| HomePermitRequest {
            entry: "entry-1".into(),
            workspace: WorkspaceName::from(format!("workspace-{i}")),
            weight: 1,
            priority: 3,
            slack: Duration::from_secs(1_000),
            run_for: Duration::from_secs(10),
            estimate: cost(),
            fingerprint: Fingerprint(i as u64),
            may_redirect: false,
        })
        .collect()
}

fn cost() -> Cost {
    Cost {
        busy_ms: 100.0,
        ..Cost::default()
    }
}

fn release(permit: PermitId) -> Release {
    Release {
        permit,
        outcome: Outcome::Answered,
        run_state: RunState::Ran,
        cost: cost(),
        took: Duration::from_millis(100),
        first_byte: None,
    }
}

/// Measures one request that is granted immediately, one release and one poll per round.
fn free_slots() -> Duration {
    let (mut home, requests) = (new_home(), home_requests());
    let mut now = MonoTime(1);
    let started = Instant::now();
    for round in 0..ROUNDS as usize {
        now = now.after(Duration::from_micros(10));
        let verdict = home.request_permit(now, requests[round % WORKSPACES].clone());
        let PermitDecision::Granted { permit, .. } = verdict else {
            panic!("a slot is free");
        };
        home.release(now, &release(permit));
        black_box(home.poll(now));
    }
    started.elapsed()
}

/// Measures one queued request, one release and one poll that grants another request per round.
fn backlog() -> Duration {
    let (mut home, requests) = (new_home(), home_requests());
    let mut now = MonoTime(1);
    let mut running = Vec::new();
    for round in 0..20 * WORKSPACES {
        if let PermitDecision::Granted { permit, .. } =
            home.request_permit(now, requests[round % WORKSPACES].clone())
        {
            running.push(permit);
        }
    }
    let started = Instant::now();
    for round in 0..ROUNDS as usize {
        now = now.after(Duration::from_micros(10));
        let oldest = running.swap_remove(0);
        home.release(now, &release(oldest));
        if let PermitDecision::Granted { permit, .. } =
            home.request_permit(now, requests[round % WORKSPACES].clone())
        {
            running.push(permit);
        }
        for event in home.poll(now) {
            if let HomeEvent::Granted { permit, .. } = event {
                running.push(permit);
            }
        }
    }
    started.elapsed()
}

fn choices(with_prefix: bool) -> Duration {
    let states: Vec<UpstreamState> = (0..CANDIDATES).map(upstream).collect();
    let candidates: Vec<UpstreamCandidate<'_>> = states
        .iter()
        .enumerate()
        .map(|(i, state)| UpstreamCandidate {
            state,
            summary: state.summary,
            leaving: state.leaving,
            summary_age: Duration::from_millis(50),
            own_in_flight: (i % 3) as u32,
            distance_ms: (i % 4) as f64,
        })
        .collect();
    let mut request = PermitRequest {
        request: "kl-a-1-1-1".into(),
        attempt: Attempt(0),
        workspace: "workspace-1".into(),
        service: "generate".into(),
        priority: 3,
        slack: Duration::from_secs(1),
        run_for: Duration::from_secs(10),
        estimate: cost(),
        prefix: None,
        fingerprint: Fingerprint(1),
        excluded: vec!["generate-3".into()],
    };
    let mut random = StdRng::seed_from_u64(1);
    let started = Instant::now();
    for round in 0..ROUNDS {
        request.prefix = with_prefix.then_some(u64::from(round));
        black_box(choose_upstream(&candidates, &request, &mut random));
    }
    started.elapsed()
}

fn upstream(i: usize) -> UpstreamState {
    UpstreamState {
        upstream: Upstream {
            id: format!("generate-{i}").into(),
            address: ([127, 0, 0, 1], 1).into(),
            failure_domain: "kl-a".into(),
            region: "kl".into(),
        },
        leaving: false,
        home: Some("kl-a-1".into()),
        summary: Some(UpstreamSummary {
            in_flight: (i % 5) as u32,
            concurrency: SLOTS,
            waiting: 0,
            wait_ms: 0.0,
            service_ms: 100.0 + i as f64,
            ejected: false,
        }),
    }
}
