//! Engine selection for prompts: the homes of model services, and the runs on the engines they choose.

mod homes;
mod reports;
mod request;

pub(crate) use homes::EngineHomes;
pub(crate) use reports::{EngineRun, RunReportSender};
pub(crate) use request::request_engine;
