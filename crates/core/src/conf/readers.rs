//! Which nodes watch the platform.

use std::time::Duration;

use crate::hosts::HostView;
use crate::ids::{HostName, ZoneName};
use crate::rendezvous;

/// Key of the order in which hosts of a zone become readers.
const READER_KEY: u64 = 0x7265_6164;

/// A node's place among the readers of its zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Readers {
    /// Place in the zone's order, `None` when the list does not name the node as live.
    rank: Option<usize>,
    /// Live hosts of the zone.
    zone_hosts: usize,
    /// Readers of each zone.
    per_zone: usize,
}

impl Readers {
    /// Finds the place of `host` in its zone.
    pub(crate) fn new(view: &HostView, host: &HostName, zone: &ZoneName, per_zone: usize) -> Self {
        let live = view.live().filter(|h| h.zone == *zone);
        let order = rendezvous::top(READER_KEY, live, |h| h.name.as_str(), usize::MAX);
        Self {
            rank: order.iter().position(|h| h.name == *host),
            zone_hosts: order.len(),
            per_zone: per_zone.max(1),
        }
    }

    /// Whether the node is a reader of its zone.
    pub(crate) fn reads(&self) -> bool {
        self.rank.is_some_and(|rank| rank < self.per_zone)
    }

    /// Whether it is the node's turn to read in place of silent readers.
    ///
    /// The other hosts of the zone take turns of `step`, as many at a time as
    /// there are readers, so that an outage of the platform does not make
    /// all of them call it.
    pub(crate) fn turn(&self, silence: Duration, step: Duration) -> bool {
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
