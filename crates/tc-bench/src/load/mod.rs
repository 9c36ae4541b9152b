//! Open-loop load: requests leave when they are due, however slow the answers are.

mod addresses;
mod caller;
mod content;
mod direct;
mod flow;
mod http;
mod plan;
mod progress;
mod runner;
mod stream;

pub(crate) use caller::{Binding, Caller, Expected, Request};
pub(crate) use content::{expected_pipeline, request, token};
pub(crate) use direct::{DIRECT_PREFIX, direct_pipeline};
pub(crate) use flow::{Flow, Resend, What, steady_flow};
pub(crate) use http::{Http, get_text, http_client};
pub(crate) use progress::say;
pub(crate) use runner::{Load, run_load};
