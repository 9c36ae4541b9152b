//! A server that plays back raw bytes, for answers that no HTTP library would write.

mod request;
mod script;
mod server;

pub use request::Received;
pub use script::{Script, Step, whole_answer};
pub use server::{Hold, ScriptedServer};
