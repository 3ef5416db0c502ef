//! Overlay network: the few peers that a node initiates messages to.
//!
//! Successors on a ring in rendezvous order keep the graph connected, and a
//! few random peers keep its diameter logarithmic. The number of peers does
//! not grow with the fleet.

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;

use crate::hosts::HostView;
use crate::ids::HostName;
use crate::rendezvous;

/// Rendezvous key of the ring order, the same on all nodes.
const RING_KEY: u64 = 0x7269_6e67;

/// Overlay peers of one node.
#[derive(Debug, Default)]
pub(crate) struct Overlay {
    others: Vec<HostName>,
    ring: Vec<HostName>,
    random: Vec<HostName>,
}

impl Overlay {
    /// Replaces the hosts by those of a view, without `host` and in ring order.
    pub(crate) fn set_hosts(&mut self, host: &HostName, view: &HostView) {
        let mut names: Vec<(u64, &HostName)> = view
            .hosts
            .iter()
            .map(|h| (rendezvous::weight(RING_KEY, h.name.as_str()), &h.name))
            .filter(|(_, name)| *name != host)
            .collect();
        names.sort_unstable();
        let own = (rendezvous::weight(RING_KEY, host.as_str()), host);
        let start = names.partition_point(|entry| *entry < own);
        names.rotate_left(start);
        self.others = names.into_iter().map(|(_, name)| name.clone()).collect();
        self.random.retain(|name| view.contains(name));
    }

    /// Draws new random peers and selects the first usable ring successors.
    pub(crate) fn redraw(
        &mut self,
        rng: &mut SmallRng,
        successors: usize,
        random: usize,
        usable: impl Fn(&HostName) -> bool,
    ) {
        let usable = |name: &&HostName| usable(name);
        self.ring = self
            .others
            .iter()
            .filter(usable)
            .take(successors)
            .cloned()
            .collect();
        let next = &self.ring;
        let rest = self.others.iter().filter(|name| !next.contains(name));
        self.random = rest
            .filter(usable)
            .choose_multiple(rng, random)
            .into_iter()
            .cloned()
            .collect();
    }

    /// Returns the next usable hosts on the ring.
    pub(crate) fn ring(&self) -> &[HostName] {
        &self.ring
    }

    /// Returns the random usable hosts.
    pub(crate) fn random(&self) -> &[HostName] {
        &self.random
    }

    /// Returns the ring successors, then the random peers.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &HostName> {
        self.ring.iter().chain(&self.random)
    }
}
