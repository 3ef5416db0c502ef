//! Schedule of digests to peers and of reading the platform.

use std::time::{Duration, Instant};

use rand::Rng;

use crate::conf::message::Message;
use crate::conf::options::Options;
use crate::conf::replicator::{Output, Replicator, send};

impl Replicator {
    pub(crate) fn redraw_peers(&mut self, now: Instant) {
        self.next_redraw.schedule(now, self.options.redraw_interval);
        let Options {
            ring_peers,
            random_peers,
            ..
        } = self.options;
        self.overlay
            .redraw(&mut self.rng, ring_peers, random_peers, |_| true);
    }

    /// Sends a digest to all peers.
    pub(crate) fn push_digest(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.has_changes = false;
        self.next_push.schedule(now, self.options.push_interval);
        let digest = self.own_digest(now, false);
        for peer in self.overlay.peers() {
            send(out, peer, Message::Digest(digest));
        }
    }

    /// Sends a digest to one random peer; a starting node sends it to all peers.
    pub(crate) fn send_digest(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.startup_sync.is_some() {
            self.push_digest(now, out);
            return;
        }
        let count = self.overlay.peers().count();
        if count == 0 {
            return;
        }
        let index = self.rng.random_range(0..count);
        let digest = self.own_digest(now, false);
        if let Some(peer) = self.overlay.peers().nth(index) {
            send(out, peer, Message::Digest(digest));
        }
    }

    /// Returns the time to the next digest, with jitter so that nodes do not synchronize.
    pub(crate) fn next_digest_delay(&mut self) -> Duration {
        let pause = if self.startup_sync.is_some() {
            self.options.start_digest_interval
        } else {
            self.options.digest_interval
        };
        pause.mul_f64(self.rng.random_range(0.75..1.25))
    }

    pub(crate) fn update_watch(&mut self, now: Instant, out: &mut Vec<Output>) {
        let watch = self.watch_start.is_some_and(|at| now >= at) && self.should_read(now);
        if watch != self.watching {
            self.watching = watch;
            out.push(Output::Watch(watch));
        }
    }

    /// Whether this node should read the platform.
    pub(crate) fn should_read(&self, now: Instant) -> bool {
        if self.startup_sync.is_some() || self.readers.is_reader() {
            return true;
        }
        let Options { silence, turn, .. } = self.options;
        let silent_for =
            |at: Option<Instant>| at.map_or(silence, |at| now.saturating_duration_since(at));
        let is_isolated = silent_for(self.last_peer_message) >= silence;
        let platform_silence = silent_for(self.last_platform_answer);
        is_isolated || platform_silence >= silence && self.readers.is_turn(platform_silence, turn)
    }
}
