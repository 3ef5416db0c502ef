//! Selection of the nodes that watch the platform.

use std::time::Duration;

use crate::hosts::{Host, HostView};
use crate::ids::{HostName, ZoneName};
use crate::rendezvous;

/// Rendezvous key of the order in which hosts of a zone become readers.
const READER_KEY: u64 = 0x7265_6164;

/// Position of a node among the readers of its zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Readers {
    /// Whether the host list contains the node.
    listed: bool,
    /// Position in the zone's order; `None` if only other hosts of the zone may read.
    rank: Option<usize>,
    /// Number of hosts of the zone that may read.
    zone_hosts: usize,
    /// Number of readers of each zone.
    per_zone: usize,
}

impl Readers {
    /// Computes the position of `host` in its zone.
    ///
    /// Leaving hosts are candidates only if the zone has no live hosts.
    pub(crate) fn new(view: &HostView, host: &HostName, zone: &ZoneName, per_zone: usize) -> Self {
        let in_zone = |h: &&Host| h.zone == *zone;
        let mut hosts: Vec<&Host> = view.live().filter(in_zone).collect();
        if hosts.is_empty() {
            hosts = view.hosts.iter().filter(in_zone).collect();
        }
        let order = rendezvous::top(READER_KEY, hosts.iter(), |h| h.name.as_str(), usize::MAX);
        Self {
            listed: view.contains(host),
            rank: order.iter().position(|h| h.name == *host),
            zone_hosts: order.len(),
            per_zone: per_zone.max(1),
        }
    }

    /// Whether the node is a reader.
    ///
    /// An unlisted host receives no values from peers and has to read itself.
    pub(crate) fn is_reader(&self) -> bool {
        !self.listed || self.rank.is_some_and(|rank| rank < self.per_zone)
    }

    /// Whether it is the node's turn to read in place of silent readers.
    ///
    /// The other hosts of the zone take turns of length `step`, as many at a time
    /// as there are readers, so that they do not all call the platform during an
    /// outage.
    pub(crate) fn is_turn(&self, silence: Duration, step: Duration) -> bool {
        let Some(rank) = self.rank else {
            return false;
        };
        if rank < self.per_zone {
            return true;
        }
        let turns = (self.zone_hosts - self.per_zone).div_ceil(self.per_zone);
        let turn = (silence.as_millis() / step.as_millis().max(1)) as usize % turns;
        (rank - self.per_zone) / self.per_zone == turn
    }
}
