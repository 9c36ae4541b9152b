//! `tc-bench demo`

use std::{collections::BTreeMap, time::Duration};

use pico_args::Arguments;

use super::{Command, block_on, finish, run::DEFAULT_SEED, run::option};
use crate::{
    error::BenchError,
    judge::{CallRecord, Told},
    load::{Caller, Flow, What, say},
    measure::{Latencies, RunReport},
    scenario::example_flows,
    world::{PolicyChoice, Run, World, example_spec},
};

/// Default duration of the load, in seconds.
const USUAL_SECONDS: f64 = 6.0;
/// Part of the example load that is sent.
const SCALE: f64 = 0.5;
/// Words of the streamed answer that are shown.
const SHOWN_CHARS: usize = 72;

pub(super) const COMMAND: Command = Command {
    name: "demo",
    usage: "demo [--seconds N] [--seed N]",
    about: "Serves both examples on eight instances, sends requests of all kinds, and checks every answer.",
    run,
};

fn run(mut args: Arguments) -> Result<bool, BenchError> {
    let seconds: f64 = option(&mut args, "--seconds")?.unwrap_or(USUAL_SECONDS);
    let seed: u64 = option(&mut args, "--seed")?.unwrap_or(DEFAULT_SEED);
    finish(args)?;
    block_on(demo(Duration::from_secs_f64(seconds), seed))
}

async fn demo(length: Duration, seed: u64) -> Result<bool, BenchError> {
    say("starting stand-ins and eight instances");
    let mut world = World::start(example_spec(PolicyChoice::Home)?).await?;
    say("");
    println!(
        "{} instances, {} upstream stand-ins, configuration revision 1 in force",
        world.instances.len(),
        world.upstreams.len()
    );
    show_stream(&world).await;
    let flows: Vec<Flow> = example_flows(length, SCALE);
    let run = world.run_quiet("demo", seed, flows).await;
    print_kinds(&run);
    let report = run.report("");
    println!(
        "{} requests: {:.2} % answered whole in deadline; {} doubled, {} lost, {} mixed, {} falsely \"not run\"",
        report.requests,
        report.attainment * 100.0,
        report.doubled,
        report.lost,
        report.mixed,
        report.false_not_run
    );
    for note in &report.notes {
        println!("  {note}");
    }
    Ok(is_right(&report, &run.records))
}

/// Shows one live stream of the public timeline.
async fn show_stream(world: &World) {
    let flow = Flow::new("lintas-noc", What::Stream("live-timeline".into())).timeout_ms(3_000);
    let caller = Caller::new(
        "lintas-noc",
        &crate::load::token(&flow.workspace),
        world.entries(),
    );
    let request = crate::load::request(&world.config, &flow, "demo-live", 0, 0);
    let reply = caller.send(&request, std::time::Instant::now()).await;
    let shown: String = reply.text.chars().take(SHOWN_CHARS).collect();
    println!(
        "live timeline: {} events, first after {:.0} ms, via {}: {shown}...",
        reply.event_ids.len(),
        reply.first_ms.unwrap_or(0.0),
        reply
            .instance
            .as_ref()
            .map_or("nobody", tc_protocol::InstanceId::as_str),
    );
}

fn print_kinds(run: &Run<()>) {
    let mut kinds: BTreeMap<(&str, &str), Vec<&CallRecord>> = BTreeMap::new();
    for record in &run.records {
        kinds
            .entry((record.workspace.as_str(), &record.target))
            .or_default()
            .push(record);
    }
    println!(
        "{:<22} {:<28} {:>5} {:>6} {:>8} {:>8}",
        "workspace", "request", "sent", "right", "p50 ms", "p99 ms"
    );
    for ((workspace, target), records) in kinds {
        let latencies = Latencies::of(records.iter().map(|r| r.took_ms));
        println!(
            "{workspace:<22} {target:<28} {:>5} {:>6} {:>8.1} {:>8.1}",
            records.len(),
            records.iter().filter(|r| r.met()).count(),
            latencies.quantile_ms(0.5),
            latencies.quantile_ms(0.99)
        );
    }
}

/// No promise was broken, and whatever was not answered was refused truthfully with a status.
fn is_right(report: &RunReport, records: &[CallRecord]) -> bool {
    let broken = report.doubled + report.lost + report.mixed + report.false_not_run;
    let answered = records
        .iter()
        .any(|r| r.told == Told::Answered { right: true });
    broken == 0 && answered
}
