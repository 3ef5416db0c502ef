//! Options of the replication of published values.

use std::time::Duration;

/// Options of [`crate::conf::Replicator`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Nodes of each zone that watch the platform.
    pub readers_per_zone: usize,
    /// Peers next on the ring that are told of news.
    pub ring_peers: usize,
    /// Random peers that are told of news.
    pub random_peers: usize,
    /// Time after which other random peers are drawn.
    pub redraw_interval: Duration,
    /// Least time between two rounds of news.
    pub push_interval: Duration,
    /// Time between two digests without news, each to one peer.
    pub digest_interval: Duration,
    /// Time between two digests of a starting node, each to all its peers.
    pub start_digest_interval: Duration,
    /// Time after which another peer is asked for a value.
    pub want_timeout: Duration,
    /// Longest random delay before a starting node calls the platform.
    pub start_jitter: Duration,
    /// Time after which a starting node no longer waits for peers that never spoke.
    pub startup_sync_timeout: Duration,
    /// Time without an answer of the platform to any node after which others read in turn.
    ///
    /// Has to be longer than a watch waits and news of its answer travels.
    pub silence: Duration,
    /// Length of a turn of reading in place of silent readers.
    pub turn: Duration,
    /// Whole values given to peers in a second, at most.
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
