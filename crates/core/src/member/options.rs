//! Options of membership.

use std::time::Duration;

/// Options of [`crate::member::Members`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Next hosts on the ring, each watched by this node.
    pub ring_peers: usize,
    /// Random peers, for the speed of news.
    pub random_peers: usize,
    /// Time after which other random peers are drawn.
    pub redraw: Duration,
    /// Time between two rounds of probes, to one ring peer and one random peer.
    pub probe_interval: Duration,
    /// Time after which a probe has failed.
    pub answer_timeout: Duration,
    /// Failed probes in a row after which a host is suspected.
    pub failures_max: u32,
    /// Nodes asked to probe a host that did not answer.
    pub indirect_probers: usize,
    /// Time in which a suspected host can object.
    pub suspect_timeout: Duration,
    /// Time between two probes of dead hosts, in case they are back.
    pub dead_probe_interval: Duration,
    /// Most bytes of news that ride on one message.
    pub updates_bytes_max: usize,
    /// Time in which one more push of fresh news is allowed.
    pub push_interval: Duration,
    /// Pushes that may follow each other at once.
    pub push_burst: u32,
    /// Least time between two messages with all beliefs.
    pub beliefs_interval: Duration,
    /// Time for which a leaving server is remembered.
    pub leaving_ttl: Duration,
    /// Time between two ticks after which the process was paused.
    pub pause: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ring_peers: 3,
            random_peers: 3,
            redraw: Duration::from_secs(30),
            probe_interval: Duration::from_secs(1),
            answer_timeout: Duration::from_millis(500),
            failures_max: 3,
            indirect_probers: 2,
            suspect_timeout: Duration::from_secs(5),
            dead_probe_interval: Duration::from_secs(10),
            updates_bytes_max: 250,
            push_interval: Duration::from_secs(2),
            push_burst: 3,
            beliefs_interval: Duration::from_secs(2),
            leaving_ttl: Duration::from_mins(10),
            pause: Duration::from_secs(2),
        }
    }
}
