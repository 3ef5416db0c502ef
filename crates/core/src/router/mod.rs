//! Who is served, where, when, and when to say no, within one node.
//!
//! A state machine without input or output: events go in with the time, and
//! actions come out. The caller carries out the actions in their order.

mod event;
mod state;

pub use event::{Action, AttemptEvent, Event};
pub use state::{Options, Router};
