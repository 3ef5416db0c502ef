//! The router daemon.
//!
//! It adds nothing to a decision: it feeds [`briarbank_core::node::Node`] with
//! events and the time, and carries out its actions in their order.

mod actions;
mod background;
mod call;
mod caller;
mod connect;
mod control;
mod dump;
mod error;
mod operator;
mod order;
mod peer;
mod platform;
mod progress;
mod recorder;
mod refusal;
mod run;
mod server;
mod view;

pub use caller::{CallerHeaders, HeaderError, ModelCall};
pub use dump::Dump;
pub use error::Error;
pub use platform::{Error as PlatformError, HttpPlatform, Platform, PublishedValue, ValueQuery};
pub use run::{run, run_with_platform};
pub use server::{
    AnswerStream, EventError, EventReader, NotRun, ServerEvent, ServerHead, StreamEnd, StreamPart,
};
