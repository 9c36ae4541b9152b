//! Says in the log what an instance lacks to serve.

use std::time::Duration;

use super::control::Running;

/// How soon after its start an instance should have a configuration.
const FIRST_LOOK: Duration = Duration::from_secs(2);
/// How often what is missing is said again.
const REPEAT: Duration = Duration::from_secs(30);

/// Warns as long as no configuration is in force.
///
/// Without one every caller is refused as not ready. An instance that says nothing looks healthy in its log, and one
/// notices by its callers only.
pub(super) async fn warn_while_missing(running: Running) {
    tokio::time::sleep(FIRST_LOOK).await;
    while running.fleet.view().config.revision == 0 {
        let store = running.store.health();
        if store.reachable {
            log::warn!(
                "no configuration yet: the platform has none; bring one into force with `config apply`"
            );
        } else {
            log::warn!(
                "no configuration yet: the platform cannot be reached and no other instance has given one; check \
                 --platform and --seeds"
            );
        }
        tokio::time::sleep(REPEAT).await;
    }
}
