//! State of the process on request.

use briarbank_core::hosts::Host;
use briarbank_core::node;
use serde::{Deserialize, Serialize};

/// State of a node's process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dump {
    /// State of its decisions.
    #[serde(flatten)]
    pub node: node::Dump,
    /// Tasks of calls that wait for orders.
    pub call_tasks: usize,
    /// Host list in force.
    pub hosts: Vec<Host>,
}
