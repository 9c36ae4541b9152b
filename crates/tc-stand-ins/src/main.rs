//! Starts stand-ins for trying things by hand and prints each as one JSON line.
//!
//! `tc-stand-ins [--platform IP:PORT] [--engines N] [--pools N] [--plains N] [--ip IP]`

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::ExitCode,
    time::Duration,
};

use tc_stand_ins::{
    Engine, EngineConfig, Plain, PlainConfig, Platform, Pool, PoolConfig, Recorder,
};

/// Exit code for a wrong command line.
const USAGE: u8 = 2;

/// Stand-ins to start.
struct Settings {
    platform: SocketAddr,
    upstreams: SocketAddr,
    engines: usize,
    pools: usize,
    plains: usize,
}

/// The started stand-ins; all stop when this is dropped.
struct Started {
    _platform: Platform,
    _engines: Vec<Engine>,
    _pools: Vec<Pool>,
    _plains: Vec<Plain>,
}

fn main() -> ExitCode {
    let settings = match parse(pico_args::Arguments::from_env()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("tc-stand-ins: {error}");
            return ExitCode::from(USAGE);
        }
    };
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tc-stand-ins: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse(mut args: pico_args::Arguments) -> Result<Settings, pico_args::Error> {
    let ip = args
        .opt_value_from_str("--ip")?
        .unwrap_or(IpAddr::V4(Ipv4Addr::LOCALHOST));
    let any_port = SocketAddr::new(ip, 0);
    let settings = Settings {
        platform: args.opt_value_from_str("--platform")?.unwrap_or(any_port),
        upstreams: any_port,
        engines: args.opt_value_from_str("--engines")?.unwrap_or(2),
        pools: args.opt_value_from_str("--pools")?.unwrap_or(2),
        plains: args.opt_value_from_str("--plains")?.unwrap_or(1),
    };
    match args.finish().into_iter().next() {
        None => Ok(settings),
        Some(word) => Err(pico_args::Error::ArgumentParsingFailed {
            cause: format!("unknown word {}", word.to_string_lossy()),
        }),
    }
}

#[tokio::main]
async fn run(settings: &Settings) -> std::io::Result<()> {
    let _started = start(settings).await?;
    tokio::signal::ctrl_c().await
}

async fn start(settings: &Settings) -> std::io::Result<Started> {
    let recorder = Recorder::new();
    let platform = Platform::start(settings.platform).await?;
    announce("platform", "platform", platform.address());
    let mut engines = Vec::new();
    for n in 1..=settings.engines {
        let cfg = EngineConfig {
            first_token: Duration::from_millis(40),
            per_token: Duration::from_millis(10),
            batch_slowdown: 0.05,
            ..EngineConfig::new(&format!("engine-{n}"), "generate")
        };
        let engine = Engine::start(settings.upstreams, cfg, recorder.clone()).await?;
        announce("engine", engine.id().as_str(), engine.address());
        engines.push(engine);
    }
    let mut pools = Vec::new();
    for n in 1..=settings.pools {
        let cfg = PoolConfig {
            base: Duration::from_millis(5),
            ..PoolConfig::new(&format!("pool-{n}"), "encode")
        };
        let pool = Pool::start(settings.upstreams, cfg, recorder.clone()).await?;
        announce("pool", pool.id().as_str(), pool.address());
        pools.push(pool);
    }
    let mut plains = Vec::new();
    for n in 1..=settings.plains {
        let cfg = PlainConfig::new(&format!("plain-{n}"), "records");
        let plain = Plain::start(settings.upstreams, cfg, recorder.clone()).await?;
        announce("plain", plain.id().as_str(), plain.address());
        plains.push(plain);
    }
    Ok(Started {
        _platform: platform,
        _engines: engines,
        _pools: pools,
        _plains: plains,
    })
}

fn announce(kind: &str, id: &str, address: SocketAddr) {
    let line = serde_json::json!({ "kind": kind, "id": id, "address": address });
    println!("{line}");
}
