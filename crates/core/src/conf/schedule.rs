//! When a node tells its peers what it has, and when it reads the platform.

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

    /// Tells all peers of this node what it has.
    pub(crate) fn push(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.has_changes = false;
        self.next_push.schedule(now, self.options.push_interval);
        let digest = self.own_digest(now, false);
        for peer in self.overlay.peers() {
            send(out, peer, Message::Digest(digest));
        }
    }

    /// Tells one peer what this node has; a starting node asks all of its peers.
    pub(crate) fn send_digest(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.startup_sync.is_some() {
            self.push(now, out);
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

    /// Time to the next digest, spread so that nodes do not fall into step.
    pub(crate) fn digest_pause(&mut self) -> Duration {
        let pause = if self.startup_sync.is_some() {
            self.options.start_digest_interval
        } else {
            self.options.digest_interval
        };
        pause.mul_f64(self.rng.random_range(0.75..1.25))
    }

    pub(crate) fn watch(&mut self, now: Instant, out: &mut Vec<Output>) {
        let watch = self.watch_after.is_some_and(|at| now >= at) && self.reads(now);
        if watch != self.watching {
            self.watching = watch;
            out.push(Output::Watch(watch));
        }
    }

    /// Whether this node is to read the platform now.
    pub(crate) fn reads(&self, now: Instant) -> bool {
        if self.startup_sync.is_some() || self.readers.reads() {
            return true;
        }
        let Options { silence, turn, .. } = self.options;
        let quiet =
            |at: Option<Instant>| at.map_or(silence, |at| now.saturating_duration_since(at));
        let alone = quiet(self.peer_spoke) >= silence;
        let silent_for = quiet(self.platform_answered);
        alone || silent_for >= silence && self.readers.turn(silent_for, turn)
    }
}
