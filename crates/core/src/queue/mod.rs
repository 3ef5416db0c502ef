//! Admission queue: the order in which calls are served and shed.
//!
//! Classes are served by tier and, within a tier, by deadline. While it has queued
//! calls, each class also gets a guaranteed share of the work served, so that the
//! lowest tier makes progress during any burst. Within a class, workspaces are served
//! fairly by weight, and the calls of one workspace by deadline.
//!
//! # Bound on the lag
//!
//! With `n` classes whose shares add up to at most 1 and calls that cost at most `W`,
//! a class with share `s` that has queued calls while work of cost `C` is served gets
//! at least `s·C − (n + 1)·W` of it. Each served call adds `s` times its cost to the
//! credit of every class with queued calls and subtracts its cost from the credit of
//! its own class. As long as the credit of some class covers its next call, such a
//! class is served, so that the sum of all credits never exceeds `(n + 1)·W`.
//!
//! Costs are predictions; [`AdmissionQueue::settle`] corrects a charge once the actual
//! cost is known.
//!
//! The queue is bounded for each class and never sheds a call in favor of one of a
//! lower tier.

mod admission;
mod class;
mod flow;

pub use admission::{AdmissionQueue, Charge, ChargedCall, WorkAhead};
pub use class::ClassOptions;
pub use flow::QueuedCall;
