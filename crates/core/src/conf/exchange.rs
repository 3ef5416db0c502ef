//! Exchange of digests and documents between two nodes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::conf::delta::Delta;
use crate::conf::message::{Digest, Key, Message};
use crate::conf::replicator::{Output, Replicator, send};
use crate::ids::{HostName, Revision};

/// Maximum number of revisions offered as bases of a delta.
const BASES_MAX: usize = 8;

/// Maximum size of an error text sent to peers.
const ERROR_BYTES_MAX: usize = 256;

impl Replicator {
    pub(crate) fn own_digest(&self, now: Instant, answer: bool) -> Digest {
        let age = self.platform_age(now).unwrap_or(Duration::MAX).as_millis();
        Digest {
            adopted: Key::ALL.map(|key| self.adopted_values.revision(key)),
            refused: Key::ALL.map(|key| self.refused(key).map_or(Revision(0), |r| r.revision)),
            is_synced: self.startup_sync.is_none(),
            answer,
            platform_age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }

    pub(crate) fn handle_digest(
        &mut self,
        now: Instant,
        from: &HostName,
        digest: &Digest,
        out: &mut Vec<Output>,
    ) {
        self.record_platform_age(now, digest.platform_age_ms);
        if let Some(startup_sync) = &mut self.startup_sync {
            startup_sync.record_answer(from, digest.is_synced);
        }
        let mut must_answer = !digest.is_synced;
        for key in Key::ALL {
            let (theirs, ours) = (
                digest.adopted[key.index()],
                self.adopted_values.revision(key),
            );
            if digest.is_synced && theirs > ours {
                self.sources[key.index()].add_source(from, theirs);
                self.request_value(now, key, out);
            }
            must_answer |= theirs < ours;
            must_answer |= digest.refused[key.index()] > self.adopted_values.seen(key);
            self.send_refused(from, key, digest, out);
        }
        if must_answer && !digest.answer {
            send(out, from, Message::Digest(self.own_digest(now, true)));
        }
        self.apply_waiting(now, out);
    }

    pub(crate) fn record_platform_age(&mut self, now: Instant, age_ms: u32) {
        if age_ms == u32::MAX {
            return;
        }
        let answered_at = now.checked_sub(Duration::from_millis(age_ms.into()));
        self.last_platform_answer = self.last_platform_answer.max(answered_at);
    }

    pub(crate) fn send_refused(
        &self,
        from: &HostName,
        key: Key,
        digest: &Digest,
        out: &mut Vec<Output>,
    ) {
        let index = key.index();
        let known = digest.refused[index].max(digest.adopted[index]);
        let Some(refused) = self.refused(key).filter(|r| r.revision > known) else {
            return;
        };
        let message = Message::Refused {
            key,
            revision: refused.revision,
            error: Arc::from(prefix(&refused.error, ERROR_BYTES_MAX)),
        };
        send(out, from, message);
    }

    /// Requests a newer value from a peer that has one.
    pub(crate) fn request_value(&mut self, now: Instant, key: Key, out: &mut Vec<Output>) {
        let have = self.adopted_values.revision(key);
        let timeout = self.options.want_timeout;
        if let Some(peer) = self.sources[key.index()].take_peer(now, have, timeout) {
            let have = self.history[key.index()]
                .revisions()
                .take(BASES_MAX)
                .collect();
            send(out, &peer, Message::Want { key, have });
        }
    }

    /// Answers a peer's request for a value by a delta or the whole document.
    pub(crate) fn handle_want(
        &mut self,
        now: Instant,
        from: &HostName,
        key: Key,
        have: &[Revision],
        out: &mut Vec<Output>,
    ) {
        let revision = self.adopted_values.revision(key);
        let Some(bytes) = self.history[key.index()].get(revision).cloned() else {
            return;
        };
        if self.startup_sync.is_some() || have.iter().any(|r| *r >= revision) {
            return;
        }
        let message = match self.delta_from_common(key, have, revision, &bytes) {
            Some((base, delta)) if delta.size_bytes() < bytes.len() => Message::Delta {
                key,
                base,
                revision,
                delta,
            },
            _ if self.may_send_whole(now) => Message::Value {
                key,
                revision,
                bytes,
            },
            _ => return,
        };
        send(out, from, message);
    }

    /// Returns the delta from the newest revision that both sides have.
    pub(crate) fn delta_from_common(
        &mut self,
        key: Key,
        have: &[Revision],
        revision: Revision,
        bytes: &[u8],
    ) -> Option<(Revision, Arc<Delta>)> {
        let history = &self.history[key.index()];
        let common = have.iter().take(BASES_MAX).copied();
        let base = common.filter(|r| history.get(*r).is_some()).max()?;
        let cached = &mut self.deltas[key.index()];
        if let Some((from, to, delta)) = cached
            && (*from, *to) == (base, revision)
        {
            return Some((base, Arc::clone(delta)));
        }
        let delta = Arc::new(Delta::between(history.get(base)?, bytes));
        *cached = Some((base, revision, Arc::clone(&delta)));
        Some((base, delta))
    }

    /// Counts a whole value against the rate limit of the current second.
    pub(crate) fn may_send_whole(&mut self, now: Instant) -> bool {
        let (since, sent) = &mut self.whole_values;
        if since.is_none_or(|since| now >= since + Duration::from_secs(1)) {
            (*since, *sent) = (Some(now), 0);
        }
        *sent += 1;
        *sent <= self.options.whole_values_per_s
    }
}

/// Returns the start of a text, truncated at a character boundary.
fn prefix(text: &str, bytes_max: usize) -> &str {
    &text[..text.floor_char_boundary(bytes_max)]
}
