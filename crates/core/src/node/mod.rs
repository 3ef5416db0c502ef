//! All decisions of one node, composed.
//!
//! [`Node`] joins the router, the ownership of request ids, membership and
//! the published values. The daemon feeds it events and carries out its
//! actions in their order; it adds no decision of its own.

mod calls;
mod control;
mod event;
mod owned;
mod state;

pub use event::{Action, Event, Origin};
pub use state::{Dump, Identity, Node, Options, RefusedDump};
