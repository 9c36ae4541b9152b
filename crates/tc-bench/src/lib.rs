//! Load and experiment tool: demo, scenarios, comparison and plots.
