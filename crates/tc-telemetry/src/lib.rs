//! Sets up JSON-line logs, metrics and traces.
