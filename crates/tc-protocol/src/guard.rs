//! RAII guards that release a held resource when dropped.

use std::fmt;

use crate::{Cost, Grant, Outcome, Release, RunState};
use std::time::Duration;

type OnRelease = Box<dyn FnOnce(Release) + Send>;

/// A granted permit; dropping it without [`Permit::settle`] releases it as unused.
///
/// Without the release on drop, a cancelled task would leak the permit: the home would count a nonexistent call as in
/// flight until the permit expires, and the upstream would never reach its full concurrency.
pub struct Permit {
    grant: Grant,
    selection_reason: String,
    on_release: Option<OnRelease>,
}

impl Permit {
    /// Wraps a grant; `on_release` is called exactly once. `selection_reason` explains why the upstream was selected.
    pub fn new(
        grant: Grant,
        selection_reason: String,
        on_release: impl FnOnce(Release) + Send + 'static,
    ) -> Self {
        Self {
            grant,
            selection_reason,
            on_release: Some(Box::new(on_release)),
        }
    }

    /// Returns the grant.
    #[must_use]
    pub fn grant(&self) -> &Grant {
        &self.grant
    }

    /// Returns why this upstream was selected, as text for people to read.
    #[must_use]
    pub fn selection_reason(&self) -> &str {
        &self.selection_reason
    }

    /// Releases the permit and reports how the call ended.
    pub fn settle(
        mut self,
        outcome: Outcome,
        run_state: RunState,
        cost: Cost,
        took: Duration,
        first_byte: Option<Duration>,
    ) {
        let permit = self.grant.permit;
        self.release(Release {
            permit,
            outcome,
            run_state,
            cost,
            took,
            first_byte,
        });
    }

    fn release(&mut self, release: Release) {
        if let Some(on_release) = self.on_release.take() {
            on_release(release);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let permit = self.grant.permit;
        self.release(Release {
            permit,
            outcome: Outcome::Unused,
            run_state: RunState::NotRun,
            cost: Cost::default(),
            took: Duration::ZERO,
            first_byte: None,
        });
    }
}

impl fmt::Debug for Permit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Permit")
            .field("grant", &self.grant)
            .finish_non_exhaustive()
    }
}

/// Counts one request towards the limits of its workspace; dropping the guard frees its concurrency slot.
pub struct WorkspaceLimitGuard {
    on_end: Option<Box<dyn FnOnce(f64) + Send>>,
    cost_units: f64,
}

impl WorkspaceLimitGuard {
    /// Creates a guard; `on_end` is called exactly once with the cost units the request used.
    pub fn new(on_end: impl FnOnce(f64) + Send + 'static) -> Self {
        Self {
            on_end: Some(Box::new(on_end)),
            cost_units: 0.0,
        }
    }

    /// Adds cost units used by the request; they are charged when the guard is dropped.
    pub fn charge(&mut self, cost_units: f64) {
        self.cost_units += cost_units;
    }
}

impl Drop for WorkspaceLimitGuard {
    fn drop(&mut self) {
        if let Some(on_end) = self.on_end.take() {
            on_end(self.cost_units);
        }
    }
}

impl fmt::Debug for WorkspaceLimitGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("WorkspaceLimitGuard")
            .field("cost_units", &self.cost_units)
            .finish_non_exhaustive()
    }
}
