//! Homes of the upstreams that are assigned to this instance, which grants the permits for them.

mod actor;
mod local_home;

pub(crate) use actor::{HomesActor, HomesArgs, HomesMsg};
pub(crate) use local_home::{HomeAnswer, HomeRequest, HomeVerdict, KnownUpstream, ReplyTo};
