//! The home of a model service: which engine reads which prompt.
//!
//! Prompts differ by a hundred times in length and share long parts. One home that knows what it gave to each engine chooses
//! where a prompt is read soonest; with each instance choosing by its own few requests, long prompts meet at one engine
//! while eight others have nothing to read, seen as the longest tenth of the prompts in time only half as often.
//!
//! [`EnginePlanner`] only decides; whoever drives it sends the requests and tells it what became of them.

mod engine;
mod planner;
mod prefix_cache;

pub use planner::{EngineCandidate, EnginePlanner};
