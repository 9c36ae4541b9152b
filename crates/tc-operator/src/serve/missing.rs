//! Says in the log what an instance lacks to serve.

use std::time::Duration;

use super::control::Running;

/// Time after its start within which an instance should have a configuration.
const FIRST_LOOK: Duration = Duration::from_secs(2);
/// Interval at which missing prerequisites are logged again.
const REPEAT: Duration = Duration::from_secs(30);

/// Warns as long as no configuration is in force, or none of the seeds has been found.
///
/// Without a configuration every caller is refused as not ready. Without the others the instance serves as a fleet of
/// its own and grants places on upstreams beside theirs, as one does that was given another fleet key. Both look healthy
/// in a log that says nothing, and would be noticed by callers only.
pub(super) async fn warn_while_missing(running: Running, seeded: bool) {
    tokio::time::sleep(FIRST_LOOK).await;
    loop {
        let view = running.fleet.view();
        let without_config = view.config.revision == 0;
        let alone = seeded && view.members.len() < 2;
        if without_config {
            log::warn!("no configuration yet: {}", why_none(&running));
        }
        if alone {
            log::warn!(
                "no other instance is known: check that --seeds names live ones, that UDP and TCP pass, and that \
                 TANAGERCROFT_FLEET_KEY is theirs"
            );
        }
        if !without_config && !alone {
            return;
        }
        tokio::time::sleep(REPEAT).await;
    }
}

fn why_none(running: &Running) -> &'static str {
    if running.store.health().reachable {
        "the platform has none; bring one into force with `config apply`"
    } else {
        "the platform cannot be reached and no other instance has given one; check --platform and --seeds"
    }
}
