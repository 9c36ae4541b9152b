//! Engines for prompts: the homes of model services, and the runs at engines that they chose.

mod ask;
mod homes;
mod news;

pub(crate) use ask::ask_for_engine;
pub(crate) use homes::EngineHomes;
pub(crate) use news::{EngineRun, NewsSender};
