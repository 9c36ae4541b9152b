//! Pure decisions under load: queueing, concurrency, estimates, budgets, choice of upstream, limits.
