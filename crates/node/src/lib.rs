//! The router daemon.
//!
//! All decisions are made by [`briarbank_core::node::Node`]: the daemon passes it
//! events and the time, and executes its actions in order.

mod actions;
mod background;
mod call;
mod caller;
mod command;
mod connect;
mod control;
mod dump;
mod error;
mod log_gate;
mod operator;
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
