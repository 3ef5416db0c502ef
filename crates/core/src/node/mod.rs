//! State machine of one node.
//!
//! [`Node`] combines the router, the ownership of request ids, membership and
//! the published values. The daemon passes it events and carries out its
//! actions in order; it makes no decisions of its own.

mod calls;
mod control;
mod event;
mod owned;
mod state;

pub use event::{Action, Event, Origin};
pub use state::{Dump, Identity, Node, Options, RefusedDump};
