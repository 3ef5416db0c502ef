//! State machine that reads and replicates published values.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::conf::adopted_values::{Adopted, AdoptedValues, Documents, Refused};
use crate::conf::delta::Delta;
use crate::conf::history::History;
use crate::conf::message::{Key, Message};
use crate::conf::options::Options;
use crate::conf::readers::Readers;
use crate::conf::source::Source;
use crate::conf::startup_sync::StartupSync;
use crate::hosts::HostView;
use crate::ids::{HostName, Revision, ZoneName};
use crate::overlay::Overlay;
use crate::timer::Timer;

/// Action for the caller of [`Replicator`].
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Puts a newly adopted value into force.
    Adopted(Adopted),
    /// Sends a message to another node; it may be lost.
    Send {
        /// Receiver.
        to: HostName,
        /// Message to send.
        message: Message,
    },
    /// Starts or stops watching the platform's values.
    Watch(bool),
}

/// Published values of one node and their replication.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use std::time::{Duration, Instant};
/// use briarbank_core::catalog::{Catalog, Fleet};
/// use briarbank_core::conf::{Documents, InvalidDocument, Key, Options, Output, Replicator};
/// use briarbank_core::hosts::HostView;
/// use briarbank_core::ids::Revision;
///
/// struct Empty;
/// impl Documents for Empty {
///     fn hosts(&self, revision: Revision, _: &[u8]) -> Result<HostView, InvalidDocument> {
///         Ok(HostView::new(revision, Vec::new()))
///     }
///     fn servers(&self, revision: Revision, _: &[u8]) -> Result<Fleet, InvalidDocument> {
///         Ok(Fleet { revision, ..Fleet::default() })
///     }
///     fn config(&self, revision: Revision, _: &[u8]) -> Result<Catalog, InvalidDocument> {
///         Ok(Catalog { revision, ..Catalog::default() })
///     }
/// }
///
/// let now = Instant::now();
/// let mut replicator = Replicator::new("a".into(), "recife".into(), Options::default(), 1);
/// let mut out = Vec::new();
/// replicator.tick(now, &mut out);
/// replicator.tick(now + Duration::from_secs(2), &mut out);
/// assert!(out.contains(&Output::Watch(true)));
/// replicator.handle_published(now, &Empty, Key::Hosts, Revision(3), &Arc::from(&b"{}"[..]), &mut out);
/// assert_eq!(replicator.revision(Key::Hosts), Revision(3));
/// ```
#[derive(Debug)]
pub struct Replicator {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
    pub(crate) options: Options,
    pub(crate) rng: SmallRng,
    pub(crate) adopted_values: AdoptedValues,
    pub(crate) history: [History; 3],
    pub(crate) sources: [Source; 3],
    pub(crate) waiting: [Option<Adopted>; 3],
    pub(crate) deltas: [Option<(Revision, Revision, Arc<Delta>)>; 3],
    pub(crate) startup_sync: Option<StartupSync>,
    pub(crate) readers: Readers,
    pub(crate) overlay: Overlay,
    pub(crate) hosts_revision: Option<Revision>,
    pub(crate) last_platform_answer: Option<Instant>,
    pub(crate) last_peer_message: Option<Instant>,
    pub(crate) watching: bool,
    pub(crate) has_changes: bool,
    pub(crate) watch_start: Option<Instant>,
    pub(crate) next_push: Timer,
    pub(crate) next_digest: Timer,
    pub(crate) next_redraw: Timer,
    pub(crate) whole_values: (Option<Instant>, u32),
}

impl Replicator {
    /// Creates the replicator of a node without published values.
    #[must_use]
    pub fn new(host: HostName, zone: ZoneName, options: Options, seed: u64) -> Self {
        Self {
            host,
            zone,
            options,
            rng: SmallRng::seed_from_u64(seed),
            adopted_values: AdoptedValues::default(),
            history: Default::default(),
            sources: Default::default(),
            waiting: [None, None, None],
            deltas: [None, None, None],
            startup_sync: Some(StartupSync::default()),
            readers: Readers::default(),
            overlay: Overlay::default(),
            hosts_revision: None,
            last_platform_answer: None,
            last_peer_message: None,
            watching: false,
            has_changes: false,
            watch_start: None,
            next_push: Timer::default(),
            next_digest: Timer::default(),
            next_redraw: Timer::default(),
            whole_values: (None, 0),
        }
    }

