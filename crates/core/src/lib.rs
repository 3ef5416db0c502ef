//! Sans-I/O core of a router for language-model traffic.
//!
//! Every module is a state machine or a plain data structure: time, events
//! and random seeds are passed in, and actions are returned. Nothing in this
//! crate opens a socket, reads a clock or spawns a task, so that each module can
//! be embedded and tested on its own.

pub mod balance;
pub mod budget;
pub mod call;
pub mod catalog;
pub mod conf;
pub mod division;
pub mod estimate;
pub mod flow;
pub mod hosts;
pub mod ids;
pub mod limiter;
pub mod load;
pub mod log_budget;
pub mod machine;
pub mod member;
pub mod node;
pub mod occupancy;
pub mod outlier;
mod overlay;
pub mod owner;
pub mod peer;
pub mod quantile;
pub mod queue;
pub mod rendezvous;
pub mod router;
pub mod subset;
mod timer;
