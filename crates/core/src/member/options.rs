//! Options of membership.

use std::time::Duration;

/// Options of [`crate::member::Members`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of successors on the ring that this node probes.
    pub ring_peers: usize,
    /// Number of random peers, which speed up dissemination.
    pub random_peers: usize,
    /// Time after which new random peers are drawn.
    pub redraw_interval: Duration,
    /// Mean time between two probe rounds, each to a ring and a random peer.
    pub probe_interval: Duration,
    /// Time after which a probe without an answer has failed.
    pub answer_timeout: Duration,
    /// Number of consecutive failed probes after which a host is suspected.
    pub failures_max: u32,
    /// Number of nodes asked to probe a host that did not answer.
    pub indirect_probers: usize,
    /// Time in which a suspected host can refute before it is declared dead.
    pub suspect_timeout: Duration,
    /// Minimum mean time between this node's probes of dead hosts, which may be back.
    pub dead_probe_interval: Duration,
    /// Maximum size of the updates in one message.
    pub updates_bytes_max: usize,
    /// Time after which one more push of unsent updates is allowed.
    pub push_interval: Duration,
    /// Maximum number of pushes in a burst.
    pub push_burst: u32,
    /// Minimum time between two anti-entropy messages.
    pub sync_interval: Duration,
    /// Time for which the announcement of a leaving server is remembered.
    pub leaving_ttl: Duration,
    /// Minimum time between two ticks that counts as a pause of the process.
    pub pause_min: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ring_peers: 3,
            random_peers: 3,
            redraw_interval: Duration::from_secs(30),
            probe_interval: Duration::from_secs(1),
            answer_timeout: Duration::from_millis(500),
            failures_max: 3,
            indirect_probers: 2,
            suspect_timeout: Duration::from_secs(5),
            dead_probe_interval: Duration::from_secs(10),
            updates_bytes_max: 250,
            push_interval: Duration::from_secs(2),
            push_burst: 3,
            sync_interval: Duration::from_secs(2),
            leaving_ttl: Duration::from_mins(10),
            pause_min: Duration::from_secs(2),
        }
    }
}
