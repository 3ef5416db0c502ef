//! Options of the replication of published values.

use std::time::Duration;

/// Options of [`crate::conf::Replicator`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of nodes in each zone that watch the platform.
    pub readers_per_zone: usize,
    /// Number of ring successors that changes are pushed to.
    pub ring_peers: usize,
    /// Number of random peers that changes are pushed to.
    pub random_peers: usize,
    /// Time after which new random peers are drawn.
    pub redraw_interval: Duration,
    /// Minimum time between two pushes of changes.
    pub push_interval: Duration,
    /// Mean time between two digests without changes, each to one peer.
    pub digest_interval: Duration,
    /// Mean time between two digests of a starting node, each to all its peers.
    pub start_digest_interval: Duration,
    /// Time after which a value is requested from another peer.
    pub want_timeout: Duration,
    /// Maximum random delay before a starting node calls the platform.
    pub start_jitter: Duration,
    /// Time after which a starting node stops waiting for silent peers.
    pub startup_sync_timeout: Duration,
    /// Time without any platform answer after which other nodes read in turn.
    ///
    /// Must exceed the wait of a watch plus the time in which its answer
    /// reaches all nodes.
    pub silence: Duration,
    /// Length of a turn in which a node reads in place of silent readers.
    pub turn: Duration,
    /// Maximum number of whole values sent to peers in a second.
    pub whole_values_per_s: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            readers_per_zone: 2,
            ring_peers: 2,
            random_peers: 3,
            redraw_interval: Duration::from_secs(30),
            push_interval: Duration::from_millis(200),
            digest_interval: Duration::from_secs(1),
            start_digest_interval: Duration::from_millis(250),
            want_timeout: Duration::from_millis(500),
            start_jitter: Duration::from_secs(1),
            startup_sync_timeout: Duration::from_secs(3),
            silence: Duration::from_secs(20),
            turn: Duration::from_secs(5),
            whole_values_per_s: 4,
        }
    }
}
