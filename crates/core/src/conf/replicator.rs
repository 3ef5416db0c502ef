//! The state machine that reads and spreads published values.

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

/// What the spread of published values orders.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A value has come into force.
    Adopted(Adopted),
    /// Send a message to another node; it may be lost.
    Send {
        /// To whom.
        to: HostName,
        /// What.
        message: Message,
    },
    /// Watch the platform's values, or stop watching.
    Watch(bool),
}

/// Published values of one node: what is in force, and how it spreads.
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
    pub(crate) platform_answered: Option<Instant>,
    pub(crate) peer_spoke: Option<Instant>,
    pub(crate) watching: bool,
    pub(crate) has_changes: bool,
    pub(crate) watch_after: Option<Instant>,
    pub(crate) next_push: Timer,
    pub(crate) next_digest: Timer,
    pub(crate) next_redraw: Timer,
    pub(crate) whole_values: (Option<Instant>, u32),
}

impl Replicator {
    /// A node that knows nothing published yet.
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
            platform_answered: None,
            peer_spoke: None,
            watching: false,
            has_changes: false,
            watch_after: None,
            next_push: Timer::default(),
            next_digest: Timer::default(),
            next_redraw: Timer::default(),
            whole_values: (None, 0),
        }
    }

    /// Revision in force, 0 before the first.
    #[must_use]
    pub fn revision(&self, key: Key) -> Revision {
        if self.waiting[key.index()].is_some() {
            return Revision(0);
        }
        self.adopted_values.revision(key)
    }

    /// Newest revision seen, valid or not; a watch waits for one after it.
    #[must_use]
    pub fn seen(&self, key: Key) -> Revision {
        self.adopted_values.seen(key)
    }

    /// Newest document that was refused, while no newer one is in force.
    #[must_use]
    pub fn refused(&self, key: Key) -> Option<&Refused> {
        let refused = self.adopted_values.refused(key)?;
        (refused.revision > self.adopted_values.revision(key)).then_some(refused)
    }

    /// Whether the node has compared its values with its peers' since it started.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        self.startup_sync.is_none()
    }

    /// Whether the node watches the platform.
    #[must_use]
    pub fn watching(&self) -> bool {
        self.watching
    }

    /// Time since the platform last answered any node, as far as is known here.
    #[must_use]
    pub fn platform_age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.platform_answered?))
    }

    /// The platform answered a watch without a newer value.
    pub fn handle_unchanged(&mut self, now: Instant) {
        self.platform_answered = Some(now);
    }

    /// The platform answered with a value.
    pub fn handle_published(
        &mut self,
        now: Instant,
        documents: &dyn Documents,
        key: Key,
        revision: Revision,
        bytes: &Arc<[u8]>,
        out: &mut Vec<Output>,
    ) {
        self.platform_answered = Some(now);
        self.offer(now, documents, key, revision, bytes, out);
    }

    /// Takes the host list in force.
    pub fn set_hosts(&mut self, now: Instant, view: &HostView) {
        if self.hosts_revision.is_some_and(|r| r >= view.revision) {
            return;
        }
        self.hosts_revision = Some(view.revision);
        self.readers = Readers::new(view, &self.host, &self.zone, self.options.readers_per_zone);
        self.overlay.set_hosts(&self.host, view);
        self.redraw_peers(now);
        if let Some(startup_sync) = &mut self.startup_sync {
            startup_sync.ask(now);
            self.next_digest.make_due();
        }
    }

    /// Takes a message from another node.
    pub fn handle_message(
        &mut self,
        now: Instant,
        documents: &dyn Documents,
        from: &HostName,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        self.peer_spoke = Some(now);
        match message {
            Message::Digest(digest) => self.digest(now, from, &digest, out),
            Message::Want { key, have } => self.want(now, from, key, &have, out),
            Message::Value {
                key,
                revision,
                bytes,
            } => self.offer(now, documents, key, revision, &bytes, out),
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
                        self.offer(now, documents, key, revision, &Arc::from(new), out);
                    }
                    None => send(out, from, Message::Want { key, have: vec![] }),
                }
            }
            Message::Refused {
                key,
                revision,
                error,
            } => self.note(key, revision, &error),
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.watch_after.is_none() {
            let jitter_ms = self.options.start_jitter.as_millis() as u64;
            let wait = Duration::from_millis(self.rng.random_range(0..=jitter_ms));
            self.watch_after = Some(now + wait);
        }
        if self.next_redraw.is_due(now) {
            self.redraw_peers(now);
        }
        for key in Key::ALL {
            self.ask(now, key, out);
        }
        self.settle(now, out);
        if self.has_changes && self.next_push.is_due(now) {
            self.push(now, out);
        } else if self.next_digest.is_due(now) {
            let pause = self.digest_pause();
            self.next_digest.schedule(now, pause);
            self.send_digest(now, out);
        }
        self.watch(now, out);
    }
}

pub(crate) fn send(out: &mut Vec<Output>, to: &HostName, message: Message) {
    out.push(Output::Send {
        to: to.clone(),
        message,
    });
}
