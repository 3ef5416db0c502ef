//! Admission queue: who is served next, and who is given up for whom.
//!
//! Classes are served by tier and, within a tier, by deadline. Each class also
//! keeps a guaranteed share of the work served while it waits, so that the
//! lowest moves during any burst. Within a class, workspaces are served fairly
//! by weight, and one workspace's requests by deadline.
//!
//! # Bound on the wait
//!
//! With `n` classes whose shares add up to at most 1 and requests that cost at
//! most `W`, a class with share `s` that waits while work of cost `C` is served
//! gets at least `s·C − (n + 1)·W` of it. Each service adds `s` times its cost to
//! the credit of every waiting class and takes its cost from the credit of the
//! class that is served; while a class is owed its next request, an owed class is
//! served, so that the sum of all credits never passes `(n + 1)·W`.
//!
//! Costs are expected ones; [`AdmissionQueue::settle`] corrects a charge when the
//! true cost is known.
//!
//! The queue is bounded for each class and never gives up a request for one of a
//! lower tier.

mod admission;
mod class;
mod flow;

pub use admission::{AdmissionQueue, Charge, Served, Wait};
pub use class::ClassOptions;
pub use flow::QueuedCall;
