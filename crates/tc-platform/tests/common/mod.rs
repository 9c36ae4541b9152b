//! Platform stand-in and store clients for tests.

use std::time::Duration;

use tc_platform::{Store, StoreSettings};
use tc_stand_ins::Platform;

/// Maximum duration of a store call.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(300);

pub(crate) async fn platform() -> Platform {
    let platform = Platform::start(([127, 0, 0, 1], 0).into()).await.unwrap();
    platform.faults().set_rate_limits(None);
    platform
}

pub(crate) fn store(platform: &Platform) -> Store {
    Store::new(settings(platform))
}

pub(crate) fn settings(platform: &Platform) -> StoreSettings {
    StoreSettings {
        address: platform.address(),
        calls_per_s: 10_000.0,
        timeout: TIMEOUT,
    }
}
