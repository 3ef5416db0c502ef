//! When a process that has just started may confirm owners.

use std::collections::BTreeMap;

use crate::hosts::HostView;
use crate::ids::{HostName, Revision};

/// What one other host said.
#[derive(Clone, Copy, Debug)]
struct Heard {
    view: Revision,
    joined: bool,
}

/// Learning, after a start with empty memory, that no newer host list is in use.
///
/// The platform's replica may be stale, so a process has to hear from a
/// majority of hosts that have joined, or from all others, that none has a
/// newer list.
#[derive(Debug, Default)]
pub(crate) struct Join {
    heard: BTreeMap<HostName, Heard>,
    joined: bool,
}

impl Join {
    /// Whether the process may confirm owners.
    pub(crate) fn is_joined(&self) -> bool {
        self.joined
    }

    /// Hosts that have not answered yet.
    pub(crate) fn missing<'a>(
        &'a self,
        view: &'a HostView,
        me: &'a HostName,
    ) -> impl Iterator<Item = &'a HostName> {
        view.hosts
            .iter()
            .map(|h| &h.name)
            .filter(move |name| *name != me && !self.heard.get(*name).is_some_and(|h| h.joined))
    }

    /// Takes an answer.
    pub(crate) fn hear(&mut self, from: &HostName, view: Revision, joined: bool) {
        self.heard.insert(from.clone(), Heard { view, joined });
    }

    /// Draws the conclusion from the answers.
    pub(crate) fn evaluate(&mut self, view: &HostView, me: &HostName) {
        if self.joined || view.hosts.is_empty() {
            return;
        }
        let others: Vec<Option<&Heard>> = view
            .hosts
            .iter()
            .filter(|h| h.name != *me)
            .map(|h| self.heard.get(&h.name))
            .collect();
        if self.heard.values().any(|h| h.view > view.revision) {
            return;
        }
        let joined = others.iter().flatten().filter(|h| h.joined).count();
        let all = others.iter().all(Option::is_some);
        self.joined = all || joined >= view.majority();
    }
}
