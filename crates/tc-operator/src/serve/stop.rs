//! The planned stop: nobody is sent here any more, everyone who came is served.

use std::time::Duration;

use tc_protocol::TcError;
use tokio::{task::JoinHandle, time::Instant};
use tokio_util::sync::CancellationToken;

use super::{control::Running, internal, signals::StopSignals};

/// Added to the addresses' max-age: the time a change of membership may take to reach every instance that answers with
/// addresses.
const SPREAD: Duration = Duration::from_secs(2);

/// Waits for a signal, then stops step by step; a second signal or the limit ends it at once.
pub(super) async fn wait_and_stop(
    running: &Running,
    limit: Duration,
    stop: CancellationToken,
    mut served: JoinHandle<()>,
) -> Result<(), Box<TcError>> {
    let mut signals = StopSignals::new().map_err(internal)?;
    signals.next().await;
    let deadline = Instant::now() + limit;
    log::info!(in_flight = running.caller.in_flight(); "stopping: leaving the address answers");
    running.fleet.leave();
    running.caller.close_connections();
    tokio::select! {
        () = wait_out_addresses(running, deadline) => {}
        () = signals.next() => return Err(cut(running, "a second signal came")),
    }
    log::info!(in_flight = running.caller.in_flight(); "stopping: finishing requests");
    stop.cancel();
    tokio::select! {
        _ = &mut served => {
            log::info!("stopped, nothing was cut off");
            Ok(())
        }
        () = tokio::time::sleep_until(deadline) => Err(cut(running, "the limit was reached")),
        () = signals.next() => Err(cut(running, "a second signal came")),
    }
}

/// Callers may keep an address answer for its max-age: until then they connect here.
async fn wait_out_addresses(running: &Running, deadline: Instant) {
    let view = running.fleet.view();
    let alone = view.members.len() < 2;
    let max_age = Duration::from_secs(view.config.policy.address_max_age_s);
    let wait = if alone {
        Duration::ZERO
    } else {
        max_age + SPREAD
    };
    tokio::time::sleep_until((Instant::now() + wait).min(deadline)).await;
}

fn cut(running: &Running, why: &str) -> Box<TcError> {
    let cut = running.caller.in_flight();
    log::error!(cut; "stopped at once because {why}");
    Box::new(TcError::Internal {
        problem: format!("{why}: {cut} requests were cut off"),
    })
}
