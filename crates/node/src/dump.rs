//! State of the process on request.

use briarbank_core::conf::Key;
use briarbank_core::hosts::Host;
use briarbank_core::ids::{HostName, Revision};
use briarbank_core::node::Node;
use serde::{Deserialize, Serialize};

use crate::actions::Actions;

/// Adopted revision of one published value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Adopted {
    /// Which value.
    pub key: Key,
    /// Its revision, 0 before the first.
    pub revision: Revision,
}

/// State of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Dump {
    /// Name in the host list.
    pub host: HostName,
    /// Whether it serves callers.
    pub ready: bool,
    /// Calls that wait or run.
    pub calls: usize,
    /// Published values in force.
    pub values: Vec<Adopted>,
    /// Host list in force.
    pub hosts: Vec<Host>,
}

impl Dump {
    pub(crate) fn new(node: &Node, actions: &Actions) -> Self {
        let adopted = |key| Adopted {
            key,
            revision: node.revision(key),
        };
        Self {
            host: actions.host().clone(),
            ready: node.ready(),
            calls: actions.calls(),
            values: Key::ALL.map(adopted).to_vec(),
            hosts: node.hosts().hosts.clone(),
        }
    }
}
