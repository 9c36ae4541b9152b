//! Homes: this instance grants the permits of the upstreams that are placed on it.

mod actor;
mod slot;

pub(crate) use actor::{HomesActor, HomesArgs, HomesMsg};
pub(crate) use slot::{HomeAnswer, HomeAsk, HomeVerdict, KnownUpstream, ReplyTo};