    /// Returns the revision in force, 0 before the first.
    #[must_use]
    pub fn revision(&self, key: Key) -> Revision {
        if self.waiting[key.index()].is_some() {
            return Revision(0);
        }
        self.adopted_values.revision(key)
    }

    /// Returns the newest revision seen, valid or not; a watch waits for a newer one.
    #[must_use]
    pub fn seen(&self, key: Key) -> Revision {
        self.adopted_values.seen(key)
    }

    /// Returns the newest refused document, if no newer one is adopted.
    #[must_use]
    pub fn refused(&self, key: Key) -> Option<&Refused> {
        let refused = self.adopted_values.refused(key)?;
        (refused.revision > self.adopted_values.revision(key)).then_some(refused)
    }

    /// Whether the startup sync with peers is done.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.startup_sync.is_none()
    }

    /// Whether the node watches the platform.
    #[must_use]
    pub fn watching(&self) -> bool {
        self.watching
    }

    /// Returns the time since the platform last answered any node, as known here.
    #[must_use]
    pub fn platform_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.last_platform_answer?))
    }

    /// Records that a watch ended without a newer value.
    pub fn handle_unchanged(&mut self, now: Instant) {
        self.last_platform_answer = Some(now);
    }

    /// Handles a value returned by the platform.
    pub fn handle_published(
        &mut self,
        now: Instant,
        documents: &dyn Documents,
        key: Key,
        revision: Revision,
        bytes: &Arc<[u8]>,
        out: &mut Vec<Output>,
    ) {
        self.last_platform_answer = Some(now);
        self.offer_value(now, documents, key, revision, bytes, out);
    }

    /// Replaces the published host list.
    pub fn set_hosts(&mut self, now: Instant, view: &HostView) {
        if self.hosts_revision.is_some_and(|r| r >= view.revision) {
            return;
        }
        self.hosts_revision = Some(view.revision);
        self.readers = Readers::new(view, &self.host, &self.zone, self.options.readers_per_zone);
        self.overlay.set_hosts(&self.host, view);
        self.redraw_peers(now);
        if let Some(startup_sync) = &mut self.startup_sync {
            startup_sync.start(now);
            self.next_digest.make_due();
        }
    }

    /// Handles a message from another node.
    pub fn handle_message(
        &mut self,
        now: Instant,
        documents: &dyn Documents,
        from: &HostName,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        self.last_peer_message = Some(now);
        match message {
            Message::Digest(digest) => self.handle_digest(now, from, &digest, out),
            Message::Want { key, have } => self.handle_want(now, from, key, &have, out),
            Message::Value {
                key,
                revision,
                bytes,
            } => self.offer_value(now, documents, key, revision, &bytes, out),
            Message::Delta {
                key,
                base,
                revision,
                delta,
            } => {
                if revision <= self.adopted_values.revision(key) {
                    return;
                }
                let old = self.history[key.index()].get(base);
                match old.and_then(|old| delta.apply(old)) {
                    Some(new) => {
                        self.offer_value(now, documents, key, revision, &Arc::from(new), out);
                    }
                    None => send(out, from, Message::Want { key, have: vec![] }),
                }
            }
            Message::Refused {
                key,
                revision,
                error,
            } => self.record_refusal(key, revision, &error),
        }
    }

    /// Runs the work that is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.watch_start.is_none() {
            let jitter_ms = self.options.start_jitter.as_millis() as u64;
            let wait = Duration::from_millis(self.rng.random_range(0..=jitter_ms));
            self.watch_start = Some(now + wait);
        }
        if self.next_redraw.is_due(now) {
            self.redraw_peers(now);
        }
        for key in Key::ALL {
            self.request_value(now, key, out);
        }
        self.apply_waiting(now, out);
        if self.has_changes && self.next_push.is_due(now) {
            self.push_digest(now, out);
        } else if self.next_digest.is_due(now) {
            let pause = self.next_digest_delay();
            self.next_digest.schedule(now, pause);
            self.send_digest(now, out);
        }
        self.update_watch(now, out);
    }
}

pub(crate) fn send(out: &mut Vec<Output>, to: &HostName, message: Message) {
    out.push(Output::Send {
        to: to.clone(),
        message,
    });
}
