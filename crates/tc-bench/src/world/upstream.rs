//! Upstream stand-ins of all kinds behind one handle.

use std::{net::SocketAddr, time::Duration};

use tc_protocol::{Service, ServiceKind, ServiceName, Upstream};
use tc_stand_ins::{
    Engine, EngineConfig, Plain, PlainConfig, Pool, PoolConfig, Recorder, UpstreamFaults,
};

use super::spec::Timing;
use crate::error::BenchError;

/// A running upstream; dropping it stops it.
pub(crate) struct UpstreamHandle {
    /// Its service.
    pub(crate) service: ServiceName,
    /// As configured, with the address it listens on.
    pub(crate) upstream: Upstream,
    running: Running,
}

enum Running {
    Engine(Engine),
    Pool(Pool),
    Plain(Plain),
}

impl UpstreamHandle {
    /// Starts one upstream of a service on a free loopback port.
    pub(super) async fn start(
        name: &ServiceName,
        service: &Service,
        upstream: &Upstream,
        timing: Timing,
        recorder: &Recorder,
        weights: Option<SocketAddr>,
    ) -> Result<Self, BenchError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let running = match service.kind {
            ServiceKind::Engine => {
                let cfg = EngineConfig {
                    weight_store: weights,
                    ..engine_config(name, service, upstream, timing)
                };
                Engine::start(any, cfg, recorder.clone())
                    .await
                    .map(Running::Engine)
            }
            ServiceKind::Pool => {
                let cfg = PoolConfig {
                    base: timing.base,
                    slots: service.slots,
                    load_lag: timing.load_lag,
                    ..PoolConfig::new(upstream.id.as_str(), name.as_str())
                };
                Pool::start(any, cfg, recorder.clone())
                    .await
                    .map(Running::Pool)
            }
            ServiceKind::Plain => {
                let cfg = PlainConfig {
                    work: timing.base,
                    slots: service.slots,
                    load_lag: timing.load_lag,
                    ..PlainConfig::new(upstream.id.as_str(), name.as_str())
                };
                Plain::start(any, cfg, recorder.clone())
                    .await
                    .map(Running::Plain)
            }
        }
        .map_err(|e| BenchError::world("a stand-in cannot listen", e))?;
        let mut handle = Self {
            service: name.clone(),
            upstream: upstream.clone(),
            running,
        };
        handle.upstream.address = handle.address();
        Ok(handle)
    }

    /// Its fault switches.
    pub(crate) fn faults(&self) -> &UpstreamFaults {
        match &self.running {
            Running::Engine(engine) => engine.faults(),
            Running::Pool(pool) => pool.faults(),
            Running::Plain(plain) => plain.faults(),
        }
    }

    fn address(&self) -> SocketAddr {
        match &self.running {
            Running::Engine(engine) => engine.address(),
            Running::Pool(pool) => pool.address(),
            Running::Plain(plain) => plain.address(),
        }
    }
}

fn engine_config(
    name: &ServiceName,
    service: &Service,
    upstream: &Upstream,
    timing: Timing,
) -> EngineConfig {
    EngineConfig {
        slots: service.slots,
        first_token: timing.base,
        per_token: timing.per_token,
        per_prompt_token: Duration::ZERO,
        batch_slowdown: 0.0,
        load_lag: timing.load_lag,
        checks_orders: service.checks_orders,
        ..EngineConfig::new(upstream.id.as_str(), name.as_str())
    }
}
