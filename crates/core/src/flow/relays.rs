//! Through which node a server is reached to which the own path is broken.

use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;

use crate::flow::message::HeartbeatEntry;
use crate::flow::peers::{Peer, Peers};
use crate::flow::server_paths::{PathStatement, server_key};
use crate::ids::ServerName;

/// Time for which a node that did not relay a connection is not asked again.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// What a node knows of a peer that may relay connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerRelay {
    /// `None` for nodes that can't relay, as those of earlier versions.
    statement: Option<PathStatement>,
    paused_until: Option<Instant>,
}

impl PeerRelay {
    /// Returns whether the node's build can relay connections.
    pub(crate) fn can_relay(&self) -> bool {
        self.statement.is_some()
    }
}

impl Peers {
    /// Handles what the sender of a heartbeat says of its paths to servers.
    pub fn receive_paths(&mut self, sender: HeartbeatEntry, statement: PathStatement) {
        if let Some(peer) = self.others.get_mut(&sender.address)
            && peer.entry == sender
        {
            peer.relay.statement = Some(statement);
        }
    }

    /// Returns a peer to reach a server through that was not tried.
    ///
    /// It is one of those that reach most servers and were heard of lately, so that the
    /// connections of a node spread over all that can help.
    pub fn choose_relay(
        &mut self,
        now: Instant,
        server: &ServerName,
        tried: &[SocketAddrV4],
    ) -> Option<SocketAddrV4> {
        let server_key = server_key(server);
        let may_relay = |p: &&Peer| {
            let is_paused = p.relay.paused_until.is_some_and(|until| now < until);
            let statement = p.relay.statement.as_ref();
            let may_reach = statement.is_some_and(|s| !s.server_keys.contains(&server_key));
            let is_tried = tried.contains(&p.entry.address);
            may_reach && !is_paused && !is_tried && p.is_fresh(now) && self.is_live(now, p)
        };
        let unreached = |p: &Peer| p.relay.statement.as_ref().map_or(0, |s| s.unreached);
        let relays: Vec<&Peer> = self.others.values().filter(may_relay).collect();
        let fewest = relays.iter().map(|p| unreached(p)).min()?;
        let best = relays.into_iter().filter(|p| unreached(p) == fewest);
        let best = best.map(|p| p.entry.address);
        best.choose(&mut self.rng)
    }

    /// Records that a peer did not relay a connection, for another reason than its server.
    pub fn record_relay_failure(&mut self, now: Instant, address: SocketAddrV4) {
        if let Some(peer) = self.others.get_mut(&address) {
            peer.relay.paused_until = Some(now + FAILURE_PAUSE);
        }
    }
}
