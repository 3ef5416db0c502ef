//! Join protocol of a process that has just started.

use std::collections::BTreeMap;

use crate::hosts::HostView;
use crate::ids::{HostName, Revision};

/// Answer of another host.
#[derive(Clone, Copy, Debug)]
struct Reply {
    view: Revision,
    joined: bool,
}

/// Establishes after a start that no newer host list is in use.
///
/// A process starts with empty memory, and the platform's replica that it reads
/// may be stale. It may confirm owners once a majority of the hosts have
/// answered that they have joined, or all other hosts have answered, and none
/// of them has a newer list.
#[derive(Debug, Default)]
pub(crate) struct Join {
    replies: BTreeMap<HostName, Reply>,
    joined: bool,
}

impl Join {
    /// Returns whether the process may confirm owners.
    pub(crate) fn is_joined(&self) -> bool {
        self.joined
    }

    /// Returns the hosts that have not yet answered that they have joined.
    pub(crate) fn awaited_hosts<'a>(
        &'a self,
        view: &'a HostView,
        host: &'a HostName,
    ) -> impl Iterator<Item = &'a HostName> {
        view.hosts
            .iter()
            .map(|h| &h.name)
            .filter(move |name| *name != host && !self.replies.get(*name).is_some_and(|h| h.joined))
    }

    /// Records an answer.
    pub(crate) fn record_reply(&mut self, from: &HostName, view: Revision, joined: bool) {
        self.replies.insert(from.clone(), Reply { view, joined });
    }

    /// Joins if the answers allow it.
    pub(crate) fn evaluate(&mut self, view: &HostView, host: &HostName) {
        if self.joined || view.hosts.is_empty() {
            return;
        }
        let others: Vec<Option<&Reply>> = view
            .hosts
            .iter()
            .filter(|h| h.name != *host)
            .map(|h| self.replies.get(&h.name))
            .collect();
        if self.replies.values().any(|h| h.view > view.revision) {
            return;
        }
        let joined = others.iter().flatten().filter(|h| h.joined).count();
        let all = others.iter().all(Option::is_some);
        self.joined = all || joined >= view.majority();
    }
}
