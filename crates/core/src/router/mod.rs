//! Admission, dispatch, retries and refusal of calls within one node.
//!
//! A state machine without input or output: events go in with the current time,
//! and actions come out. The caller executes the actions in order and sends
//! [`Event::Tick`] regularly. Every call that arrives gets exactly one final
//! action, [`Action::Refuse`] or [`Action::End`].

mod admit;
mod attempt;
mod entry;
mod event;
mod index;
mod migrate;
mod options;
mod preempt;
mod serve;
mod server;
mod servers;
mod state;
mod trial;
mod waiting;

pub use event::{Action, AttemptEvent, Event};
pub use options::Options;
pub use state::{Counters, Router};
