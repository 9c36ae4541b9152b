//! The HTTP layer: routes, headers, bodies, responses and problem details.

mod addresses;
mod auth;
mod body;
mod caller;
mod failure;
mod handle;
mod headers;
mod keyed;
mod pipelines;
mod response;
mod route;
mod services;

pub(crate) use auth::TokenIndex;
pub(crate) use failure::Failure;
pub(crate) use handle::handle;
pub(crate) use headers::{Binding, CallHeaders, ResumeFrom};
pub(crate) use response::{CallerBody, CallerResponse, json_response, problem_response};
