//! Shares of versions in a service, by which the version of a new stream follows from its key.
//!
//! All nodes compute the same from the published servers. Nodes hear of changes at different
//! times, so whoever looks for the version of an earlier stream considers all shares that
//! were in force ([`crate::flow::ShareSpan`]).

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::flow::share_span::{ShareSpan, VERSIONS_MAX, VersionShare};
use crate::flow::stream_directory::StreamKey;
use crate::flow::version::VersionKey;
use crate::ids::ServiceName;

/// Time for which former shares are kept.
const RETENTION: Duration = Duration::from_mins(5);

/// Former shares of a service that are kept apart; older ones are put together.
const FORMER_MAX: usize = 128;

/// Slots of the servers of each version.
type Shares = BTreeMap<VersionKey, u32>;

/// Changes that were made at the same moment, and may have been seen in any order by others.
#[derive(Clone, Debug)]
struct Step {
    at: Instant,
    /// Shares before the changes, and what was added and removed.
    before: Shares,
    added: Shares,
    removed: Shares,
    has_too_many: bool,
}

impl Step {
    fn begin(at: Instant, current: &Shares) -> Self {
        let has_too_many = current.len() > VERSIONS_MAX;
        Self {
            at,
            before: if has_too_many {
                Shares::new()
            } else {
                current.clone()
            },
            added: Shares::new(),
            removed: Shares::new(),
            has_too_many,
        }
    }

    fn add(&mut self, version: VersionKey, from: u32, to: u32) {
        let (changes, by) = if to > from {
            (&mut self.added, to - from)
        } else {
            (&mut self.removed, from - to)
        };
        let sum = changes.entry(version).or_default();
        *sum = sum.saturating_add(by);
        if self.added.len() + self.removed.len() > 2 * VERSIONS_MAX {
            self.has_too_many = true;
            self.added.clear();
            self.removed.clear();
        }
    }

    /// Returns whether no stream can have begun before the changes.
    fn is_first(&self) -> bool {
        self.before.is_empty() && !self.has_too_many
    }

    /// Adds the shares that others may have seen before and during the step.
    fn add_to(&self, span: &mut ShareSpan) {
        if self.is_first() {
            return;
        }
        if self.has_too_many {
            span.add_too_many();
            return;
        }
        let of = |shares: &Shares, version| shares.get(&version).copied().unwrap_or_default();
        let changed = self.before.keys().chain(self.added.keys()).copied();
        let mut versions: Vec<VersionKey> = changed.collect();
        versions.sort_unstable();
        versions.dedup();
        let share = |version| VersionShare {
            version,
            least: of(&self.before, version).saturating_sub(of(&self.removed, version)),
            most: of(&self.before, version).saturating_add(of(&self.added, version)),
        };
        let shares: Vec<VersionShare> = versions.into_iter().map(share).collect();
        span.add(&shares);
    }
}

/// Shares of one service, now and before.
#[derive(Clone, Debug, Default)]
struct ServiceShares {
    current: Shares,
    last_step: Option<Step>,
    /// Shares that were in force up to a time.
    former: VecDeque<(Instant, ShareSpan)>,
}

impl ServiceShares {
    fn change(&mut self, now: Instant, version: VersionKey, (from, to): (u32, u32)) {
        if self.last_step.as_ref().is_none_or(|step| step.at != now) {
            self.close_step();
            self.last_step = Some(Step::begin(now, &self.current));
        }
        if let Some(step) = &mut self.last_step {
            step.add(version, from, to);
        }
        let share = self.current.entry(version).or_default();
        *share = share.saturating_add(to).saturating_sub(from);
        if *share == 0 {
            self.current.remove(&version);
        }
        self.forget(now);
    }

    fn close_step(&mut self) {
        let Some(step) = self.last_step.take() else {
            return;
        };
        let mut span = ShareSpan::default();
        step.add_to(&mut span);
        if span != ShareSpan::default() {
            self.former.push_back((step.at, span));
        }
    }

    fn forget(&mut self, now: Instant) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > RETENTION;
        while self.former.front().is_some_and(|(at, _)| is_old(*at)) {
            self.former.pop_front();
        }
        if self.former.len() > FORMER_MAX
            && let Some((_, oldest)) = self.former.pop_front()
            && let Some((_, next)) = self.former.front_mut()
        {
            next.add_span(&oldest);
        }
    }

    /// Returns whether nothing is left of the service.
    fn is_over(&self, now: Instant) -> bool {
        let is_recent = |step: &Step| now.saturating_duration_since(step.at) <= RETENTION;
        self.current.is_empty()
            && self.former.is_empty()
            && !self.last_step.as_ref().is_some_and(is_recent)
    }

    /// Returns all shares that were in force in that time.
    fn span(&self, now: Instant, time: Duration) -> ShareSpan {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= time;
        let mut span = ShareSpan::default();
        for (_, former) in self.former.iter().filter(|(at, _)| is_recent(*at)) {
            span.add_span(former);
        }
        if let Some(step) = self.last_step.as_ref().filter(|step| is_recent(step.at)) {
            step.add_to(&mut span);
        }
        self.add_current(&mut span);
        span
    }

    fn add_current(&self, span: &mut ShareSpan) {
        if self.current.len() > VERSIONS_MAX {
            span.add_too_many();
            return;
        }
        let share = |(version, share): (&VersionKey, &u32)| VersionShare {
            version: *version,
            least: *share,
            most: *share,
        };
        let shares: Vec<VersionShare> = self.current.iter().map(share).collect();
        span.add(&shares);
    }
}

/// Shares of the versions of all services, and how they went.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionShares {
    services: HashMap<ServiceName, ServiceShares>,
    /// Number of changes so far.
    changes: u64,
}

impl VersionShares {
    /// Records that a server's part in the share of its version has changed.
    pub(crate) fn change(
        &mut self,
        now: Instant,
        service: &ServiceName,
        version: VersionKey,
        (from, to): (u32, u32),
    ) {
        if from == to {
            return;
        }
        self.changes += 1;
        let shares = self.services.entry(service.clone()).or_default();
        shares.change(now, version, (from, to));
        if shares.current.is_empty() {
            self.services.retain(|_, shares| {
                shares.forget(now);
                !shares.is_over(now)
            });
        }
    }

    /// Returns all shares of a service that were in force in that time.
    pub(crate) fn span(&self, now: Instant, service: &ServiceName, time: Duration) -> ShareSpan {
        let shares = self.services.get(service);
        shares.map_or_else(ShareSpan::default, |shares| shares.span(now, time))
    }

    /// Returns the version of a new stream, `None` if the service has one version or too many.
    pub(crate) fn version_of(
        &self,
        service: &ServiceName,
        stream: StreamKey,
    ) -> Option<VersionKey> {
        let shares = self.services.get(service)?;
        let mut span = ShareSpan::default();
        shares.add_current(&mut span);
        span.version_of(stream).filter(|_| span.has_several())
    }

    /// Returns the number of changes so far.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }
}
